// Package follow reads the control stream and maintains its folded state. It
// also writes the verdicts and checkpoints that any daemon may contribute.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/record"
)

// Batch is a peer's response to a daemon that can't reach the log.
type Batch struct {
	Records    []port.Record // from the requested offset, or after Covers
	Applied    int64         // newest offset that the peer has folded
	Checkpoint []byte        // encoded fold.State, if the peer no longer has the requested records
	Covers     int64         // offset up to which Checkpoint holds the log
}

// Peers fetches records from other daemons.
type Peers interface {
	// Fetch requests the records from offset from on. Each call asks a
	// different live peer.
	Fetch(ctx context.Context, from int64) (Batch, error)
}

// Validate checks a document by the rules of this binary. Any code other than
// code.OK refuses the document.
type Validate func(yaml string) (code.Code, string)

// Options of a Follower. Log, Clock, Self and Validate must be set.
type Options struct {
	Log      port.Log
	Clock    clock.Clock
	Self     string     // incarnation of this process
	Validate Validate   // checks documents before a verdict
	Peers    Peers      // optional source of records while the log is unavailable
	Rank     func() int // position among the live daemons, from 0; nil means 0

	HolderPollWait    time.Duration // long poll while holding a lease, below lease.Rule.Duration / 2; default 750ms
	IdlePollWait      time.Duration // long poll otherwise; default 3s
	Stagger           time.Duration // delay per rank of verdicts and checkpoints; default 1s
	CheckpointRecords int           // records between checkpoints; default 500
	MaxCheckpointAge  time.Duration // between checkpoints of an idle log; default 10m
	AppendRate        float64       // appends per second of this process; default 5
}

