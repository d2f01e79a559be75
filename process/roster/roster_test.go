package roster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/summary"
	"github.com/pomelospool/pomelospool/internal/packetnet"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// fakeStore is a store that holds only the daemons' contact records.
type fakeStore struct {
	mu      sync.Mutex
	lists   int
	puts    int
	records map[string]port.KeyedRecord
}

func (s *fakeStore) Newest(context.Context, port.Topic, string) (port.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var page port.KeyedPage
	for _, r := range s.records {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *fakeStore) Put(_ context.Context, _ port.Topic, key string, value []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	s.records[key] = port.KeyedRecord{Key: key, Value: value}
	return 0, nil
}

func (s *fakeStore) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, errors.New("not used")
}

func (s *fakeStore) PutAt(context.Context, port.Topic, string, []byte, int64) (int64, error) {
	return 0, errors.New("not used")
}

// testFleet is a fleet of rosters on a simulated network.
type testFleet struct {
	net              *packetnet.Net
	store            *fakeStore
	storeUnavailable atomic.Bool
	zones            int                  // number of availability zones, 0: one
	rate             func(vm int) float64 // requests per second of each daemon, nil: not counted
	unlinked         [20]atomic.Bool      // by VM, whether the daemon has lost its links
	all              []*Roster
	trackers         []*engines.Tracker
	ends             []*packetnet.Conn
	claims           []*fakeClaims
	crashes          []*quarantine.CrashTracker
	origins          []*origin.Tracker
	tables           []*summary.Table[tableRow]
}

func peerAddr(vm int) string { return fmt.Sprintf("10.0.%d.%d:7000", vm/250, vm%250) }

func (f *testFleet) zone(vm int) string { return fmt.Sprint("z", vm%max(f.zones, 1)) }

func (f *testFleet) add(vm int, incarnation uint64) *Roster {
	return f.addBehind(vm, incarnation, 0)
}

// addBehind adds a daemon whose link has the given bandwidth.
func (f *testFleet) addBehind(vm int, incarnation uint64, linkMbps uint32) *Roster {
	addr := peerAddr(vm)
	var r *Roster
	tracker := engines.New(time.Now, func(w engines.Work) {
		if r != nil {
			r.WorkChanged(w)
		}
	})
	claims := &fakeClaims{}
	end := f.net.Open(addr)
	f.ends = append(f.ends, end)
	var rate func() float64
	if f.rate != nil {
		rate = func() float64 { return f.rate(vm) }
	}
	crashes := quarantine.New(quarantine.Options{ToleratedCrashes: 2, Changed: func() { r.Notify() }})
	peers := &originPeers{}
	origins := origin.New(origin.Options{Peers: peers})
	table := newTable(vm)
	r, err := New(Options{
		Summaries: map[uint8]Summary{TopicShares: table},
		Rate:      rate, Convictions: crashes, Origins: origins,
		Self: Member{
			VM: fmt.Sprintf("vm%03d", vm), Incarnation: incarnation, Zone: f.zone(vm),
			CallerAddr: fmt.Sprintf("10.0.%d.%d:80", vm/250, vm%250), PeerAddr: addr, LinkMbps: linkMbps,
		},
		Claims: claims, Speeds: speed.NewTracker(), Demand: demand.New(time.Now),
		Store: f.store, Engines: tracker, TTL: time.Second, StoreUnavailable: f.storeUnavailable.Load, Conn: end,
		Unlinked: func() bool { return vm < len(f.unlinked) && f.unlinked[vm].Load() },
	})
	if err != nil {
		panic(err)
	}
	peers.Roster = r
	r.Start()
	r.SetState(Ready)
	f.all, f.trackers, f.claims = append(f.all, r), append(f.trackers, tracker), append(f.claims, claims)
	f.crashes, f.origins = append(f.crashes, crashes), append(f.origins, origins)
	f.tables = append(f.tables, table)
	return r
}

func newTestFleet() *testFleet {
	return &testFleet{net: packetnet.New(2), store: &fakeStore{records: map[string]port.KeyedRecord{}}}
}

