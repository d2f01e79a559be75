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
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/internal/packetnet"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// list is a store that holds the daemons only.
type list struct {
	mu      sync.Mutex
	lists   int
	puts    int
	records map[string]port.KeyedRecord
}

func (l *list) Newest(context.Context, port.Topic, string) (port.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists++
	var page port.KeyedPage
	for _, r := range l.records {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (l *list) Put(_ context.Context, _ port.Topic, key string, value []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts++
	l.records[key] = port.KeyedRecord{Key: key, Value: value}
	return 0, nil
}

func (l *list) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, errors.New("not used")
}

func (l *list) PutAt(context.Context, port.Topic, string, []byte, int64) (int64, error) {
	return 0, errors.New("not used")
}

// daemons is a fleet of rosters.
type daemons struct {
	w      *packetnet.Net
	store  *list
	away   atomic.Bool
	zones  int                  // availability zones, 0: one
	rate   func(vm int) float64 // requests a second of each, nil: not counted
	all    []*Roster
	books  []*engines.Tracker
	ends   []*packetnet.End
	claims []*claimBook
}

func peerAddr(vm int) string { return fmt.Sprintf("10.0.%d.%d:7000", vm/250, vm%250) }

func (d *daemons) zone(vm int) string { return fmt.Sprint("z", vm%max(d.zones, 1)) }

func (d *daemons) add(vm int, incarnation uint64) *Roster {
	return d.addBehind(vm, incarnation, 0)
}

// addBehind adds a daemon behind a link of that bandwidth.
func (d *daemons) addBehind(vm int, incarnation uint64, linkMbps uint32) *Roster {
	addr := peerAddr(vm)
	var r *Roster
	book := engines.New(time.Now, func(w engines.Work) {
		if r != nil {
			r.Changed(w)
		}
	})
	claims := &claimBook{}
	end := d.w.Open(addr)
	d.ends = append(d.ends, end)
	var rate func() float64
	if d.rate != nil {
		rate = func() float64 { return d.rate(vm) }
	}
	r, err := New(Options{
		Rate: rate,
		Self: Member{
			VM: fmt.Sprintf("vm%03d", vm), Incarnation: incarnation, Zone: d.zone(vm),
			CallerAddr: fmt.Sprintf("10.0.%d.%d:80", vm/250, vm%250), PeerAddr: addr, LinkMbps: linkMbps,
		},
		Claims: claims, Speeds: speed.NewBook(), Demand: demand.New(time.Now),
		Store: d.store, Book: book, TTL: time.Second, StoreAway: d.away.Load, Conn: end,
	})
	if err != nil {
		panic(err)
	}
	r.Start()
	r.SetState(Ready)
	d.all, d.books, d.claims = append(d.all, r), append(d.books, book), append(d.claims, claims)
	return r
}

func newDaemons() *daemons {
	return &daemons{w: packetnet.New(2), store: &list{records: map[string]port.KeyedRecord{}}}
}

func withFleet(t *testing.T, n int, test func(t *testing.T, d *daemons)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		for i := range n {
			d.add(i+1, 1)
		}
		_ = pause.For(context.Background(), 2*time.Second)
		test(t, d)
		for _, r := range d.all {
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
	withFleet(t, 5, func(t *testing.T, d *daemons) {
		for i, r := range d.all {
			if len(r.Members()) != 5 || addrs(r) != 5 {
				t.Errorf("daemon %d knows %d members, %d addresses", i, len(r.Members()), addrs(r))
			}
		}
		if !d.all[0].MayLead() || d.all[1].MayLead() {
			t.Error("not the first by name leads")
		}
	})
}

// Callers open connections to a daemon that is stopping, and lose them.
func TestLeavingDaemonIsOutOfTheAnswersAtOnce(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, d *daemons) {
		d.all[2].SetState(Leaving)
		synctest.Wait()
		if addrs(d.all[0]) != 2 || addrs(d.all[2]) != 2 {
			t.Errorf("%d and %d addresses, want 2", addrs(d.all[0]), addrs(d.all[2]))
		}
	})
}

