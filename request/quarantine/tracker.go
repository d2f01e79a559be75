package quarantine

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// counts are the metrics of this package.
var counts = expvar.NewMap("quarantine")

// Limits and delays of a CrashTracker.
const (
	defaultConviction = 10 * time.Minute
	defaultWait       = 200 * time.Millisecond
	updateQueue       = 64
	tickPeriod        = 250 * time.Millisecond
	maxContents       = 4096
	maxAtTarget       = 1024 // contents tracked per target
	maxSuspects       = 256  // per crash
	maxIdleTargets    = 256  // targets without runs whose space is kept
	maxCrashTimes     = 4096 // targets whose crashes are remembered
	burstWindow       = 2 * time.Second
	burstTargets      = 3 // crashed targets within burstWindow that indicate an outage
)

// Options configures a CrashTracker. The zero value is valid for a process
// without peers.
type Options struct {
	Self string // incarnation of this process
	// Broadcast sends updates to every live peer, passes the updates in the
	// replies to Incoming, and returns when all have replied or ctx ends.
	Broadcast  func(ctx context.Context, updates []*peerpb.Conviction)
	Wait       time.Duration // longest wait for a broadcast; 200ms
	Conviction time.Duration // duration of the first conviction; 10m
	Now        func() time.Time
	// ToleratedCrashes is the number of crashes up to which suspect content runs
	// like any other. Content that causes one more without a complete answer in
	// between is convicted. 0: suspect content runs alone, under a claim that is
	// broadcast to every peer, and is convicted at its second crash.
	ToleratedCrashes int
	// Tries reports whether this process is the one that runs released content for
	// the first time. It is used with ToleratedCrashes, in place of claims. If it
	// is nil, every process does.
	Tries func(Fingerprint) bool
	// Changed is called with locks held when there are updates for Pending. It may
	// be nil.
	Changed func()
}

// CrashTracker implements Claimer for one process. It also implements
// membership.Convictions.
type CrashTracker struct {
	o       Options
	tomb    tomb.Tomb
	updates chan []*peerpb.Conviction // sent in the background

	mu            sync.Mutex
	contents      map[Fingerprint]*content
	targets       map[string]map[Fingerprint][]inFlightRun // runs in flight, oldest first, by target
	writing       []*Run                                   // runs with a first event that haven't settled
	controls      []answeredRun                            // with parts, oldest first
	ended         endedRuns
	crashTimes    times[string] // when the crash of each target was noticed first, with tolerated crashes
	recentCrashes []targetCrash
	claimSeq      uint64                      // sequence number of the last claim of this process
	targetClaims  map[Fingerprint]targetClaim // by targetKey
	sharedRuns    int                         // SuspectShared contents that this process is running
	pendingClears []Fingerprint               // contents whose exclusive run has finished, cleared after settleTime
	pending       map[Fingerprint]int         // transmissions left of the contents that changed
	rotation      []Fingerprint               // contents that Pending still repeats in this round
	unsaved       bool                        // contents that this process saves have changed
}

// targetCrash is a crash of a target that this process saw.
type targetCrash struct {
	target   string
	at       time.Time
	suspects []suspect
	evidence Evidence
}

var _ Claimer = (*CrashTracker)(nil)

// New returns an empty CrashTracker.
func New(o Options) *CrashTracker {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Wait <= 0 {
		o.Wait = defaultWait
	}
	if o.Conviction <= 0 {
		o.Conviction = defaultConviction
	}
	if o.Broadcast == nil {
		o.Broadcast = func(context.Context, []*peerpb.Conviction) {}
	}
	return &CrashTracker{
		o:            o,
		contents:     make(map[Fingerprint]*content),
		targets:      make(map[string]map[Fingerprint][]inFlightRun),
		targetClaims: make(map[Fingerprint]targetClaim),
		updates:      make(chan []*peerpb.Conviction, updateQueue),
		ended:        endedRuns{completed: newTimes[Fingerprint](maxCompleted)},
		crashTimes:   newTimes[string](maxCrashTimes),
		pending:      make(map[Fingerprint]int),
	}
}