func withFleet(t *testing.T, n int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		for i := range n {
			f.add(i+1, 1)
		}
		_ = pause.For(context.Background(), 2*time.Second)
		test(t, f)
		for _, r := range f.all {
			_ = r.Stop()
		}
		synctest.Wait()
	})
}

func addrs(r *Roster) int {
	a, _ := r.Addresses("z", "10.9.0.1")
	return len(a)
}

func TestDaemonsFindEachOther(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *testFleet) {
		for i, r := range f.all {
			if len(r.Members()) != 5 || addrs(r) != 5 {
				t.Errorf("daemon %d knows %d members, %d addresses", i, len(r.Members()), addrs(r))
			}
		}
		if !f.all[0].MayLead() || f.all[1].MayLead() {
			t.Error("not the first by name leads")
		}
	})
}

// Guards against callers that open connections to a stopping daemon and lose them.
func TestLeavingDaemonIsRemovedFromAddressesAtOnce(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.all[2].SetState(Leaving)
		synctest.Wait()
		if addrs(f.all[0]) != 2 || addrs(f.all[2]) != 2 {
			t.Errorf("%d and %d addresses, want 2", addrs(f.all[0]), addrs(f.all[2]))
		}
	})
}

// Guards against sending callers to a killed daemon for seconds.
func TestUnresponsiveDaemonIsRemoved(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.net.SetUnreachable("10.0.0.3:7000", true)
		_ = pause.For(context.Background(), deadAfter+heartbeatInterval)
		if addrs(f.all[0]) != 2 {
			t.Errorf("%d addresses, want 2", addrs(f.all[0]))
		}
		f.net.SetUnreachable("10.0.0.3:7000", false)
		_ = pause.For(context.Background(), 2*heartbeatInterval)
		if addrs(f.all[0]) != 3 {
			t.Errorf("%d addresses after its return, want 3", addrs(f.all[0]))
		}
	})
}

// Guards against an isolated daemon that sends all callers that ask it to itself alone.
func TestIsolatedDaemonStillNamesOthers(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		f.net.SetUnreachable("10.0.0.1:7000", true)
		f.storeUnavailable.Store(true)
		_ = pause.For(context.Background(), 5*time.Second)
		if addrs(f.all[0]) != 3 {
			t.Errorf("%d addresses, want 3", addrs(f.all[0]))
		}
		f.storeUnavailable.Store(false)
		if addrs(f.all[0]) != 1 {
			t.Errorf("%d addresses though the store is reachable and the others are gone", addrs(f.all[0]))
		}
	})
}

// pause pauses a daemon: it sends and receives nothing for the given time.
func (f *testFleet) pause(vm int, long time.Duration) {
	resumed := make(chan struct{})
	f.claims[vm-1].resumed.Store(&resumed)
	f.net.SetUnreachable(peerAddr(vm), true)
	_ = pause.For(context.Background(), long)
	f.net.SetUnreachable(peerAddr(vm), false)
	f.claims[vm-1].resumed.Store(nil)
	close(resumed)
}

// Guards against a daemon that names only itself to callers after a pause, because it
// received no heartbeat of others while it was paused.
func TestPausedDaemonStillNamesOthers(t *testing.T) {
	for _, n := range []int{3, 30} {
		withFleet(t, n, func(t *testing.T, f *testFleet) {
			_ = pause.For(context.Background(), 4*time.Second)
			f.pause(n, 5*time.Second)
			if got := addrs(f.all[n-1]); got != n {
				t.Errorf("%d of %d addresses after the pause", got, n)
			}
			_ = pause.For(context.Background(), 2*settleAfterPause)
			if got := addrs(f.all[n-1]); got != n {
				t.Errorf("%d of %d addresses some time later", got, n)
			}
			f.net.SetUnreachable(peerAddr(1), true)
			f.pause(n, 5*time.Second)
			_ = pause.For(context.Background(), settleAfterPause+heartbeatInterval)
			if got := addrs(f.all[n-1]); got != n-1 {
				t.Errorf("%d of %d addresses though one died during the pause", got, n)
			}
		})
	}
}