// Callers are sent to a daemon that was killed, for seconds.
func TestSilentDaemonIsOutSoon(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, d *daemons) {
		d.w.SetCut("10.0.0.3:7000", true)
		_ = pause.For(context.Background(), deadAfter+heartbeatInterval)
		if addrs(d.all[0]) != 2 {
			t.Errorf("%d addresses, want 2", addrs(d.all[0]))
		}
		d.w.SetCut("10.0.0.3:7000", false)
		_ = pause.For(context.Background(), 2*heartbeatInterval)
		if addrs(d.all[0]) != 3 {
			t.Errorf("%d addresses after its return, want 3", addrs(d.all[0]))
		}
	})
}

// A daemon that is cut off sends all callers that ask it to itself alone.
func TestCutOffDaemonStillNamesTheOthers(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, d *daemons) {
		d.w.SetCut("10.0.0.1:7000", true)
		d.away.Store(true)
		_ = pause.For(context.Background(), 5*time.Second)
		if addrs(d.all[0]) != 3 {
			t.Errorf("%d addresses, want 3", addrs(d.all[0]))
		}
		d.away.Store(false)
		if addrs(d.all[0]) != 1 {
			t.Errorf("%d addresses though the store shows that the others are gone", addrs(d.all[0]))
		}
	})
}

// pause stops a daemon for that long: it sends and receives nothing.
func (d *daemons) pause(vm int, long time.Duration) {
	asleep := make(chan struct{})
	d.claims[vm-1].asleep.Store(&asleep)
	d.w.SetCut(peerAddr(vm), true)
	_ = pause.For(context.Background(), long)
	d.w.SetCut(peerAddr(vm), false)
	d.claims[vm-1].asleep.Store(nil)
	close(asleep)
}

// TestPausedDaemonStillNamesTheOthers guards against callers that are all sent
// to one daemon because it heard of no other while it was paused itself.
func TestPausedDaemonStillNamesTheOthers(t *testing.T) {
	for _, n := range []int{3, 30} {
		withFleet(t, n, func(t *testing.T, d *daemons) {
			_ = pause.For(context.Background(), 4*time.Second)
			d.pause(n, 5*time.Second)
			if got := addrs(d.all[n-1]); got != n {
				t.Errorf("%d of %d addresses after the pause", got, n)
			}
			_ = pause.For(context.Background(), 2*settleAfterPause)
			if got := addrs(d.all[n-1]); got != n {
				t.Errorf("%d of %d addresses some time later", got, n)
			}
			d.w.SetCut(peerAddr(1), true)
			d.pause(n, 5*time.Second)
			_ = pause.For(context.Background(), settleAfterPause+heartbeatInterval)
			if got := addrs(d.all[n-1]); got != n-1 {
				t.Errorf("%d of %d addresses though one died during the pause", got, n)
			}
		})
	}
}

// A daemon that was started again while its clock stood further back would
// stay unknown to the others for good.
func TestRestartWithAnEarlierClock(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, d *daemons) {
		_ = d.all[1].Stop()
		_ = pause.For(context.Background(), time.Second)
		d.add(2, 0)
		_ = pause.For(context.Background(), time.Second)
		if addrs(d.all[0]) != 2 {
			t.Errorf("%d addresses, want 2", addrs(d.all[0]))
		}
	})
}

// An old datagram arrives after a newer one: a daemon that said it leaves would
// be back in the answers.
func TestOlderBeatsAreLeftOut(t *testing.T) {
	p := &peer{member: Member{VM: "a", Incarnation: 2}, seq: 7, lastSeen: time.Unix(100, 0)}
	now := time.Unix(100, 0).Add(heartbeatInterval)
	cases := []struct {
		incarnation, seq uint64
		want             bool
	}{{2, 8, false}, {2, 7, true}, {2, 6, true}, {1, 9, true}, {3, 1, false}}
	for _, tc := range cases {
		if got := p.outdated(tc.incarnation, tc.seq, now); got != tc.want {
			t.Errorf("incarnation %d, beat %d: outdated %v", tc.incarnation, tc.seq, got)
		}
	}
}