// Start starts the goroutine that sends queued updates, until Stop.
func (t *CrashTracker) Start() { t.tomb.Go(t.loop) }

// Stop stops the goroutine.
func (t *CrashTracker) Stop() error {
	t.tomb.Kill(nil)
	return t.tomb.Wait()
}

func (t *CrashTracker) loop() error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-t.tomb.Dying():
			return nil
		case updates := <-t.updates:
			t.broadcast(updates)
		case <-tick.C:
			t.mu.Lock()
			t.tick()
			t.mu.Unlock()
		}
	}
}

// enqueue queues updates for a broadcast. If the queue is full, they are sent
// only in heartbeats.
func (t *CrashTracker) enqueue(updates []*peerpb.Conviction) {
	select {
	case t.updates <- updates:
	default:
		counts.Add("news_dropped", 1)
	}
}

// Check implements Tracker.
func (t *CrashTracker) Check(fp Fingerprint) (Verdict, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	c := t.contents[fp]
	if c == nil {
		return Clear, 0
	}
	if t.tolerates() {
		left, released := t.refusal(c, now)
		if left > 0 {
			return Convicted, left
		}
		if released {
			c.tryUntil = now.Add(tryTime)
		}
		return Clear, 0
	}
	v, until := c.verdict(now)
	if v == Suspect && c.firstTry.IsZero() {
		c.firstTry = now
	}
	return v, until.Sub(now)
}

// Begin implements Tracker.
func (t *CrashTracker) Begin(fp Fingerprint, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(fp, target, inFlightRun{began: t.o.Now()})
}

// End implements Tracker. Whether the content did harm is known only settleTime
// later, because a crash may be noticed after the connections to the target
// broke. With tolerated crashes, only runs with an answer end this way, and others
// by Broken.
func (t *CrashTracker) End(fp Fingerprint, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	began, ok := t.leave(fp, target, now)
	if !ok {
		return
	}
	if t.tolerates() {
		t.ended.markCompleted(fp, began)
		t.clearCompleted(fp, began)
		return
	}
	t.ended.add(endedRun{suspect: suspect{fp: fp, began: began}, target: target, at: now, answered: true})
}

// Broken ends a run like End. The content wasn't answered, which is no sign that
// it is harmless.
func (t *CrashTracker) Broken(fp Fingerprint, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	if began, ok := t.leave(fp, target, now); ok {
		t.ended.add(endedRun{suspect: suspect{fp: fp, began: began}, target: target, at: now})
	}
}

// NotReceived ends a run like End. The target has accepted no connection, so the
// content isn't suspected of its crash.
func (t *CrashTracker) NotReceived(fp Fingerprint, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(fp, target, t.tick())
}

// leave removes a run of the content at the target and reports when it began, and
// whether there was one. Of several runs it takes the oldest. Callers hold t.mu.
func (t *CrashTracker) leave(fp Fingerprint, target string, now time.Time) (began time.Time, ok bool) {
	runs := t.targets[target][fp]
	if len(runs) == 0 {
		return time.Time{}, false
	}
	began = runs[0].began
	t.remove(fp, target, began)
	t.endRunningClaim(fp, now)
	return began, true
}

// tick settles ended runs, clears finished contents and returns the current
// time.
func (t *CrashTracker) tick() time.Time {
	now := t.o.Now()
	t.settleWriting(now)
	t.ended.settle(now)
	t.clearFinished(now)
	return now
}