// Guards against daemons that never find each other again after a cut or a pause that is
// longer than they remember each other.
func TestDaemonsFindEachOtherAfterALongCut(t *testing.T) {
	for _, n := range []int{3, 30} {
		withFleet(t, n, func(t *testing.T, f *testFleet) {
			_ = pause.For(context.Background(), 4*time.Second)
			for _, vm := range []int{1, 2} {
				f.net.SetUnreachable(peerAddr(vm), true)
			}
			_ = pause.For(context.Background(), peerExpiry+4*time.Second)
			for _, vm := range []int{1, 2} {
				f.net.SetUnreachable(peerAddr(vm), false)
			}
			_ = pause.For(context.Background(), 8*time.Second)
			for i, r := range f.all {
				if got := addrs(r); got != n {
					t.Errorf("daemon %d names %d of %d addresses after the cut", i+1, got, n)
				}
			}
		})
	}
}

// Guards against daemons that are cut off from each other for so long that each side
// divides the retry budget's slack among its own members only.
func TestDaemonsThatAreCutOffShareTheBudget(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *testFleet) {
		_ = pause.For(context.Background(), 4*time.Second)
		for _, vm := range []int{3, 4} {
			f.net.SetUnreachable(peerAddr(vm), true)
		}
		f.net.SetUnreachable(peerAddr(5), true)
		f.add(5, 1)
		_ = pause.For(context.Background(), peerExpiry+time.Second)
		for i, r := range f.all {
			if n := r.FleetSize(); n < 4 {
				t.Errorf("daemon %d shares with %d daemons in all, at least 4 run", i+1, n)
			}
		}
	})
}

// Guards against daemons that have left keeping their part of the retry budget's slack.
func TestDaemonsThatLeftHaveNoPartOfTheBudget(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		_ = pause.For(context.Background(), 4*time.Second)
		f.net.SetUnreachable(peerAddr(2), true)
		_ = pause.For(context.Background(), peerExpiry+time.Second)
		f.net.SetUnreachable(peerAddr(2), false)
		_ = pause.For(context.Background(), 4*time.Second)
		if n := f.all[0].FleetSize(); n != 3 {
			t.Errorf("%d daemons after the return of one, want 3", n)
		}
		f.all[1].SetState(Leaving)
		_ = f.all[1].Stop()
		_ = pause.For(context.Background(), peerExpiry+time.Second)
		if n := f.all[0].FleetSize(); n != 2 {
			t.Errorf("%d daemons after one left, want 2", n)
		}
	})
}

// Guards against ignoring a daemon forever that restarted with its clock set back.
func TestRestartWithAnEarlierClock(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *testFleet) {
		_ = f.all[1].Stop()
		_ = pause.For(context.Background(), time.Second)
		f.add(2, 0)
		_ = pause.For(context.Background(), time.Second)
		if addrs(f.all[0]) != 2 {
			t.Errorf("%d addresses, want 2", addrs(f.all[0]))
		}
	})
}

// Guards against datagrams that arrive out of order: a daemon that announced that it
// leaves would be named to callers again.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	p := &peer{member: Member{VM: "a", Incarnation: 2}, seq: 7, lastSeen: time.Unix(100, 0)}
	now := time.Unix(100, 0).Add(heartbeatInterval)
	cases := []struct {
		incarnation, seq uint64
		want             bool
	}{{2, 8, false}, {2, 7, true}, {2, 6, true}, {1, 9, true}, {3, 1, false}}
	for _, tc := range cases {
		if got := p.outdated(tc.incarnation, tc.seq, now); got != tc.want {
			t.Errorf("incarnation %d, heartbeat %d: outdated %v", tc.incarnation, tc.seq, got)
		}
	}
}

