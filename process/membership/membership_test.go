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

	targetHost = "target"
	lossOf     = 10
)

var errCut = errors.New("link is cut")

// fleet is a set of processes whose heartbeats are function calls over links
// that can be cut one way.
type fleet struct {
	mu     sync.Mutex
	nodes  map[string]*node
	cut    map[[2]string]bool
	vms    []port.VM
	starts uint64
	news   int // members carried by answers

	loss *rand.Rand // when set, one call in lossOf is lost
}

type node struct {
	id     string
	m      *Membership
	killed bool
	awake  chan struct{} // closed while the process runs
	deaths map[string]int
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: map[string]*node{}, cut: map[[2]string]bool{}}
	f.grow(n)
	return f
}

// grow lists n daemons and starts them.
func (f *fleet) grow(n int) {
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

func (f *fleet) start(id string) *node {
	awake := make(chan struct{})
	close(awake)
	n := &node{id: id, awake: awake, deaths: map[string]int{}}
	began := time.Now()
	f.mu.Lock()
	f.starts++
	seed := f.starts
	f.mu.Unlock()
	n.m = New(Options{
		Self:     &peerpb.Member{Id: id, Incarnation: fmt.Sprintf("%s/%d", id, seed), StartedMs: seed, PeerAddr: id},
		Prober:   &link{f: f, from: id},
		VMs:      f,
		IsTarget: func(host string) bool { return host == targetHost },
		PeerAddr: func(v port.VM) string { return v.Addr },
		Applied:  func() int64 { <-f.awakeOf(id); return 0 },
		Now:      func() time.Duration { return time.Since(began) },
		Period:   period, DeadAfter: deadAfter, Seed: seed,
	})
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	n.m.Start()
	return n
}

func (f *fleet) awakeOf(id string) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id].awake
}

// List implements port.VMs.
func (f *fleet) List(context.Context) ([]port.VM, error) { return f.vms, nil }

func (f *fleet) set(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

func (f *fleet) kill(id string) {
	f.mu.Lock()
	f.nodes[id].killed = true
	m := f.nodes[id].m
	f.mu.Unlock()
	_ = m.Stop()
}

func (f *fleet) pause(id string, d time.Duration) {
	asleep := make(chan struct{})
	f.mu.Lock()
	f.nodes[id].awake = asleep
	f.mu.Unlock()
	advance(d)
	close(asleep)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		if !n.killed {
			_ = n.m.Stop()
		}
	}
}

// states returns what each running node but id itself says about id.
func (f *fleet) states(id string) map[peerpb.Member_State]int {
	out := map[peerpb.Member_State]int{}
	for _, n := range f.nodes {
		if n.killed || n.id == id {
			continue
		}
		for _, s := range n.m.View().Members {
			if s.Member.Id == id {
				out[s.Member.State]++
			}
		}
	}
	return out
}

// link is the Prober of one node.
type link struct {
	f    *fleet
	from string
}

func (l *link) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	l.f.mu.Lock()
	to := l.f.nodes[addr]
	bad := l.f.cut[[2]string{l.from, addr}] || l.f.cut[[2]string{addr, l.from}] || to == nil || to.killed
	lost := l.f.loss != nil && l.f.loss.IntN(lossOf) == 0
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
		reply, err := to.m.HandleHeartbeat(ctx, r)
		ch <- answer{reply, err}
	}()
	select {
	case a := <-ch:
		l.f.mu.Lock()
		l.f.news += len(a.r.GetNews())
		l.f.mu.Unlock()
		return a.r, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// advance lets the virtual clock of the synctest bubble run on.
func advance(d time.Duration) { <-time.After(d) }

// within runs the virtual clock until ok or the limit, and tells how long.
func within(limit time.Duration, ok func() bool) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < limit {
		if ok() {
			return time.Since(began), true
		}
		advance(period / 5)
	}
	return limit, ok()
}

func (f *fleet) all(id string, s peerpb.Member_State, n int) func() bool {
	return func() bool { return f.states(id)[s] == n }
}

