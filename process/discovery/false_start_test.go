package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/pomelospool/pomelospool/port"
)

// Guards against a target that is lost for good, since another writer left an entry with
// a later start time under its key.
func TestTargetReturnsAfterAnEntryWithAFalseStart(t *testing.T) {
	decode := func(rec port.KeyedRecord) (port.TargetEntry, bool, error) {
		born := int64(len(rec.Value))
		return port.TargetEntry{ID: fmt.Sprint(rec.Key, born), StartMs: born, Service: "s"}, rec.Value != nil, nil
	}
	now := time.Now()
	r := New(Options{Decode: decode, Now: func() time.Time { return now }})
	r.Reset([]port.KeyedRecord{rec(1, "a", "x")}, 2)
	r.Apply([]port.KeyedRecord{rec(2, "a", "xxx")})
	for offset := int64(3); offset < 20; offset++ {
		now = now.Add(time.Second)
		r.Apply([]port.KeyedRecord{rec(offset, "a", "x")})
	}
	want(t, r, "s", "a1")
}

// Guards against a log that is filled by one odd entry, which each listing repeats.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	before := log.Log
	defer func() { log.Log = before }()
	lines := memory.New()
	log.Log = &log.Logger{Handler: lines, Level: log.WarnLevel}
	r := New(Options{Decode: decode})
	for range 3 {
		r.Reset([]port.KeyedRecord{rec(1, "a", "s"), rec(2, "b", "broken")}, 3)
	}
	if n := len(lines.Entries); n != 1 {
		t.Errorf("%d lines", n)
	}
	r.Apply([]port.KeyedRecord{rec(4, "b", "broken")})
	if n := len(lines.Entries); n != 2 {
		t.Errorf("%d lines after another odd entry", n)
	}
}
