package quarantine

import (
	"context"
	"expvar"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// counts are the metrics of the quarantine in this process.
var counts = expvar.NewMap("quarantine")

// Bounds of a Book.
const (
	defaultConviction = 10 * time.Minute
	defaultWait       = 200 * time.Millisecond
	outQueue          = 64
	tickPeriod        = 250 * time.Millisecond
	maxContents       = 4096
	maxAtTarget       = 1024 // contents followed at one target
	maxSuspects       = 256  // of one crash
	burstWindow       = 2 * time.Second
	burstTargets      = 3 // that die within the window: an outage, no content
)

// Options of a Book. The zero value is of a process without peers.
type Options struct {
	Self string // incarnation of this process
	// Broadcast sends news to every live peer at once, hands what they answer
	// to Incoming, and returns when all have answered or ctx ends.
	Broadcast  func(ctx context.Context, news []*peerpb.Conviction)
	Wait       time.Duration // longest wait for a broadcast; 200ms
	Conviction time.Duration // the first one; 10m
	Now        func() time.Time
}

// Book is the Claimer of one process. It also is membership.Convictions.
type Book struct {
	o    Options
	tomb tomb.Tomb
	out  chan []*peerpb.Conviction // news that nobody waits for

	mu       sync.Mutex
	contents map[uint64]*content
	targets  map[string]map[uint64]int // in flight, by target
	ended    endings
	burst    []death
	claims   uint64                 // made by this process
	claimed  map[uint64]targetClaim // by targetKey
	watched  int                    // Watched contents that run here now
	clearing []uint64               // contents that ran alone to their end a moment ago
}

// death is one crash seen by this process.
type death struct {
	target string
	at     time.Time
	fps    []uint64
}

var _ Claimer = (*Book)(nil)

// New returns an empty Book.
func New(o Options) *Book {
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
	return &Book{
		o:        o,
		contents: make(map[uint64]*content),
		targets:  make(map[string]map[uint64]int),
		claimed:  make(map[uint64]targetClaim),
		out:      make(chan []*peerpb.Conviction, outQueue),
		ended:    endings{clean: make(map[uint64]struct{})},
	}
}

// Start sends the news that nobody waits for, until Stop.
func (b *Book) Start() { b.tomb.Go(b.loop) }

// Stop ends the loop.
func (b *Book) Stop() error {
	b.tomb.Kill(nil)
	return b.tomb.Wait()
}

func (b *Book) loop() error {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-b.tomb.Dying():
			return nil
		case news := <-b.out:
			b.send(news)
		case <-tick.C:
			b.mu.Lock()
			b.tick()
			b.mu.Unlock()
		}
	}
}

// post queues news; what finds no room travels on heartbeats alone.
func (b *Book) post(news []*peerpb.Conviction) {
	select {
	case b.out <- news:
	default:
		counts.Add("news_dropped", 1)
	}
}

// Check implements Tracker.
func (b *Book) Check(fp uint64) (Standing, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	c := b.contents[fp]
	if c == nil {
		return Clear, 0
	}
	s, until := c.standing(now)
	if s == Suspect && c.tried.IsZero() {
		c.tried = now
	}
	return s, until.Sub(now)
}

// Begin implements Tracker.
func (b *Book) Begin(fp uint64, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.targets[target]
	if m == nil {
		m = make(map[uint64]int)
		b.targets[target] = m
	}
	if len(m) < maxAtTarget || m[fp] > 0 {
		m[fp]++
	}
}

// End implements Tracker. Whether the content did harm shows only a moment
// later: a crash may be noticed after its connections broke.
func (b *Book) End(fp uint64, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	m := b.targets[target]
	if m[fp] == 0 {
		return
	}
	m[fp]--
	if m[fp] == 0 {
		delete(m, fp)
	}
	if len(m) == 0 {
		delete(b.targets, target)
	}
	b.ended.add(ending{fp, target, now})
	b.ranOut(fp, now)
}

// tick settles what is old enough and returns the time.
func (b *Book) tick() time.Time {
	now := b.o.Now()
	b.ended.settle(now)
	b.clear(now)
	return now
}