// Guards against callers that all connect to the same few daemons, which then refuse or
// delay requests while the others are idle.
func TestCallersSpreadOverALargeFleet(t *testing.T) {
	for level, least := range map[uint8]float64{0: minActiveShare, 7: 1} { // idle, and 64 requests per second at each
		synctest.Test(t, func(t *testing.T) { // virtual time keeps the daemons alive, however long this takes
			const daemons, callers = 295, 549
			zones := []string{"a", "b", "c", "d", "e"}
			r := &Roster{o: Options{TTL: time.Second}, self: Member{State: Starting}, peers: map[string]*peer{}}
			for i := range daemons {
				addr := fmt.Sprintf("10.%d.0.%d:80", i%len(zones), i)
				r.peers[addr] = &peer{known: true, lastSeen: time.Now(), member: Member{VM: addr, CallerAddr: addr, Zone: zones[i%len(zones)], State: Ready, RateLevel: level}}
			}
			got, read := map[string]int{}, 0
			for i := range callers {
				addrs, _ := r.Addresses(zones[i%len(zones)], fmt.Sprintf("100.64.%d.%d", i/250, i%250))
				if len(addrs) < minActive {
					t.Fatalf("%d addresses", len(addrs))
				}
				for _, a := range addrs {
					got[a]++
				}
				read += len(addrs)
			}
			if float64(len(got)) < least*daemons {
				t.Errorf("%d of %d daemons are in the addresses", len(got), daemons)
			}
			mean := read / len(got)
			for addr, n := range got {
				if n < mean/2 || n > mean*2 {
					t.Errorf("%s is named to %d callers, %d on average", addr, n, mean)
				}
			}
		})
	}
}

// Guards against six daemons that each send a long prompt to the engine that looks idle to
// all of them.
func TestWorkIsKnownElsewhereSoon(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		parts := []port.PromptPart{{ID: 1, Tokens: 500}}
		done := f.trackers[0].Prefill("e", 10_000, parts, 0, 500*time.Millisecond)
		_ = pause.For(context.Background(), 3*batchDelay)
		synctest.Wait()
		if l := f.trackers[2].Load("e", parts); l.Wait < 400*time.Millisecond || l.Cached != 500 {
			t.Errorf("the other daemon knows %+v", l)
		}
		done()
		_ = pause.For(context.Background(), 3*batchDelay)
		synctest.Wait()
		if l := f.trackers[2].Load("e", nil); l.Wait != 0 {
			t.Errorf("work that has ended still counts elsewhere: %+v", l)
		}
	})
}

// fakeClaims records received claims.
type fakeClaims struct {
	own, received []Claim
	resumed       atomic.Pointer[chan struct{}] // not nil while the daemon is paused
}

// Report blocks while the daemon is paused, so that it sends nothing.
func (c *fakeClaims) Report() []Claim {
	if resumed := c.resumed.Load(); resumed != nil {
		<-*resumed
	}
	return c.own
}
func (c *fakeClaims) Merge(cs []Claim) { c.received = append(c.received, cs...) }

// Guards against losing claims between daemons: the next holder would wait for a lease
// that ended long ago.
func TestHeartbeatsCarryClaims(t *testing.T) {
	want := Claim{Subject: "svc", Offset: 7, AgeMs: 4000}
	data, err := encodeHeartbeat(&heartbeat{Member: Member{VM: "a", PeerAddr: "10.0.0.1:1"}, Seq: 1, Claims: []Claim{want}})
	if err != nil {
		t.Fatal(err)
	}
	claims := &fakeClaims{}
	r := &Roster{
		o:     Options{Engines: engines.New(time.Now, func(engines.Work) {}), Claims: claims, Speeds: speed.NewTracker(), Demand: demand.New(time.Now)},
		peers: map[string]*peer{}, tokens: map[uint32]string{}, updates: make(chan struct{}, 1),
	}
	if err := r.handleDatagram(data, &net.UDPAddr{}); err != nil {
		t.Fatal(err)
	}
	if len(claims.received) != 1 || claims.received[0] != want {
		t.Errorf("received %+v", claims.received)
	}
}

func TestHeartbeatFitsIntoDatagram(t *testing.T) {
	hb := &heartbeat{Member: Member{VM: "a"}}
	for i := range 60 {
		hb.Reads = append(hb.Reads, engines.Read{Target: uint64(i) << 40, Parts: make([]port.PromptPart, 4)})
	}
	data, err := encodeHeartbeat(hb)
	if err != nil || len(data) > maxDatagramSize {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