// Guards against callers that all open their connections to the same few of the
// daemons that they may be sent to, which refuse and are late, while the others
// have nothing to do.
func TestCallersSpreadOverALargeFleet(t *testing.T) {
	for level, least := range map[uint8]float64{0: idleShare, 7: 1} { // idle, and with 64 requests a second at each
		synctest.Test(t, func(t *testing.T) { // the daemons were heard just now, however long this takes
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
				if len(addrs) < leastActive {
					t.Fatalf("%d addresses", len(addrs))
				}
				for _, a := range addrs {
					got[a]++
				}
				read += len(addrs)
			}
			if float64(len(got)) < least*daemons {
				t.Errorf("%d of %d daemons are named", len(got), daemons)
			}
			mean := read / len(got)
			for addr, n := range got {
				if n < mean/2 || n > mean*2 {
					t.Errorf("%s is read by %d callers, %d on the mean", addr, n, mean)
				}
			}
		})
	}
}

// Six daemons each send a long prompt to the engine that looks idle to all.
func TestWorkIsKnownElsewhereSoon(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, d *daemons) {
		parts := []port.PromptPart{{ID: 1, Tokens: 500}}
		done := d.books[0].Prefill("e", 10_000, parts, 0, 500*time.Millisecond)
		_ = pause.For(context.Background(), 3*batchDelay)
		synctest.Wait()
		if l := d.books[2].Load("e", parts); l.Wait < 400*time.Millisecond || l.Cached != 500 {
			t.Errorf("the other daemon knows %+v", l)
		}
		done()
		_ = pause.For(context.Background(), 3*batchDelay)
		synctest.Wait()
		if l := d.books[2].Load("e", nil); l.Wait != 0 {
			t.Errorf("work that has ended still counts elsewhere: %+v", l)
		}
	})
}

// claimBook notes what is heard of claims.
type claimBook struct {
	own, received []Claim
	asleep        atomic.Pointer[chan struct{}] // nil: awake
}

// Report blocks while the daemon sleeps, so that it sends nothing.
func (c *claimBook) Report() []Claim {
	if asleep := c.asleep.Load(); asleep != nil {
		<-*asleep
	}
	return c.own
}
func (c *claimBook) Merge(cs []Claim) { c.received = append(c.received, cs...) }

// What a daemon knows of claims gets lost between it and the others, and the
// next holder waits for a lease that is long over.
func TestClaimsTravelWithBeats(t *testing.T) {
	want := Claim{Subject: "svc", Offset: 7, AgeMs: 4000}
	data, err := encode(&heartbeat{Member: Member{VM: "a", PeerAddr: "10.0.0.1:1"}, Seq: 1, Claims: []Claim{want}})
	if err != nil {
		t.Fatal(err)
	}
	book := &claimBook{}
	r := &Roster{
		o:     Options{Book: engines.New(time.Now, func(engines.Work) {}), Claims: book, Speeds: speed.NewBook(), Demand: demand.New(time.Now)},
		peers: map[string]*peer{}, tokens: map[uint32]string{}, updates: make(chan struct{}, 1),
	}
	if err := r.handleDatagram(data, &net.UDPAddr{}); err != nil {
		t.Fatal(err)
	}
	if len(book.received) != 1 || book.received[0] != want {
		t.Errorf("heard %+v", book.received)
	}
}

func TestBeatsFitIntoADatagram(t *testing.T) {
	b := &heartbeat{Member: Member{VM: "a"}}
	for i := range 60 {
		b.Reads = append(b.Reads, engines.Read{Target: uint64(i) << 40, Parts: make([]port.PromptPart, 4)})
	}
	data, err := encode(b)
	if err != nil || len(data) > maxDatagram {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}

// count is the number of datagrams sent so far.