// Crashed implements Tracker. It returns once the peers know, or after the
// longest wait: a caller that has its answer may send the content again to
// another daemon at once, which would lose another target by it.
func (b *Book) Crashed(target string) {
	b.mu.Lock()
	now := b.tick()
	d := death{target: target, at: now, fps: b.inFlight(target)}
	b.noteBurst(d)
	news := b.judge(d)
	b.mu.Unlock()
	counts.Add("crashes", 1)
	log.WithFields(log.Fields{"target": target, "contents": len(d.fps)}).Warn("quarantine: target died")
	if len(news) > 0 {
		b.send(news)
	}
}

func (b *Book) send(news []*peerpb.Conviction) {
	ctx, cancel := context.WithTimeout(context.Background(), b.o.Wait)
	defer cancel()
	b.o.Broadcast(ctx, news)
}

// inFlight is what may have killed the target: what is there, and what left a
// moment ago.
func (b *Book) inFlight(target string) []uint64 {
	seen := make(map[uint64]bool)
	var fps []uint64
	add := func(fp uint64) {
		if !seen[fp] && len(fps) < maxSuspects {
			seen[fp] = true
			fps = append(fps, fp)
		}
	}
	for _, fp := range b.ended.takeFrom(target) {
		add(fp)
	}
	for fp := range b.targets[target] {
		add(fp)
	}
	return fps
}

// judge notes a death against the contents and returns the news of it.
func (b *Book) judge(d death) []*peerpb.Conviction {
	outage := b.isOutage()
	var guilty, changed []*content
	for _, fp := range d.fps {
		c := b.content(fp, d.at)
		if c == nil || outage && b.deathsOf(fp) < 2 && !c.alone(d.at) {
			continue
		}
		if !c.blame(d) {
			continue
		}
		changed = append(changed, c)
		if c.counted() >= 2 && b.proven(c, d.at) && !b.outlived(fp, d) {
			guilty = append(guilty, c)
		}
	}
	if outage {
		b.forgiveOutage()
	}
	b.convict(guilty, d.at)
	return b.newsOf(changed, d.at)
}

// proven reports whether two crashes convict. A content that ran alone at the
// second has no other explanation. One that was beside others is let off when
// it ended well somewhere lately: an hourly report that runs everywhere is in
// flight at the crash of any two targets.
func (b *Book) proven(c *content, now time.Time) bool {
	if c.alone(now) {
		return true
	}
	return !b.ended.endedWell(c.fp)
}

func (b *Book) convict(guilty []*content, now time.Time) {
	for _, c := range guilty {
		if len(guilty) > 1 {
			c.refuse(now, convictShort)
		} else {
			c.convict(now, b.o.Conviction)
		}
		counts.Add("convicted", 1)
		log.WithField("fingerprint", c.fp).Warn("quarantine: content convicted")
	}
}

// content returns the entry of a fingerprint, a new one if need be, or nil
// when the book is full of contents that matter as much.
func (b *Book) content(fp uint64, now time.Time) *content {
	c := b.contents[fp]
	if c != nil {
		return c
	}
	if len(b.contents) >= maxContents && !b.makeRoom(now) {
		counts.Add("book_full", 1)
		return nil
	}
	c = &content{fp: fp}
	b.contents[fp] = c
	return c
}

// makeRoom drops what has ended, and if that isn't enough the suspects that
// end first: an eighth of the book, so that a flood doesn't search it each time.
func (b *Book) makeRoom(now time.Time) bool {
	var suspects []*content
	for fp, c := range b.contents {
		switch {
		case c.ends().Before(now):
			delete(b.contents, fp)
		case !now.Before(c.convicted):
			suspects = append(suspects, c)
		}
	}
	if len(b.contents) < maxContents {
		return true
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].ends().Before(suspects[j].ends()) })
	for _, c := range suspects[:min(len(suspects), maxContents/8)] {
		delete(b.contents, c.fp)
	}
	return len(suspects) > 0
}
