package links

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// network is a set of targets of the services a and b, some of which can't be
// reached.
type network struct {
	mu      sync.Mutex
	targets map[string][]Target
	down    map[string]bool // by address
	changes []string
}

func newNetwork(size int) *network {
	n := &network{targets: make(map[string][]Target), down: make(map[string]bool)}
	for _, service := range []string{"a", "b"} {
		for i := range size {
			id := fmt.Sprint(service, i)
			n.targets[service] = append(n.targets[service], Target{ID: id, Addr: id})
		}
	}
	return n
}

func (n *network) tracker() *Tracker {
	return New(Options{
		Services: func() []string { return []string{"a", "b"} },
		Targets:  func(service string) []Target { return n.targets[service] },
		Probe: func(ctx context.Context, addr string) error {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.down[addr] {
				return errors.New("unreachable")
			}
			return nil
		},
		Changed: func(service string, lost bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changes = append(n.changes, fmt.Sprint(service, lost))
		},
	})
}

func (n *network) setDown(on bool, services ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, service := range services {
		for _, t := range n.targets[service] {
			n.down[t.Addr] = on
		}
	}
}

func (n *network) taken() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.changes
	n.changes = nil
	return out
}

// A daemon that reaches no target must notice it by the failures of one service,
// for all services, and notice the end without any request.
func TestLostAndRestored(t *testing.T) {
	for _, size := range []int{1, 2, 9, 2000} {
		t.Run(fmt.Sprint(size, " targets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(size)
				tr := n.tracker()
				n.setDown(true, "a", "b")
				tr.Failed("a", "a0")
				if size > 1 && tr.Lost("a") {
					t.Error("suspected after one failure")
				}
				tr.Failed("a", "a1")
				if !tr.Lost("a") {
					t.Error("not suspected")
				}
				time.Sleep(2 * probeInterval)
				if !tr.Confirmed("a") || !tr.Lost("b") || !tr.Confirmed("b") {
					t.Errorf("lost: a %v, b %v", tr.Confirmed("a"), tr.Confirmed("b"))
				}
				if got := n.taken(); len(got) != 2 {
					t.Errorf("changes %v", got)
				}
				n.setDown(false, "a", "b")
				time.Sleep(2 * probeInterval)
				if tr.Lost("a") || tr.Lost("b") || tr.AnyLost() {
					t.Error("still lost")
				}
				if got := n.taken(); len(got) != 2 {
					t.Errorf("changes %v", got)
				}
				_ = tr.Stop()
			})
		})
	}
}

// Guards against a daemon that takes two dead targets for lost links of its own:
// it would withdraw what it knows of them.
func TestDeadTargetsAreNoLostLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		tr := n.tracker()
		n.down["a0"], n.down["a1"] = true, true
		tr.Failed("a", "a0")
		tr.Failed("a", "a1")
		synctest.Wait()
		if tr.Lost("a") || len(n.taken()) != 0 {
			t.Error("lost though seven targets can be reached")
		}
		_ = tr.Stop()
	})
}

// Guards against calls that try the only engine of a role again and again: the
// links are suspected by failures of one target, too.
func TestFailuresOfOneTargetSuffice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		tr := n.tracker()
		n.setDown(true, "a")
		tr.Failed("a", "a0")
		tr.Failed("a", "a0")
		if !tr.Lost("a") {
			t.Error("not suspected")
		}
		_ = tr.Stop()
	})
}

// Guards against a suspicion of the only engine of a role that no probe decides.
func TestProbeDecidesASuspicion(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(9)
			tr := n.tracker()
			n.setDown(down, "a")
			tr.Suspect("a")
			if !tr.Lost("a") {
				t.Error("not suspected")
			}
			time.Sleep(2 * probeInterval)
			if tr.Confirmed("a") != down || tr.Lost("a") != down {
				t.Errorf("down %v: lost %v", down, tr.Lost("a"))
			}
			tr.Reached("a")
			if tr.Lost("a") {
				t.Error("lost after an answer")
			}
			_ = tr.Stop()
		})
	}
}

// An answer between two failures shows that the links work.
func TestAnswerEndsTheSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		tr := n.tracker()
		n.setDown(true, "a")
		tr.Failed("a", "a0")
		tr.Reached("a")
		tr.Failed("a", "a1")
		synctest.Wait()
		if tr.Lost("a") {
			t.Error("suspected")
		}
		_ = tr.Stop()
	})
}
