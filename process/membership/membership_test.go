package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
)

const (
	period    = 500 * time.Millisecond
	deadAfter = 3 * time.Second

	targetHost  = "target"
	lossDivisor = 10
)

var errCut = errors.New("link is cut")

// testFleet is a set of processes that exchange heartbeats by function calls over links
// that can be cut in each direction.
type testFleet struct {
	mu      sync.Mutex
	daemons map[string]*testDaemon
	cut     map[[2]string]bool
	vms     []port.VM
	starts  uint64
	updates int // number of members in all answers

	loss *rand.Rand // when set, one call in lossDivisor is lost
}

type testDaemon struct {
	id         string
	membership *Membership
	killed     bool
	running    chan struct{} // closed while the process runs
	deaths     map[string]int
}

func newFleet(n int) *testFleet {
	f := &testFleet{daemons: map[string]*testDaemon{}, cut: map[[2]string]bool{}}
	f.add(n)
	return f
}

// add lists n daemons and starts them.
func (f *testFleet) add(n int) {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("vm-%03d", i)
		f.vms = append(f.vms, port.VM{ID: id, Addr: id})
		ids = append(ids, id)
	}
	for _, id := range ids {
		f.start(id)
	}
}

func (f *testFleet) start(id string) *testDaemon {
	running := make(chan struct{})
	close(running)
	d := &testDaemon{id: id, running: running, deaths: map[string]int{}}
	began := time.Now()
	f.mu.Lock()
	f.starts++
	seed := f.starts
	f.mu.Unlock()
	d.membership = New(Options{
		Self:     &peerpb.Member{Id: id, Incarnation: fmt.Sprintf("%s/%d", id, seed), StartedMs: seed, PeerAddr: id},
		Prober:   &link{f: f, from: id},
		VMs:      f,
		IsTarget: func(host string) bool { return host == targetHost },
		PeerAddr: func(v port.VM) string { return v.Addr },
		Applied:  func() int64 { <-f.runningOf(id); return 0 },
		Now:      func() time.Duration { return time.Since(began) },
		Period:   period, DeadAfter: deadAfter, Seed: seed,
	})
	f.mu.Lock()
	f.daemons[id] = d
	f.mu.Unlock()
	d.membership.Start()
	return d
}

func (f *testFleet) runningOf(id string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[id].running
}

// List implements port.VMs.
func (f *testFleet) List(context.Context) ([]port.VM, error) { return f.vms, nil }

func (f *testFleet) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

func (f *testFleet) kill(id string) {
	f.mu.Lock()
	f.daemons[id].killed = true
	m := f.daemons[id].membership
	f.mu.Unlock()
	_ = m.Stop()
}

func (f *testFleet) pause(id string, d time.Duration) {
	paused := make(chan struct{})
	f.mu.Lock()
	f.daemons[id].running = paused
	f.mu.Unlock()
	advance(d)
	close(paused)
}

func (f *testFleet) stop() {
	for _, d := range f.daemons {
		if !d.killed {
			_ = d.membership.Stop()
		}
	}
}

// states counts the states of id in the views of the other running daemons.
func (f *testFleet) states(id string) map[peerpb.Member_State]int {
	out := map[peerpb.Member_State]int{}
	for _, d := range f.daemons {
		if d.killed || d.id == id {
			continue
		}
		for _, s := range d.membership.View().Members {
			if s.Member.Id == id {
				out[s.Member.State]++
			}
		}
	}
	return out
}

// link is the Prober of one daemon.
type link struct {
	f    *testFleet
	from string
}

func (l *link) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	l.f.mu.Lock()
	to := l.f.daemons[addr]
	bad := l.f.cut[[2]string{l.from, addr}] || l.f.cut[[2]string{addr, l.from}] || to == nil || to.killed
	lost := l.f.loss != nil && l.f.loss.IntN(lossDivisor) == 0
	l.f.mu.Unlock()
	if bad || lost {
		<-ctx.Done()
		return nil, errCut
	}
	type answer struct {
		r   *peerpb.HeartbeatReply
		err error
	}
	ch := make(chan answer, 1)
	go func() {
		reply, err := to.membership.HandleHeartbeat(ctx, r)
		ch <- answer{reply, err}
	}()
	select {
	case a := <-ch:
		l.f.mu.Lock()
		l.f.updates += len(a.r.GetNews())
		l.f.mu.Unlock()
		return a.r, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// advance advances the virtual clock of the synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

// waitUntil advances the virtual clock until ok returns true or the limit is reached, and
// returns the elapsed time.
func waitUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < limit {
		if ok() {
			return time.Since(began), true
		}
		advance(period / 5)
	}
	return limit, ok()
}

