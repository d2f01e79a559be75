package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// Defaults of Options, and fixed durations.
const (
	DefaultShards    = 16
	DefaultRate      = 30.0
	DefaultRetention = 24 * time.Hour
	DefaultWindow    = time.Hour

	proposeTimeout       = 3 * time.Second // from sending an intent to its outcome
	retentionMargin      = time.Minute     // longer than the longest proposal and its results take
	retryAfter           = time.Second
	membershipSettleTime = 5 * time.Second // after a start, until unlisted members count as dead
)

// Member describes a daemon to a Deduplicator.
type Member struct {
	Incarnation string
	Addr        string // address of its peer server, host:port
	Live        bool
	Leaving     bool // still answers Lookup, but no longer batches
}

// Options configures a LogDeduplicator. Self and Log are required. Without
// Members and Client the process works alone.
type Options struct {
	Self      string // incarnation of this process
	Log       port.Log
	Members   func() []Member                              // the other daemons, including dead ones
	Client    func(addr string) (peerpb.PeerClient, error) // connects to a peer, as peer.Dialer.Client does
	Window    func(service string) time.Duration           // how long keys are kept; DefaultWindow
	Shards    int                                          // must be the same on all daemons
	Rate      float64                                      // appends per second of this process
	Retention time.Duration                                // how long the log is guaranteed to keep records
	Wait      time.Duration                                // longest wait for another attempt's answer; 10s
	Now       func() time.Time
}

// LogDeduplicator is a Deduplicator that decides by the order of records in the
// shared log.
type LogDeduplicator struct {
	o             Options
	tomb          tomb.Tomb
	started       time.Time
	health        *health
	limit         *rate.Limiter
	attempts      *attemptTable
	resultWriters []*resultWriter
	avoid         *avoidList

	mu      sync.Mutex
	shards  map[int]*shard
	stopped bool
}

var _ Deduplicator = (*LogDeduplicator)(nil)

// New returns a LogDeduplicator. Start starts its goroutines.
func New(o Options) *LogDeduplicator {
	o = withDefaults(o)
	l := &LogDeduplicator{
		o:        o,
		started:  o.Now(),
		health:   &health{},
		limit:    rate.NewLimiter(rate.Limit(o.Rate), max(1, int(o.Rate/10))),
		attempts: newAttemptTable(o.Self, o.Now),
		avoid:    &avoidList{now: o.Now, until: make(map[string]time.Time)},
		shards:   make(map[int]*shard),
	}
	for n := range o.Shards {
		l.resultWriters = append(l.resultWriters, newResultWriter(l, n))
	}
	return l
}

func withDefaults(o Options) Options {
	if o.Shards <= 0 {
		o.Shards = DefaultShards
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.Wait <= 0 {
		o.Wait = 10 * time.Second
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Members == nil {
		o.Members = func() []Member { return nil }
	}
	if o.Window == nil {
		o.Window = func(string) time.Duration { return DefaultWindow }
	}
	return o
}

// Start starts the goroutines that record results and probe the log.
func (l *LogDeduplicator) Start() {
	l.tomb.Go(func() error {
		for _, w := range l.resultWriters {
			l.tomb.Go(w.run)
		}
		l.tomb.Go(l.probe)
		<-l.tomb.Dying()
		return nil
	})
}

// Drain waits until all results of this process are in the log, or until ctx
// ends. The outcome of a call whose result is not recorded when the process
// exits stays unknown.
func (l *LogDeduplicator) Drain(ctx context.Context) error {
	for _, w := range l.resultWriters {
		if err := w.drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all goroutines.
func (l *LogDeduplicator) Stop() error {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// shard returns the running shard n and starts it on first use. It returns nil
// after Stop.
func (l *LogDeduplicator) shard(n int) *shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	s, ok := l.shards[n]
	if !ok {
		s = newShard(n, l.o.Log, l.limit, l.health)
		l.shards[n] = s
		l.tomb.Go(func() error { return s.run(&l.tomb) })
	}
	return s
}

// Begin implements Deduplicator.
//
// It enforces the at-most-once guarantee of the package: it returns a ticket
// only for an attempt that won by log order, only to the goroutine that made the
// attempt, and only once. An attempt without a decision within the time limit is
// abandoned for good. If it wins later in the log, nobody runs it.
func (l *LogDeduplicator) Begin(ctx context.Context, c Call) (Ticket, *Answer, error) {
	window, err := l.window(c.Service)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.Wait)
	defer cancel()
	otherSeen := false
	for {
		a := l.attempts.begin(c, window)
		o, err := l.decideAttempt(ctx, a)
		if err == nil && o.Kind == peerpb.Outcome_WON {
			return l.grantTicket(a)
		}
		l.attempts.discard(a)
		if err != nil || o.Kind == peerpb.Outcome_UNKNOWN {
			return nil, nil, l.abandon(a, err, otherSeen)
		}
		otherSeen = true
		answer, retry, err := l.resolve(ctx, a, o)
		if !retry {
			return nil, answer, err
		}
	}
}

// decideAttempt returns the outcome of an attempt. If this process already has
// an attempt for the key, that one decides, otherwise the log does.
func (l *LogDeduplicator) decideAttempt(ctx context.Context, a *attempt) (*peerpb.Outcome, error) {
	id, digest, ok := l.attempts.ownAttempt(a.key)
	switch {
	case !ok:
		return l.propose(ctx, a)
	case digest != a.call.Digest:
		return &peerpb.Outcome{Kind: peerpb.Outcome_REUSED}, nil
	}
	return &peerpb.Outcome{Kind: peerpb.Outcome_BUSY, Attempt: id, Writer: l.o.Self}, nil
}

func (l *LogDeduplicator) window(service string) (time.Duration, error) {
	w := l.o.Window(service)
	if w <= 0 {
		w = DefaultWindow
	}
	// If the log dropped records within the window of their key, a call could run
	// twice after a restart. Such a service is refused at once.
	if w+retentionMargin > l.o.Retention {
		return 0, code.New(code.OnceUnavailable, "the log keeps records for %v, the service's window is %v", l.o.Retention, w)
	}
	return w, nil
}

func (l *LogDeduplicator) grantTicket(a *attempt) (Ticket, *Answer, error) {
	if !l.attempts.start(a) {
		return nil, nil, l.abandon(a, nil, false)
	}
	counts.Add("won", 1)
	return &ticket{l: l, a: a}, nil, nil
}

// abandon returns the error of a call whose intent was not decided in time. The
// call did not run and never will under this attempt. If the intent may be in
// the log, a queued result frees the key as soon as the log accepts it. If
// another attempt was seen to hold the key, the error is KeyBusy, because "not
// run" would be misleading about that attempt.
func (l *LogDeduplicator) abandon(a *attempt, err error, otherSeen bool) error {
	counts.Add("given_up", 1)
	if !errors.Is(err, errNotAppended) {
		l.queueResult(a, a.result(code.OnceUnavailable))
	}
	if otherSeen {
		return busy()
	}
	return code.Wrap(code.OnceUnavailable, err, "").WithRetryAfter(retryAfter)
}

// queueResult queues a result to be written to the log.
func (l *LogDeduplicator) queueResult(a *attempt, r *record.Result) {
	l.resultWriters[a.shard(l.o.Shards)].enqueue(r)
}
