package reconcile

import (
	"context"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// stub implements Leases and lease.Follower with a state that the test sets.
type stub struct {
	fence  int64 // 0: not held
	state  *fold.State
	ends   int         // appended ends of orders
	opened int         // adapters created
	closed int         // adapters closed
	check  lease.Check // check of the newest adapter
}

func (s *stub) Tail() lease.Tail         { return lease.Tail{State: s.state, Loaded: true} }
func (s *stub) Changed() <-chan struct{} { return nil }
func (s *stub) Write(_ context.Context, _ string, kind record.Kind, _ any) (int64, error) {
	if kind == record.KindOrderDone {
		s.ends++
	}
	return 0, nil
}

func (s *stub) Held(string) (int64, time.Duration, bool) { return s.fence, 0, s.fence > 0 }
func (s *stub) Check(string, int64) lease.Check          { return func() error { return nil } }
func (s *stub) Reclaim(string)                           {}

type stubAdapter struct {
	fakeEngine
	stub *stub
}

func (a *stubAdapter) Close() error {
	a.stub.closed++
	return nil
}

// Guards against a daemon that acts on an old document, uses a connection of an
// old lease term, or ends an order that another daemon may still be sending.
func TestLeaseTerm(t *testing.T) {
	s := &stub{fence: 5, state: fold.New()}
	s.state.Changed = 10
	s.state.Engines["gone"] = fold.EngineOrders{Open: &fold.OpenOrder{ID: "o", Group: "s/z/0"}}
	doc := &document.Document{Service: "s", Kind: document.KindModel, Targets: []document.Target{{Addr: "e0", Zone: "z"}}}
	snap := view.NewSnapshot(9, []*view.Service{{Doc: doc}}, nil)
	now := &clock.Manual{}
	r := New(Options{
		Clock: now, Follower: s, Leases: s,
		Snapshot: func() *view.Snapshot { return snap },
		Connect: func(_ string, check lease.Check, _ time.Duration) port.Engine {
			s.opened++
			s.check = check
			return &stubAdapter{stub: s}
		},
	})
	for _, step := range []struct {
		name                 string
		change               func()
		opened, closed, ends int
	}{
		{"snapshot older than a version in force", func() {}, 0, 0, 0},
		{"snapshot up to date", func() { snap.Applied = 10 }, 1, 0, 0},
		{"same term", func() {}, 1, 0, 0},
		{"new term", func() { s.fence = 6 }, 2, 1, 0},
		{"almost waited for the old holder", func() { now.Advance(4*time.Second - 1) }, 2, 1, 0},
		{"waited for the old holder", func() { now.Advance(1) }, 2, 1, 1},
		{"a version later", func() { s.state.Versions = 1 }, 2, 1, 2},
		{"versions passed over", func() { s.state.Versions = 3 }, 3, 2, 3},
		{"lost", func() { s.fence = 0 }, 3, 3, 3},
	} {
		step.change()
		r.step(t.Context())
		if young := now.Now() < lease.DefaultDuration; s.opened > 0 && (s.check() == nil) != young {
			t.Errorf("%s: a step with the state read at 0 may write at %v: %v", step.name, now.Now(), !young)
		}
		if s.opened != step.opened || s.closed != step.closed || s.ends != step.ends {
			t.Errorf("%s: %d adapters created, %d closed, %d orders ended; want %d, %d, %d",
				step.name, s.opened, s.closed, s.ends, step.opened, step.closed, step.ends)
		}
	}
}
