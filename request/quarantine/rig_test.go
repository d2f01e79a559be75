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

// TestMain hides the log lines that the provoked faults cause.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const (
	daemons    = 8
	engines    = 12
	serveTime  = 50 * time.Millisecond
	crashTime  = 20 * time.Millisecond // from sending the content to the crash
	repairTime = 5 * time.Second       // until a crashed engine is replaced
	hopDelay   = time.Millisecond      // one-way, between daemons
)

// harness is a fleet of trackers, and of engines that crash on the contents in
// poison.
type harness struct {
	t        *testing.T
	trackers []*CrashTracker
	poison   map[uint64]bool

	mu             sync.Mutex
	dropBroadcasts bool                     // broadcasts are lost, heartbeats are not
	dead           map[string]time.Time     // until when an engine is down
	noticed        map[string]chan struct{} // by daemon, engine and crash
	inFlight       map[string]int
	enginesLost    int
	refused        map[uint64]int // answers with code 1012 or 1013, by content
}

func newHarness(t *testing.T, poison ...uint64) *harness {
	r := &harness{t: t, poison: map[uint64]bool{}, dead: map[string]time.Time{}, noticed: map[string]chan struct{}{}, inFlight: map[string]int{}, refused: map[uint64]int{}}
	for _, fp := range poison {
		r.poison[fp] = true
	}
	for i := range daemons {
		r.trackers = append(r.trackers, New(Options{
			Self:      fmt.Sprintf("daemon-%d", i),
			Broadcast: func(ctx context.Context, updates []*peerpb.Conviction) { r.broadcast(ctx, i, updates) },
		}))
		r.trackers[i].Start()
	}
	return r
}

func (r *harness) stop() {
	for _, tr := range r.trackers {
		_ = tr.Stop()
	}
}

// broadcast implements Options.Broadcast over connections that can be cut.
func (r *harness) broadcast(ctx context.Context, from int, updates []*peerpb.Conviction) {
	b := Broadcaster{Self: func() *peerpb.Member { return nil }}
	b.Addrs = func() (addrs []string) {
		for i := range r.trackers {
			if i != from {
				addrs = append(addrs, strconv.Itoa(i))
			}
		}
		return addrs
	}
	b.Client = func(addr string) (peerpb.PeerClient, error) { return &peerClient{r: r, to: addr}, nil }
	b.Broadcast(ctx, updates, r.trackers[from].Incoming)
}

type peerClient struct {
	peerpb.PeerClient
	r  *harness
	to string
}

// Heartbeat implements peerpb.PeerClient.
func (c *peerClient) Heartbeat(ctx context.Context, h *peerpb.HeartbeatRequest, _ ...grpc.CallOption) (*peerpb.HeartbeatReply, error) {
	c.r.mu.Lock()
	dropped := c.r.dropBroadcasts
	c.r.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to, _ := strconv.Atoi(c.to)
	<-time.After(hopDelay)
	c.r.trackers[to].Incoming(h.Convictions)
	reply := c.r.trackers[to].Outgoing()
	<-time.After(hopDelay)
	return &peerpb.HeartbeatReply{Convictions: reply}, nil
}

// heartbeats exchanges updates around a ring of daemons at the interval of
// membership heartbeats.
func (r *harness) heartbeats(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; <-time.After(500 * time.Millisecond) {
		for i := range r.trackers {
			r.trackers[(i+1)%daemons].Incoming(r.trackers[i].Outgoing())
		}
	}
}

// pick returns the live engine with the fewest requests in flight. If exclusive
// is set, it considers only idle engines.
func (r *harness) pick(fp uint64, exclusive bool) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := ""
	for i := range engines {
		e := fmt.Sprintf("engine-%d", (int(fp)+i)%engines)
		if time.Now().Before(r.dead[e]) || exclusive && r.inFlight[e] > 0 {
			continue
		}
		if best == "" || r.inFlight[e] < r.inFlight[best] {
			best = e
		}
	}
	r.inFlight[best]++
	return best
}

func (r *harness) leave(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[engine]--
}

// crash takes an engine down for repairTime.
func (r *harness) crash(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.dead[engine]) {
		return
	}
	r.enginesLost++
	r.dead[engine] = time.Now().Add(repairTime)
}

// reportCrash reports a crash to a daemon once. Requests of the daemon wait
// until it is reported.
func (r *harness) reportCrash(tr *CrashTracker, engine string) {
	r.mu.Lock()
	id := fmt.Sprint(tr.o.Self, engine, r.dead[engine])
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
	tr.Crashed(engine)
	close(done)
}

// isDead reports whether the engine is down.
func (r *harness) isDead(engine string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.dead[engine])
}

// send handles a request as request/entry does, with retries, and returns the
// result code that the caller receives, 0 for an answer.
func (r *harness) send(daemon int, fp uint64) int {
	for range 3 {
		code, again := r.try(r.trackers[daemon], fp)
		if !again {
			return r.countRefusal(fp, code)
		}
	}
	return 2003
}

func (r *harness) countRefusal(fp uint64, code int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if code != 0 {
		r.refused[fp]++
	}
	return code
}

func (r *harness) try(tr *CrashTracker, fp uint64) (code int, again bool) {
	verdict, _ := tr.Check(fp)
	finished := false
	switch verdict {
	case Convicted:
		return 1013, false
	case Suspect, SuspectShared:
		release, ok := tr.Claim(context.Background(), fp)
		if !ok {
			return 1012, false
		}
		defer func() { release(finished) }()
	}
	engine := r.pick(fp, verdict == Suspect)
	if engine == "" {
		return 1012, false
	}
	defer r.leave(engine)
	if verdict != Clear {
		release, ok := tr.ClaimTarget(context.Background(), fp, engine)
		if !ok {
			return 1012, false
		}
		defer func() { release(finished) }()
	}
	tr.Begin(fp, engine)
	defer tr.End(fp, engine)
	finished = r.serve(engine, fp)
	if !finished {
		r.reportCrash(tr, engine)
	}
	return 0, !finished
}

// serve runs the content and reports whether the engine answered.
func (r *harness) serve(engine string, fp uint64) bool {
	<-time.After(crashTime)
	if r.poison[fp] {
		r.crash(engine)
		return false
	}
	<-time.After(serveTime - crashTime)
	return !r.isDead(engine)
}

func (r *harness) concurrently(n int, do func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// expectMaxCrashes fails the test if more engines crashed.
func (r *harness) expectMaxCrashes(lost int) {
	r.t.Helper()
	r.t.Logf("engines lost: %d", r.enginesLost)
	if r.enginesLost > lost {
		r.t.Errorf("%d engines lost, at most %d expected", r.enginesLost, lost)
	}
}

func (r *harness) expectVerdict(daemon int, fp uint64, want Verdict) {
	r.t.Helper()
	if got, _ := r.trackers[daemon].Check(fp); got != want {
		r.t.Errorf("daemon %d: verdict %d for content %d, want %d", daemon, got, fp, want)
	}
}