// A VM is killed. Callers' keys and leases that it held stay stuck until the
// others agree that it is dead, so each of them must say so within seconds,
// and nobody else may be called dead meanwhile.
func TestKilledMemberIsDeadEverywhere(t *testing.T) {
	for _, n := range []int{3, 8, 32} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n)
				defer f.stop()
				if d, ok := within(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, n-1)); !ok {
					t.Fatalf("not live everywhere after %v: %v", d, f.states("vm-001"))
				}
				f.kill("vm-001")
				d, ok := within(30*time.Second, f.all("vm-001", peerpb.Member_DEAD, n-1))
				if !ok {
					t.Fatalf("states after %v: %v", d, f.states("vm-001"))
				}
				t.Logf("%d members: dead everywhere after %v", n, d)
				for id := range f.nodes {
					if id != "vm-001" && f.states(id)[peerpb.Member_LIVE] != n-2 {
						t.Errorf("%s: %v", id, f.states(id))
					}
				}
			})
		})
	}
}

// One link of the fleet is cut in one direction. Both ends still serve
// callers, so the ones that can't reach each other must not call each other
// dead: others reach both.
func TestOneCutLinkIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.set("vm-000", "vm-001", true)
		bad := 0
		within(time.Minute, func() bool {
			bad += f.states("vm-001")[peerpb.Member_DEAD] + f.states("vm-000")[peerpb.Member_DEAD]
			return false
		})
		if bad > 0 {
			t.Errorf("seen dead %d times", bad)
		}
	})
}

// The host freezes a VM for ten seconds. The others call it dead, and it
// wakes believing that they are. When it is back everyone must be live again
// everywhere, and the sleeper must not have spread deaths of its own making.
func TestPausedMemberComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		f.pause("vm-003", 10*time.Second)
		d, ok := within(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		if !ok {
			t.Fatalf("still %v after %v", f.states("vm-003"), d)
		}
		for id := range f.nodes {
			if f.states(id)[peerpb.Member_LIVE] != 7 {
				t.Errorf("%s: %v", id, f.states(id))
			}
		}
	})
}

// The fleet is cut in two for a minute, as when regions lose each other. Each
// side calls the other dead. After the cut both sides must find each other
// again without a restart.
func TestHealedPartitionJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-007", peerpb.Member_LIVE, 7))
		between := func(cut bool) {
			for i := range 4 {
				for j := 4; j < 8; j++ {
					f.set(f.vms[i].ID, f.vms[j].ID, cut)
				}
			}
		}
		between(true)
		if _, ok := within(time.Minute, f.all("vm-007", peerpb.Member_DEAD, 4)); !ok {
			t.Fatalf("during the cut: %v", f.states("vm-007"))
		}
		between(false)
		if d, ok := within(time.Minute, func() bool {
			return f.all("vm-007", peerpb.Member_LIVE, 7)() && f.all("vm-000", peerpb.Member_LIVE, 7)()
		}); !ok {
			t.Fatalf("after %v: %v %v", d, f.states("vm-007"), f.states("vm-000"))
		}
	})
}

// A VM is replaced: the same id starts again with a new incarnation while
// others still hold news of the old one. Old news must not override it.
func TestRestartOverridesOldNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-002", peerpb.Member_LIVE, 7))
		old := f.nodes["vm-002"].m.View().Self.Incarnation
		f.kill("vm-002")
		fresh := f.start("vm-002")
		_, ok := within(30*time.Second, func() bool {
			for _, n := range f.nodes {
				if n.id != "vm-002" && n.m.View().Standing("vm-002", old) != Gone {
					return false
				}
			}
			return f.all("vm-002", peerpb.Member_LIVE, 7)()
		})
		if !ok {
			t.Fatalf("%v; new incarnation %s", f.states("vm-002"), fresh.m.View().Self.Incarnation)
		}
	})
}

// A process that stops in a planned way says so, and the others stop naming
// it to callers although it still answers.
func TestLeavingIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-004", peerpb.Member_LIVE, 7))
		f.nodes["vm-004"].m.Leave()
		if d, ok := within(10*time.Second, f.all("vm-004", peerpb.Member_LEAVING, 7)); !ok {
			t.Fatalf("after %v: %v", d, f.states("vm-004"))
		}
		rank, of := f.nodes["vm-004"].m.View().Rank()
		if rank != of-1 {
			t.Errorf("rank %d of %d while leaving", rank, of)
		}
	})
}