func (f *testFleet) all(id string, s peerpb.Member_State, n int) func() bool {
	return func() bool { return f.states(id)[s] == n }
}

// A killed VM's keys and leases are blocked until the other members agree that it is dead.
// All of them must mark it dead within seconds, and nobody else.
func TestKilledMemberIsMarkedDeadEverywhere(t *testing.T) {
	for _, n := range []int{3, 8, 32} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n)
				defer f.stop()
				if d, ok := waitUntil(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, n-1)); !ok {
					t.Fatalf("not live everywhere after %v: %v", d, f.states("vm-001"))
				}
				f.kill("vm-001")
				d, ok := waitUntil(30*time.Second, f.all("vm-001", peerpb.Member_DEAD, n-1))
				if !ok {
					t.Fatalf("states after %v: %v", d, f.states("vm-001"))
				}
				t.Logf("%d members: dead everywhere after %v", n, d)
				for id := range f.daemons {
					if id != "vm-001" && f.states(id)[peerpb.Member_LIVE] != n-2 {
						t.Errorf("%s: %v", id, f.states(id))
					}
				}
			})
		})
	}
}

// One link is cut in one direction. Both ends still serve callers and are reachable
// through others, so they must not mark each other dead.
func TestSingleLinkFailureCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.setCut("vm-000", "vm-001", true)
		bad := 0
		waitUntil(time.Minute, func() bool {
			bad += f.states("vm-001")[peerpb.Member_DEAD] + f.states("vm-000")[peerpb.Member_DEAD]
			return false
		})
		if bad > 0 {
			t.Errorf("marked dead %d times", bad)
		}
	})
}

// A VM is frozen for ten seconds. The others mark it dead, and after the pause it may
// consider the others dead. Then all members must become live again everywhere, without
// deaths spread by the resumed member.
func TestPausedMemberRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		f.pause("vm-003", 10*time.Second)
		d, ok := waitUntil(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		if !ok {
			t.Fatalf("still %v after %v", f.states("vm-003"), d)
		}
		for id := range f.daemons {
			if f.states(id)[peerpb.Member_LIVE] != 7 {
				t.Errorf("%s: %v", id, f.states(id))
			}
		}
	})
}

// The fleet is partitioned for a minute, and each side marks the other dead. After the
// partition both sides must find each other again without a restart.
func TestHealedPartitionRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-007", peerpb.Member_LIVE, 7))
		between := func(cut bool) {
			for i := range 4 {
				for j := 4; j < 8; j++ {
					f.setCut(f.vms[i].ID, f.vms[j].ID, cut)
				}
			}
		}
		between(true)
		if _, ok := waitUntil(time.Minute, f.all("vm-007", peerpb.Member_DEAD, 4)); !ok {
			t.Fatalf("during the cut: %v", f.states("vm-007"))
		}
		between(false)
		if d, ok := waitUntil(time.Minute, func() bool {
			return f.all("vm-007", peerpb.Member_LIVE, 7)() && f.all("vm-000", peerpb.Member_LIVE, 7)()
		}); !ok {
			t.Fatalf("after %v: %v %v", d, f.states("vm-007"), f.states("vm-000"))
		}
	})
}

// A VM restarts with the same id and a new incarnation while others still hold updates
// about the old one. Old updates must not override the new incarnation.
func TestRestartOverridesOldUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-002", peerpb.Member_LIVE, 7))
		old := f.daemons["vm-002"].membership.View().Self.Incarnation
		f.kill("vm-002")
		fresh := f.start("vm-002")
		_, ok := waitUntil(30*time.Second, func() bool {
			for _, d := range f.daemons {
				if d.id != "vm-002" && d.membership.View().Liveness("vm-002", old) != Gone {
					return false
				}
			}
			return f.all("vm-002", peerpb.Member_LIVE, 7)()
		})
		if !ok {
			t.Fatalf("%v; new incarnation %s", f.states("vm-002"), fresh.membership.View().Self.Incarnation)
		}
	})
}

// A process that is shut down announces that it is leaving, and the others stop naming it
// to callers although it still responds.
func TestLeavingIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-004", peerpb.Member_LIVE, 7))
		f.daemons["vm-004"].membership.Leave()
		if d, ok := waitUntil(10*time.Second, f.all("vm-004", peerpb.Member_LEAVING, 7)); !ok {
			t.Fatalf("after %v: %v", d, f.states("vm-004"))
		}
		rank, of := f.daemons["vm-004"].membership.View().Rank()
		if rank != of-1 {
			t.Errorf("rank %d of %d while leaving", rank, of)
		}
	})
}