func (o Options) withDefaults() Options {
	setDefault(&o.HolderPollWait, 750*time.Millisecond)
	setDefault(&o.IdlePollWait, 3*time.Second)
	setDefault(&o.Stagger, time.Second)
	setDefault(&o.CheckpointRecords, 500)
	setDefault(&o.MaxCheckpointAge, 10*time.Minute)
	setDefault(&o.AppendRate, 5)
	if o.Rank == nil {
		o.Rank = func() int { return 0 }
	}
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

const (
	readBatch     = 512             // records per read
	readTimeout   = 2 * time.Second // added to the wait of a long poll
	maxRetryDelay = 2 * time.Second // maximum delay after a failed read
)

// Follower reads the control stream and holds its state. The exported methods
// are safe for concurrent use.
type Follower struct {
	o        Options
	appender *Appender
	t        tomb.Tomb
	tail     atomic.Pointer[lease.Tail]
	logDown  atomic.Bool
	ready    chan struct{}
	recent   recent

	mu      sync.Mutex
	changed chan struct{}

	// Used only by the goroutine of readLoop.
	state     *fold.State
	readStart time.Duration
	tailRead  bool
}

// New returns a Follower. Start runs it.
func New(o Options) *Follower {
	f := &Follower{
		o:       o.withDefaults(),
		ready:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	f.tail.Store(&lease.Tail{State: fold.New()})
	f.appender = NewAppender(o.Log, f.Applied, f.o.AppendRate)
	return f
}

// Start starts the goroutines that read the log and write due records.
func (f *Follower) Start() {
	f.t.Go(func() error {
		f.t.Go(f.writeLoop)
		return f.readLoop()
	})
}

// Stop stops the goroutines and waits until they have ended.
func (f *Follower) Stop() error {
	f.t.Kill(nil)
	return f.t.Wait()
}

// Tail returns the state together with the start time of the read that
// produced it.
func (f *Follower) Tail() lease.Tail { return *f.tail.Load() }

// State returns the newest state. It is read-only.
func (f *Follower) State() *fold.State { return f.tail.Load().State }

// Applied returns the offset of the newest record that was folded.
func (f *Follower) Applied() int64 { return f.State().Applied }

// LastReadStart returns when the last finished read of the tail began, and
// false before the first.
func (f *Follower) LastReadStart() (time.Duration, bool) {
	t := f.tail.Load()
	return t.ReadStart, t.Loaded
}

// LogDown reports whether the last read of the log failed.
func (f *Follower) LogDown() bool { return f.logDown.Load() }

// Ready returns a channel that is closed once the state has reached the tail
// for the first time, through the log or a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Appender returns the appender for control records of this process.
func (f *Follower) Appender() *Appender { return f.appender }

// Changed returns a channel that is closed at the next change of the state.
// Callers get the channel before they read the state, so that they miss no
// change.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// readLoop reads until the Follower stops. Only its goroutine folds records.
func (f *Follower) readLoop() error {
	ctx := f.t.Context(context.Background())
	for f.t.Alive() {
		if err := f.step(ctx); err != nil {
			f.handleReadError(ctx, err)
		}
	}
	return nil
}

// step recovers the state if there is none, and reads the tail once.
func (f *Follower) step(ctx context.Context) error {
	if f.state == nil {
		s, err := recoverState(ctx, f.o.Log)
		if err != nil {
			return err
		}
		f.state = s
	}
	return f.readTail(ctx)
}

// readTail reads once and folds the records. Only a read that reaches the
// newest record counts as a read of the tail.
//
// If the newest offset is below the folded one, the response comes from a
// lagging replica of the log. Such a read can't rule out later claims, so it
// doesn't renew a lease.
func (f *Follower) readTail(ctx context.Context) error {
	wait := f.pollWait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began := f.o.Clock.Now()
	recs, newest, err := f.o.Log.Read(ctx, record.Control, f.state.Applied+1, readBatch, wait)
	metrics.Add("reads", 1)
	if err != nil {
		return err
	}
	f.markLogUp()
	if newest < max(f.state.Applied, f.Applied()) {
		return errLogLags
	}
	if err := f.apply(recs); err != nil {
		return err
	}
	if f.state.Applied >= newest {
		f.readStart, f.tailRead = began, true
		f.publish()
	}
	return nil
}

// errLogLags means that the log returned a lower newest offset than before.
var errLogLags = errors.New("follow: newest offset of the log went back; a replica may lag")

// apply folds the records that come after the state, and caches them for peers.
func (f *Follower) apply(recs []port.Record) error {
	for _, r := range recs {
		if err := f.state.Apply(r.Offset, r.Data); err != nil {
			return err
		}
		f.recent.add(r)
	}
	return nil
}

// pollWait returns the maximum duration of the next long poll. A lease counts
// from the start of its holder's last read, so a holder polls at short
// intervals. Other daemons poll longer to reduce the load on the log.
func (f *Follower) pollWait() time.Duration {
	for _, l := range f.state.Leases {
		if l.Holder == f.o.Self && !l.Released {
			return f.o.HolderPollWait
		}
	}
	return f.o.IdlePollWait
}

// publish makes the state visible to readers.
func (f *Follower) publish() {
	old := f.tail.Load()
	s := old.State
	if s.Applied != f.state.Applied || !old.Loaded {
		s = f.state.Clone()
	}
	f.tail.Store(&lease.Tail{State: s, ReadStart: f.readStart, Loaded: f.tailRead})
	f.notify(s.Applied != old.State.Applied)
}

// notify closes the ready channel on the first call. If the state changed, it
// also wakes the goroutines that wait on Changed.
func (f *Follower) notify(changed bool) {
	select {
	case <-f.ready:
	default:
		close(f.ready)
	}
	if !changed {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// handleReadError handles a failed read. It discards the state if records are
// missing, fetches from a peer, and waits.
func (f *Follower) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, port.ErrExpired) || errors.Is(err, fold.ErrGap) {
		log.WithError(err).Warn("follow: records are missing from the log; recovering the state again")
		f.state = nil
	} else if !f.logDown.Swap(true) {
		log.WithError(err).Warn("follow: log unreachable; fetching records from peers")
	}
	metrics.Add("read_failures", 1)
	f.fetchFromPeer(ctx)
	_ = sleepRandom(ctx, maxRetryDelay)
}

// markLogUp records a successful read of the log.
func (f *Follower) markLogUp() {
	if f.logDown.Swap(false) {
		log.Info("follow: log reachable again")
	}
}
