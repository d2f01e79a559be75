package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// Guards against a log that grows with the number of clients that are turned away.
func TestNoticesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := memory.New()
		log.SetHandler(h)
		log.SetLevel(log.WarnLevel)
		defer log.SetLevel(log.FatalLevel)
		n := NewNotices("quota: it happened")
		for range 100 {
			n.Add(log.Fields{})
		}
		time.Sleep(logInterval)
		n.Add(log.Fields{})
		if len(h.Entries) != 2 || h.Entries[0].Fields["count"] != 1 || h.Entries[1].Fields["count"] != 100 {
			t.Errorf("lines: %v", h.Entries)
		}
	})
}
