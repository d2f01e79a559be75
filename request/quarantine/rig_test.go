package quarantine

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// TestMain keeps the log lines of provoked faults out of the output.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const (
	daemons   = 8
	engines   = 12
	serveTime = 50 * time.Millisecond
	crashTime = 20 * time.Millisecond // from the write of a deadly content to the crash
	repair    = 5 * time.Second       // of a dead engine
	hop       = time.Millisecond      // between daemons
)

// rig is a fleet of books over engines that die of some contents.
type rig struct {
	t      *testing.T
	books  []*Book
	poison map[uint64]bool

	mu       sync.Mutex
	deaf     bool // broadcasts are lost
	dead     map[string]time.Time
	noticed  map[string]chan struct{} // by daemon, engine and death
	inFlight map[string]int
	lost     int
	refused  map[uint64]int // answers 1012 and 1013 by content
}

func newRig(t *testing.T, poison ...uint64) *rig {
	r := &rig{t: t, poison: map[uint64]bool{}, dead: map[string]time.Time{}, noticed: map[string]chan struct{}{}, inFlight: map[string]int{}, refused: map[uint64]int{}}
	for _, fp := range poison {
		r.poison[fp] = true
	}
	for i := range daemons {
		r.books = append(r.books, New(Options{
			Self:      fmt.Sprintf("daemon-%d", i),
			Broadcast: func(ctx context.Context, news []*peerpb.Conviction) { r.broadcast(ctx, i, news) },
		}))
		r.books[i].Start()
	}
	return r
}

func (r *rig) stop() {
	for _, b := range r.books {
		_ = b.Stop()
	}
}

// broadcast is the daemons' hook, over links that may lose everything.
func (r *rig) broadcast(ctx context.Context, from int, news []*peerpb.Conviction) {
	fleet := Fleet{Self: func() *peerpb.Member { return nil }}
	fleet.Addrs = func() (addrs []string) {
		for i := range r.books {
			if i != from {
				addrs = append(addrs, strconv.Itoa(i))
			}
		}
		return addrs
	}
	fleet.Client = func(addr string) (peerpb.PeerClient, error) { return &link{r: r, to: addr}, nil }
	fleet.Broadcast(ctx, news, r.books[from].Incoming)
}

type link struct {
	peerpb.PeerClient
	r  *rig
	to string
}

// Heartbeat implements peerpb.PeerClient.
func (k *link) Heartbeat(ctx context.Context, h *peerpb.HeartbeatRequest, _ ...grpc.CallOption) (*peerpb.HeartbeatReply, error) {
	k.r.mu.Lock()
	deaf := k.r.deaf
	k.r.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to, _ := strconv.Atoi(k.to)
	<-time.After(hop)
	k.r.books[to].Incoming(h.Convictions)
	reply := k.r.books[to].Outgoing()
	<-time.After(hop)
	return &peerpb.HeartbeatReply{Convictions: reply}, nil
}

// heartbeats exchanges news around a ring, as often as membership would.
func (r *rig) heartbeats(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; <-time.After(500 * time.Millisecond) {
		for i := range r.books {
			r.books[(i+1)%daemons].Incoming(r.books[i].Outgoing())
		}
	}
}

// pick returns an engine that is alive, an idle one if it can, and only such
// a one if alone is asked for.
func (r *rig) pick(fp uint64, alone bool) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := ""
	for i := range engines {
		e := fmt.Sprintf("engine-%d", (int(fp)+i)%engines)
		if time.Now().Before(r.dead[e]) || alone && r.inFlight[e] > 0 {
			continue
		}
		if best == "" || r.inFlight[e] < r.inFlight[best] {
			best = e
		}
	}
	r.inFlight[best]++
	return best
}

func (r *rig) leave(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[engine]--
}

// die has an engine die.
func (r *rig) die(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.dead[engine]) {
		return
	}
	r.lost++
	r.dead[engine] = time.Now().Add(repair)
}

// notice tells a daemon of a death, once, before its requests go on.
func (r *rig) notice(b *Book, engine string) {
	r.mu.Lock()
	id := fmt.Sprint(b.o.Self, engine, r.dead[engine])
	done, known := r.noticed[id]
	if !known {
		done = make(chan struct{})
		r.noticed[id] = done
	}
	r.mu.Unlock()
	if known {
		<-done
		return
	}
	b.Crashed(engine)
	close(done)
}

// isDead reports whether the engine died since.
func (r *rig) isDead(engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.dead[engine])
}

// send does what the entry does with one request, and returns the code that
// the caller sees, 0 for an answer.
func (r *rig) send(daemon int, fp uint64) int {
	for range 3 {
		code, again := r.try(r.books[daemon], fp)
		if !again {
			return r.note(fp, code)
		}
	}
	return 2003
}

func (r *rig) note(fp uint64, code int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if code != 0 {
		r.refused[fp]++
	}
	return code
}

func (r *rig) try(b *Book, fp uint64) (code int, again bool) {
	standing, _ := b.Check(fp)
	finished := false
	switch standing {
	case Convicted:
		return 1013, false
	case Suspect, Watched:
		release, ok := b.Claim(context.Background(), fp)
		if !ok {
			return 1012, false
		}
		defer func() { release(finished) }()
	}
	engine := r.pick(fp, standing == Suspect)
	if engine == "" {
		return 1012, false
	}
	defer r.leave(engine)
	if standing != Clear {
		release, ok := b.ClaimTarget(context.Background(), fp, engine)
		if !ok {
			return 1012, false
		}
		defer func() { release(finished) }()
	}
	b.Begin(fp, engine)
	defer b.End(fp, engine)
	finished = r.serve(engine, fp)
	if !finished {
		r.notice(b, engine)
	}
	return 0, !finished
}

// serve reports whether the engine lived to answer.
func (r *rig) serve(engine string, fp uint64) bool {
	<-time.After(crashTime)
	if r.poison[fp] {
		r.die(engine)
		return false
	}
	<-time.After(serveTime - crashTime)
	return !r.isDead(engine)
}

func (r *rig) together(n int, do func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// atMost checks how many engines were lost.
func (r *rig) atMost(lost int) {
	r.t.Helper()
	r.t.Logf("engines lost: %d", r.lost)
	if r.lost > lost {
		r.t.Errorf("%d engines lost, at most %d expected", r.lost, lost)
	}
}

func (r *rig) standing(daemon int, fp uint64, want Standing) {
	r.t.Helper()
	if got, _ := r.books[daemon].Check(fp); got != want {
		r.t.Errorf("daemon %d: standing %d of content %d, want %d", daemon, got, fp, want)
	}
}
