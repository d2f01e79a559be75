package versions

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// pagedStore returns one record in each page.
type pagedStore struct{ memoryStore }

func (s *pagedStore) Newest(ctx context.Context, _ port.Topic, after string) (page port.KeyedPage, err error) {
	if err := ctx.Err(); err != nil {
		return page, err
	}
	s.reads++
	keys := slices.DeleteFunc(slices.Sorted(maps.Keys(s.values)), func(k string) bool { return k <= after })
	if len(keys) > 0 {
		page.Records = []port.KeyedRecord{{Key: keys[0], Value: s.values[keys[0]]}}
	}
	page.More = len(keys) > 1
	time.Sleep(time.Millisecond)
	return page, nil
}

// Guards against a daemon that asks for the same page for ever, since none of its records
// can be decoded.
func TestPageThatCannotBeDecodedIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, now := &pagedStore{memoryStore{values: map[string][]byte{
			"a": []byte("nonsense"), "b": []byte(`{"v":1}`), "c": []byte(`[1e400]`), "svc": []byte(`["v1"]`),
		}}}, time.Duration(0)
		d := newDaemon(&s.memoryStore, &now, true, "v1")
		d.o.Store = s
		d.Update(t.Context())
		if d.failing || s.reads != 4 || !slices.Equal(d.stored["svc"], []string{"v1"}) {
			t.Errorf("failing %v, %d reads, stored %v", d.failing, s.reads, d.stored)
		}
	})
}