// A VM starts in a large fleet before the VM list contains it, so nobody probes it, and
// its own probes take many rounds to reach all others. It must learn quickly which members
// are live, or it would take over what they hold.
func TestNewMemberLearnsLiveMembersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(32)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-005", peerpb.Member_LIVE, 31))
		advance(time.Minute)
		fresh := f.start("vm-new")
		advance(deadAfter)
		for id, d := range f.daemons {
			if id == "vm-new" {
				continue
			}
			if got := fresh.membership.View().Liveness(id, d.membership.View().Self.Incarnation); got != Alive {
				t.Errorf("%s: liveness %d", id, got)
			}
		}
	})
}

// The VM list also contains the VMs of targets, which never answer heartbeats. Probing
// them must not delay the detection of a dead daemon.
func TestVMsOfTargetsDontDelayDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0)
		defer f.stop()
		for i := range 600 {
			f.vms = append(f.vms, port.VM{ID: fmt.Sprintf("target-%d", i), Addr: targetHost})
		}
		f.add(8)
		waitUntil(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.kill("vm-001")
		if d, ok := waitUntil(8*time.Second, f.all("vm-001", peerpb.Member_DEAD, 7)); !ok {
			t.Errorf("after %v: %v", d, f.states("vm-001"))
		}
		if live, known := f.daemons["vm-000"].membership.View().Reachable(); live != 6 || known != 7 {
			t.Errorf("%d of %d reachable, want 6 of 7", live, known)
		}
	})
}

// Heartbeats must carry next to no updates while nothing changes for ten minutes.
// Otherwise the answers with all members, requested periodically in case updates were
// lost, would dominate the traffic of a large fleet.
func TestIdleFleetSendsNoUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(32)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-005", peerpb.Member_LIVE, 31))
		advance(2 * time.Minute)
		f.mu.Lock()
		f.updates = 0
		f.mu.Unlock()
		advance(10 * time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.updates > 0 {
			t.Errorf("answers carried %d members in ten quiet minutes", f.updates)
		}
	})
}

// Hundreds of daemons start at once, and each has hundreds of updates to send. Their
// messages must not stay full of updates for minutes after all members are known.
func TestUpdateQueueDrainsAfterMassStart(t *testing.T) {
	const members = 360
	q := newUpdateQueue()
	for i := range members {
		q.add(&peerpb.Member{Id: fmt.Sprint(i)})
	}
	messages := 0
	for len(q.next(members)) > 0 {
		messages++
	}
	// At two messages per period this takes a minute and a half at most.
	if messages > 180 {
		t.Errorf("%d messages until the queue was empty", messages)
	}
}

// A VM loses its network briefly, suspects a member and is then frozen. After the pause
// the suspicion has timed out, although the VM itself was unreachable. It must not mark
// the member dead.
func TestResumedMemberMarksNobodyDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		resumed := f.daemons["vm-003"].membership
		countState := func(s peerpb.Member_State) int {
			n := 0
			for _, m := range resumed.View().Members {
				if m.Member.State == s {
					n++
				}
			}
			return n
		}
		cut := func(on bool) {
			for _, v := range f.vms {
				f.setCut("vm-003", v.ID, on)
			}
		}
		cut(true)
		if _, ok := waitUntil(10*time.Second, func() bool { return countState(peerpb.Member_SUSPECT) > 0 }); !ok {
			t.Fatal("no member became suspect")
		}
		cut(false)
		f.pause("vm-003", 10*time.Second)
		dead := 0
		waitUntil(10*time.Second, func() bool {
			dead += countState(peerpb.Member_DEAD)
			return false
		})
		if dead > 0 {
			t.Errorf("marked others dead %d times", dead)
		}
	})
}

// One heartbeat in ten is lost for ten minutes. Members may become suspect, but none may
// be marked dead, or leases would move needlessly.
func TestPacketLossCausesNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		waitUntil(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.mu.Lock()
		f.loss = rand.New(rand.NewPCG(1, 1))
		f.mu.Unlock()
		suspect, dead := 0, 0
		waitUntil(10*time.Minute, func() bool {
			for id := range f.daemons {
				states := f.states(id)
				suspect += states[peerpb.Member_SUSPECT]
				dead += states[peerpb.Member_DEAD]
			}
			return false
		})
		t.Logf("seen suspect %d times, dead %d times", suspect, dead)
		if dead > 0 {
			t.Errorf("marked dead %d times", dead)
		}
	})
}