// A VM starts in a large fleet, and the VM list doesn't name it yet, so nobody
// probes it. Probing the others itself takes many rounds. It must soon know
// who is alive, or it would take over what they hold.
func TestNewcomerSoonKnowsTheLiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(32)
		defer f.stop()
		within(30*time.Second, f.all("vm-005", peerpb.Member_LIVE, 31))
		advance(time.Minute)
		fresh := f.start("vm-new")
		advance(deadAfter)
		for id, n := range f.nodes {
			if id == "vm-new" {
				continue
			}
			if got := fresh.m.View().Standing(id, n.m.View().Self.Incarnation); got != Alive {
				t.Errorf("%s: standing %d", id, got)
			}
		}
	})
}

// The VM list names the VMs of targets too. They never answer heartbeats, and
// probing them must not delay the detection of a dead daemon.
func TestVMsOfTargetsDontDelayDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0)
		defer f.stop()
		for i := range 600 {
			f.vms = append(f.vms, port.VM{ID: fmt.Sprintf("target-%d", i), Addr: targetHost})
		}
		f.grow(8)
		within(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.kill("vm-001")
		if d, ok := within(8*time.Second, f.all("vm-001", peerpb.Member_DEAD, 7)); !ok {
			t.Errorf("after %v: %v", d, f.states("vm-001"))
		}
		if live, known := f.nodes["vm-000"].m.View().Reachable(); live != 6 || known != 7 {
			t.Errorf("%d of %d reachable, want 6 of 7", live, known)
		}
	})
}

// Nothing happens in the fleet for ten minutes. Heartbeats must carry next to
// nothing then: answers with all members, asked for now and again in case
// news was lost, would be most of what a daemon of a large fleet sends.
func TestQuietFleetSendsNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(32)
		defer f.stop()
		within(30*time.Second, f.all("vm-005", peerpb.Member_LIVE, 31))
		advance(2 * time.Minute)
		f.mu.Lock()
		f.news = 0
		f.mu.Unlock()
		advance(10 * time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.news > 0 {
			t.Errorf("answers carried %d members in ten quiet minutes", f.news)
		}
	})
}

// Hundreds of daemons start at once. Each has hundreds of changes to tell, and
// their messages must not stay full of them for minutes after all is known.
func TestNewsOfAMassStartRunsDry(t *testing.T) {
	const members = 360
	q := newNewsQueue()
	for i := range members {
		q.add(&peerpb.Member{Id: fmt.Sprint(i)})
	}
	messages := 0
	for len(q.take(members)) > 0 {
		messages++
	}
	// At two messages a period that is a minute and a half at most.
	if messages > 180 {
		t.Errorf("%d messages until the news ran dry", messages)
	}
}

// A VM loses its network for a moment, suspects a member, and is frozen right
// then. When it wakes the suspicion looks old enough for a death, though the
// silence was its own. It must not call the member dead.
func TestSleeperCallsNobodyDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-003", peerpb.Member_LIVE, 7))
		sleeper := f.nodes["vm-003"].m
		seen := func(s peerpb.Member_State) int {
			n := 0
			for _, m := range sleeper.View().Members {
				if m.Member.State == s {
					n++
				}
			}
			return n
		}
		cut := func(on bool) {
			for _, v := range f.vms {
				f.set("vm-003", v.ID, on)
			}
		}
		cut(true)
		if _, ok := within(10*time.Second, func() bool { return seen(peerpb.Member_SUSPECT) > 0 }); !ok {
			t.Fatal("suspects nobody")
		}
		cut(false)
		f.pause("vm-003", 10*time.Second)
		dead := 0
		within(10*time.Second, func() bool {
			dead += seen(peerpb.Member_DEAD)
			return false
		})
		if dead > 0 {
			t.Errorf("called others dead %d times", dead)
		}
	})
}

// A bad switch loses one heartbeat in ten for ten minutes. Members are
// suspected now and then, but nobody may be called dead, or leases would move
// about for nothing.
func TestLossIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		defer f.stop()
		within(30*time.Second, f.all("vm-001", peerpb.Member_LIVE, 7))
		f.mu.Lock()
		f.loss = rand.New(rand.NewPCG(1, 1))
		f.mu.Unlock()
		suspect, dead := 0, 0
		within(10*time.Minute, func() bool {
			for id := range f.nodes {
				states := f.states(id)
				suspect += states[peerpb.Member_SUSPECT]
				dead += states[peerpb.Member_DEAD]
			}
			return false
		})
		t.Logf("seen suspect %d times, dead %d times", suspect, dead)
		if dead > 0 {
			t.Errorf("called dead %d times", dead)
		}
	})
}