// Crashed implements Tracker. It returns once the peers are informed, or after
// Options.Wait. A caller that already has its error could otherwise send the
// content to another daemon at once, which would lose another target.
func (t *CrashTracker) Crashed(target string) {
	t.mu.Lock()
	now := t.tick()
	tc := targetCrash{target: target, at: now, suspects: t.inFlight(target)}
	t.addRecentCrash(tc)
	updates := t.recordCrash(tc)
	t.mu.Unlock()
	counts.Add("crashes", 1)
	log.WithFields(log.Fields{"target": target, "contents": len(tc.suspects)}).Warn("quarantine: target crashed")
	if len(updates) > 0 {
		t.broadcast(updates)
	}
}

func (t *CrashTracker) broadcast(updates []*peerpb.Conviction) {
	ctx, cancel := context.WithTimeout(context.Background(), t.o.Wait)
	defer cancel()
	t.o.Broadcast(ctx, updates)
}

// recordCrash adds a crash to the state of the contents that were in flight, and
// returns the updates about it.
func (t *CrashTracker) recordCrash(tc targetCrash) []*peerpb.Conviction {
	outage := t.isOutage()
	var convicted, changed []*content
	for _, suspected := range tc.suspects {
		fp := suspected.fp
		c := t.getOrCreate(fp, tc.at)
		if outage && t.recentCrashesOf(fp) < 2 && !c.runsExclusively(tc.at) {
			continue
		}
		if !c.addLocalCrash(tc) {
			continue
		}
		t.markUnsaved(c)
		changed = append(changed, c)
		if c.crashCount() >= 2 && t.canConvict(c, tc.at) && !t.explainedByOther(fp, tc) {
			convicted = append(convicted, c)
		}
	}
	if outage {
		t.dismissOutageCrashes()
	}
	t.convict(convicted, tc.at)
	return t.updatesOf(changed, tc.at)
}

// canConvict reports whether two crashes are enough for a conviction. They are
// if the content ran exclusively at the second one, which leaves no other
// explanation. Otherwise the content must not have completed recently: an hourly
// report that runs on every target is in flight at the crash of any two.
func (t *CrashTracker) canConvict(c *content, now time.Time) bool {
	if c.runsExclusively(now) {
		return true
	}
	return !t.ended.hasCompleted(c.fp)
}

func (t *CrashTracker) convict(convicted []*content, now time.Time) {
	for _, c := range convicted {
		if len(convicted) > 1 {
			c.refuseFor(now, shortConviction)
		} else {
			c.convict(now, t.o.Conviction)
		}
		t.markUnsaved(c)
		counts.Add("convicted", 1)
		logConviction(c, now)
	}
}

// getOrCreate returns the entry of a fingerprint and creates it if needed. At the
// limit it evicts others.
func (t *CrashTracker) getOrCreate(fp Fingerprint, now time.Time) *content {
	c := t.contents[fp]
	if c != nil {
		return c
	}
	if len(t.contents) >= maxContents {
		t.evict(now)
	}
	c = &content{fp: fp, answered: t.ended.hasCompleted(fp)}
	t.contents[fp] = c
	return c
}

// evict removes expired entries. If that is not enough it removes the suspects
// with the fewest crashes, of these the ones that expire first, or convicted
// contents if there are no suspects. It removes an eighth of the limit at a time,
// so that a flood of contents does not cause a search for each one.
func (t *CrashTracker) evict(now time.Time) {
	var suspects []*content
	for fp, c := range t.contents {
		switch {
		case c.expiresAt().Before(now):
			delete(t.contents, fp)
		case !now.Before(c.convictedUntil):
			suspects = append(suspects, c)
		}
	}
	if len(t.contents) < maxContents {
		return
	}
	evictable := suspects
	if len(evictable) == 0 {
		evictable = slices.Collect(maps.Values(t.contents))
	}
	slices.SortFunc(evictable, func(a, b *content) int {
		return cmp.Or(cmp.Compare(a.crashCount(), b.crashCount()), a.expiresAt().Compare(b.expiresAt()))
	})
	for _, c := range evictable[:min(len(evictable), maxContents/8)] {
		delete(t.contents, c.fp)
	}
}
