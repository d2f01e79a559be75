package quarantine

import (
	"context"
	"encoding/binary"
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
	poison   map[Fingerprint]bool

	mu             sync.Mutex
	dropBroadcasts bool                     // broadcasts are lost, heartbeats are not
	dead           map[string]time.Time     // until when an engine is down
	noticed        map[string]chan struct{} // by daemon, engine and crash
	inFlight       map[string]int
	enginesLost    int
	refused        map[Fingerprint]int // answers with code 1012 or 1013, by content
}

// contentNumber returns a fingerprint for tests.
func contentNumber(n uint64) (fp Fingerprint) {
	binary.BigEndian.PutUint64(fp[:], n)
	return fp
}

func newHarness(t *testing.T, poison ...Fingerprint) *harness {
	h := &harness{t: t, poison: map[Fingerprint]bool{}, dead: map[string]time.Time{}, noticed: map[string]chan struct{}{}, inFlight: map[string]int{}, refused: map[Fingerprint]int{}}
	for _, fp := range poison {
		h.poison[fp] = true
	}
	for i := range daemons {
		h.trackers = append(h.trackers, New(Options{
			Self:      fmt.Sprintf("daemon-%d", i),
			Broadcast: func(ctx context.Context, updates []*peerpb.Conviction) { h.broadcast(ctx, i, updates) },
		}))
		h.trackers[i].Start()
	}
	return h
}

func (h *harness) stop() {
	for _, tr := range h.trackers {
		_ = tr.Stop()
	}
}

// broadcast implements Options.Broadcast over connections that can be cut.
func (h *harness) broadcast(ctx context.Context, from int, updates []*peerpb.Conviction) {
	b := Broadcaster{Self: func() *peerpb.Member { return nil }}
	b.Addrs = func() (addrs []string) {
		for i := range h.trackers {
			if i != from {
				addrs = append(addrs, strconv.Itoa(i))
			}
		}
		return addrs
	}
	b.Client = func(addr string) (peerpb.PeerClient, error) { return &peerClient{harness: h, to: addr}, nil }
	b.Broadcast(ctx, updates, h.trackers[from].Incoming)
}

// setDropBroadcasts has broadcasts lost, or ends that.
func (h *harness) setDropBroadcasts(drop bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropBroadcasts = drop
}

type peerClient struct {
	peerpb.PeerClient
	harness *harness
	to      string
}

// Heartbeat implements peerpb.PeerClient.
func (c *peerClient) Heartbeat(ctx context.Context, h *peerpb.HeartbeatRequest, _ ...grpc.CallOption) (*peerpb.HeartbeatReply, error) {
	c.harness.mu.Lock()
	dropped := c.harness.dropBroadcasts
	c.harness.mu.Unlock()
	if dropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to, _ := strconv.Atoi(c.to)
	<-time.After(hopDelay)
	c.harness.trackers[to].Incoming(h.Convictions)
	reply := c.harness.trackers[to].Outgoing()
	<-time.After(hopDelay)
	return &peerpb.HeartbeatReply{Convictions: reply}, nil
}

// heartbeats exchanges updates around a ring of daemons at the interval of
// membership heartbeats.
func (h *harness) heartbeats(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; <-time.After(500 * time.Millisecond) {
		for i := range h.trackers {
			h.trackers[(i+1)%daemons].Incoming(h.trackers[i].Outgoing())
		}
	}
}

// pick returns the live engine with the fewest requests in flight. If exclusive
// is set, it considers only idle engines.
func (h *harness) pick(fp Fingerprint, exclusive bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	best := ""
	for i := range engines {
		e := fmt.Sprintf("engine-%d", (int(binary.BigEndian.Uint64(fp[:]))+i)%engines)
		if time.Now().Before(h.dead[e]) || exclusive && h.inFlight[e] > 0 {
			continue
		}
		if best == "" || h.inFlight[e] < h.inFlight[best] {
			best = e
		}
	}
	h.inFlight[best]++
	return best
}

func (h *harness) leave(engine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight[engine]--
}

// crash takes an engine down for repairTime.
func (h *harness) crash(engine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.dead[engine]) {
		return
	}
	h.enginesLost++
	h.dead[engine] = time.Now().Add(repairTime)
}

// reportCrash reports a crash to a daemon once. Requests of the daemon wait
// until it is reported.
func (h *harness) reportCrash(tr *CrashTracker, engine string) {
	h.mu.Lock()
	id := fmt.Sprint(tr.o.Self, engine, h.dead[engine])
	done, known := h.noticed[id]
	if !known {
		done = make(chan struct{})
		h.noticed[id] = done
	}
	h.mu.Unlock()
	if known {
		<-done
		return
	}
	tr.Crashed(engine)
	close(done)
}

// isDead reports whether the engine is down.
func (h *harness) isDead(engine string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Now().Before(h.dead[engine])
}

// send handles a request as request/entry does, with retries, and returns the
// result code that the caller receives, 0 for an answer.
func (h *harness) send(daemon int, fp Fingerprint) int {
	for range 3 {
		code, again := h.try(h.trackers[daemon], fp)
		if !again {
			return h.countRefusal(fp, code)
		}
	}
	return 2003
}

func (h *harness) countRefusal(fp Fingerprint, code int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if code != 0 {
		h.refused[fp]++
	}
	return code
}

func (h *harness) try(tr *CrashTracker, fp Fingerprint) (code int, again bool) {
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
	engine := h.pick(fp, verdict == Suspect)
	if engine == "" {
		return 1012, false
	}
	defer h.leave(engine)
	if verdict != Clear {
		release, ok := tr.ClaimTarget(context.Background(), fp, engine)
		if !ok {
			return 1012, false
		}
		defer func() { release(finished) }()
	}
	tr.Begin(fp, engine)
	defer tr.End(fp, engine)
	finished = h.serve(engine, fp)
	if !finished {
		h.reportCrash(tr, engine)
	}
	return 0, !finished
}

// serve runs the content and reports whether the engine answered.
func (h *harness) serve(engine string, fp Fingerprint) bool {
	<-time.After(crashTime)
	if h.poison[fp] {
		h.crash(engine)
		return false
	}
	<-time.After(serveTime - crashTime)
	return !h.isDead(engine)
}

func (h *harness) concurrently(n int, do func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { do(i) })
	}
	wg.Wait()
}

// expectMaxCrashes fails the test if more engines crashed.
func (h *harness) expectMaxCrashes(lost int) {
	h.t.Helper()
	h.t.Logf("engines lost: %d", h.enginesLost)
	if h.enginesLost > lost {
		h.t.Errorf("%d engines lost, at most %d expected", h.enginesLost, lost)
	}
}

func (h *harness) expectVerdict(daemon int, fp Fingerprint, want Verdict) {
	h.t.Helper()
	if got, _ := h.trackers[daemon].Check(fp); got != want {
		h.t.Errorf("daemon %d: verdict %d for content %v, want %d", daemon, got, fp, want)
	}
}
