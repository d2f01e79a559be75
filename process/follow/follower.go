// Package follow reads the control stream, keeps the folded state of it, and
// does what every daemon does for it in turn: verdicts and checkpoints.
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

// Batch is what a peer gives to one that can't reach the log.
type Batch struct {
	Records    []port.Record // from the offset that was asked for, or after Covers
	Applied    int64         // of the peer
	Checkpoint []byte        // encoded fold.State, when the records asked for are gone
	Covers     int64         // offset that Checkpoint covers
}

// Peers reaches other daemons.
type Peers interface {
	// Fetch asks a live peer, a different one each time, for records from
	// offset from on.
	Fetch(ctx context.Context, from int64) (Batch, error)
}

// Validate judges a document by the rules of this binary. Any code but
// code.OK refuses it.
type Validate func(yaml string) (code.Code, string)

// Options of a Follower. Log, Clock, Self and Validate must be set.
type Options struct {
	Log      port.Log
	Clock    clock.Clock
	Self     string     // incarnation of this process
	Validate Validate   // judges documents
	Peers    Peers      // may be nil
	Rank     func() int // place among the live daemons, 0 first; nil means 0

	HolderPollWait    time.Duration // long poll while holding a lease; 750ms, below lease.Rule.T / 2
	IdlePollWait      time.Duration // long poll otherwise; 3s
	Stagger           time.Duration // between verdicts or checkpoints of two ranks; 1s
	CheckpointRecords int           // records between checkpoints; 500
	MaxCheckpointAge  time.Duration // between checkpoints of a quiet log; 10m
	AppendRate        float64       // appends a second of this process; 5
}

func (o Options) withDefaults() Options {
	def(&o.HolderPollWait, 750*time.Millisecond)
	def(&o.IdlePollWait, 3*time.Second)
	def(&o.Stagger, time.Second)
	def(&o.CheckpointRecords, 500)
	def(&o.MaxCheckpointAge, 10*time.Minute)
	def(&o.AppendRate, 5)
	if o.Rank == nil {
		o.Rank = func() int { return 0 }
	}
	return o
}

func def[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

const (
	readMax     = 512             // records a read
	readTimeout = 2 * time.Second // on top of the wait of a long poll
	retryMost   = 2 * time.Second // longest wait between reads of a log that fails
)

// Follower holds the state of the control stream. Its methods are safe for
// concurrent use.
type Follower struct {
	o        Options
	appender *Appender
	t        tomb.Tomb
	tail     atomic.Pointer[lease.Tail]
	down     atomic.Bool
	ready    chan struct{}
	recent   recent

	mu      sync.Mutex
	changed chan struct{}

	// owned by the reading goroutine
	state *fold.State
	began time.Duration
	fresh bool
}

// New returns a Follower that doesn't run yet.
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

// Start begins to read.
func (f *Follower) Start() {
	f.t.Go(func() error {
		f.t.Go(f.offerLoop)
		return f.readLoop()
	})
}

// Stop ends the goroutines and waits for them.
func (f *Follower) Stop() error {
	f.t.Kill(nil)
	return f.t.Wait()
}

// Tail returns the state with the time of the read that gave it.
func (f *Follower) Tail() lease.Tail { return *f.tail.Load() }

// State returns the newest state. It is read-only.
func (f *Follower) State() *fold.State { return f.tail.Load().State }

// Applied returns the offset of the newest record that was folded.
func (f *Follower) Applied() int64 { return f.State().Applied }

// LastReadStart returns when the last finished read of the tail began, and
// false before the first.
func (f *Follower) LastReadStart() (time.Duration, bool) {
	t := f.tail.Load()
	return t.Began, t.Fresh
}

// LogDown reports whether the last read of the log failed.
func (f *Follower) LogDown() bool { return f.down.Load() }

// Ready is closed once the state has been read to the tail for the first time,
// from the log or from a peer.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Appender returns the appender for control records of this process.
func (f *Follower) Appender() *Appender { return f.appender }

// Changed returns a channel that is closed at the next change of the state.
// Take the channel before the state, so that no change is missed.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// readLoop is the only goroutine that folds.
func (f *Follower) readLoop() error {
	ctx := f.t.Context(context.Background())
	for f.t.Alive() {
		if err := f.step(ctx); err != nil {
			f.failed(ctx, err)
		}
	}
	return nil
}

// step starts up or does one read of the tail.
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

// readTail reads once and folds. Only a read that reached the newest record
// counts as a read of the tail.
//
// A read whose newest offset is below what was folded already comes from a
// copy of the log that lags; it proves nothing about later claims, so it
// doesn't renew a lease.
func (f *Follower) readTail(ctx context.Context) error {
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began := f.o.Clock.Now()
	recs, newest, err := f.o.Log.Read(ctx, record.Control, f.state.Applied+1, readMax, wait)
	counts.Add("reads", 1)
	if err != nil {
		return err
	}
	f.up()
	if newest < max(f.state.Applied, f.Applied()) {
		return errLags
	}
	if err := f.apply(recs); err != nil {
		return err
	}
	if f.state.Applied >= newest {
		f.began, f.fresh = began, true
		f.publish()
	}
	return nil
}

// errLags means that the log shows less than it showed before.
var errLags = errors.New("follow: the log shows an older newest offset than before")

// apply folds records that follow the state.
func (f *Follower) apply(recs []port.Record) error {
	for _, r := range recs {
		if err := f.state.Apply(r.Offset, r.Data); err != nil {
			return err
		}
		f.recent.add(r)
	}
	return nil
}

// wait returns how long the next long poll may last. A holder's lease lives on
// the begin of its reads, so it begins one often; others spare the log.
func (f *Follower) wait() time.Duration {
	for _, l := range f.state.Leases {
		if l.Holder == f.o.Self && !l.Released {
			return f.o.HolderPollWait
		}
	}
	return f.o.IdlePollWait
}

// publish hands the state to the readers.
func (f *Follower) publish() {
	old := f.tail.Load()
	s := old.State
	if s.Applied != f.state.Applied || !old.Fresh {
		s = f.state.Clone()
	}
	f.tail.Store(&lease.Tail{State: s, Began: f.began, Fresh: f.fresh})
	f.announce(s.Applied != old.State.Applied)
}

// announce marks the follower ready and wakes those who wait for a change.
func (f *Follower) announce(changed bool) {
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

// failed handles a read that failed: it starts anew when records are missing,
// asks a peer, and waits.
func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, port.ErrExpired) || errors.Is(err, fold.ErrGap) {
		log.WithError(err).Warn("follow: records gone, start anew")
		f.state = nil
	} else if !f.down.Swap(true) {
		log.WithError(err).Warn("follow: log unreachable, ask peers")
	}
	counts.Add("read_failures", 1)
	f.fromPeer(ctx)
	_ = pause(ctx, retryMost)
}

// up notes that the log answers.
func (f *Follower) up() {
	if f.down.Swap(false) {
		log.Info("follow: log reachable again")
	}
}
