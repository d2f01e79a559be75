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

// Defaults of Options, and fixed times.
const (
	DefaultShards    = 16
	DefaultRate      = 30.0
	DefaultRetention = 24 * time.Hour
	DefaultWindow    = time.Hour

	proposeLimit    = 3 * time.Second // from an intent to its answer
	retentionMargin = time.Minute     // more than the longest proposal and its results take
	retryAfter      = time.Second
	settleTime      = 5 * time.Second // after a start, until missing members count as dead
)

// Member is what a Keeper needs to know of a daemon.
type Member struct {
	Incarnation string
	Addr        string // of its peer server, host:port
	Live        bool
	Leaving     bool // still answers Lookup, batches no more
}

// Options of a Log. Self and Log are required; without Members and Client the
// process works alone.
type Options struct {
	Self      string // incarnation of this process
	Log       port.Log
	Members   func() []Member                              // the others, dead ones too
	Client    func(addr string) (peerpb.PeerClient, error) // peer.Dialer.Client
	Window    func(service string) time.Duration           // how long keys are remembered; DefaultWindow
	Shards    int                                          // the same in the whole fleet
	Rate      float64                                      // appends a second of this process
	Retention time.Duration                                // for which the log surely keeps records
	Wait      time.Duration                                // longest wait for another attempt's answer; 10s
	Now       func() time.Time
}

// Log is the Keeper whose decisions are those of the log's order.
type Log struct {
	o        Options
	tomb     tomb.Tomb
	started  time.Time
	health   *health
	limit    *rate.Limiter
	attempts *attempts
	closers  []*closer
	avoid    *avoidList

	mu      sync.Mutex
	shards  map[int]*shard
	stopped bool
}

var _ Keeper = (*Log)(nil)

// New returns a Keeper. Start starts its work.
func New(o Options) *Log {
	o = withDefaults(o)
	l := &Log{
		o:        o,
		started:  o.Now(),
		health:   &health{},
		limit:    rate.NewLimiter(rate.Limit(o.Rate), max(1, int(o.Rate/10))),
		attempts: newAttempts(o.Self, o.Now),
		avoid:    &avoidList{now: o.Now, until: make(map[string]time.Time)},
		shards:   make(map[int]*shard),
	}
	for n := range o.Shards {
		l.closers = append(l.closers, newCloser(l, n))
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

// Start starts the goroutines that record results.
func (l *Log) Start() {
	l.tomb.Go(func() error {
		for _, c := range l.closers {
			l.tomb.Go(c.run)
		}
		l.tomb.Go(l.probe)
		<-l.tomb.Dying()
		return nil
	})
}

// Drain waits until every result of this process stands in the log, or ctx
// ends. What isn't recorded when the process ends is unknown for good.
func (l *Log) Drain(ctx context.Context) error {
	for _, c := range l.closers {
		if err := c.drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all work.
func (l *Log) Stop() error {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.tomb.Kill(nil)
	return l.tomb.Wait()
}

// shard returns the running shard n, starting it at first use. After Stop it
// returns nil.
func (l *Log) shard(n int) *shard {
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

// Begin implements Keeper.
//
// The guard of the whole package is here: a ticket is given only for an
// attempt that the log order made the winner, to the goroutine that made the
// attempt, and only once. An attempt whose outcome wasn't learnt in time is
// given up here for good; should the log make it win later, nobody runs it.
func (l *Log) Begin(ctx context.Context, c Call) (Ticket, *Answer, error) {
	window, err := l.window(c.Service)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.Wait)
	defer cancel()
	held := false
	for {
		a := l.attempts.begin(c, window)
		o, err := l.place(ctx, a)
		if err == nil && o.Kind == peerpb.Outcome_WON {
			return l.win(a)
		}
		l.attempts.lost(a)
		if err != nil || o.Kind == peerpb.Outcome_UNKNOWN {
			return nil, nil, l.giveUp(a, err, held)
		}
		held = true
		answer, again, err := l.resolve(ctx, a, o)
		if !again {
			return nil, answer, err
		}
	}
}

// place finds the attempt's place among those of its key: in this process if
// it has one of them, else by the log.
func (l *Log) place(ctx context.Context, a *attempt) (*peerpb.Outcome, error) {
	id, digest, ok := l.attempts.own(a.key)
	switch {
	case !ok:
		return l.propose(ctx, a)
	case digest != a.call.Digest:
		return &peerpb.Outcome{Kind: peerpb.Outcome_REUSED}, nil
	}
	return &peerpb.Outcome{Kind: peerpb.Outcome_BUSY, Attempt: id, Writer: l.o.Self}, nil
}

func (l *Log) window(service string) (time.Duration, error) {
	w := l.o.Window(service)
	if w <= 0 {
		w = DefaultWindow
	}
	// Records that the log drops while their key must be remembered would let
	// a call run twice after a restart. Such a service is refused at once.
	if w+retentionMargin > l.o.Retention {
		return 0, code.New(code.OnceUnavailable, "the log keeps records for %v, the service's window is %v", l.o.Retention, w)
	}
	return w, nil
}

func (l *Log) win(a *attempt) (Ticket, *Answer, error) {
	if !l.attempts.won(a) {
		return nil, nil, l.giveUp(a, nil, false)
	}
	counts.Add("won", 1)
	return &ticket{l: l, a: a}, nil, nil
}

// giveUp refuses a call whose intent the log didn't decide in time. It was not
// run and never will be under this attempt; if the intent may stand in the
// log, a result frees the key as soon as the log takes it. When another
// attempt was seen to hold the key, "not run" would deceive the caller about
// that one, so the key is busy.
func (l *Log) giveUp(a *attempt, err error, held bool) error {
	counts.Add("given_up", 1)
	if !errors.Is(err, errNotAppended) {
		l.record(a, a.result(code.OnceUnavailable))
	}
	if held {
		return busy()
	}
	return code.Wrap(code.OnceUnavailable, err, "").After(retryAfter)
}

// record queues a result for the log.
func (l *Log) record(a *attempt, r *record.Result) {
	l.closers[a.shard(l.o.Shards)].add(r)
}
