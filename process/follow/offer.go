package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

// errNotReady answers a peer that asks too early.
var errNotReady = code.New(code.NoConfiguration, "the control stream is not read yet")

const (
	offerEvery   = 250 * time.Millisecond // between looks at what is due
	offerTimeout = 5 * time.Second        // one verdict or checkpoint, retries included
	earliestWait = time.Minute            // between looks at what the log still keeps
)

// offers remembers since when things are due.
type offers struct {
	heads      map[string]head
	checkpoint time.Duration // since when a checkpoint is due, 0 if none is
	mark       fold.CheckpointPosition
	markSeen   time.Duration
	earliest   int64         // lowest offset that the log kept at the last look
	nextLook   time.Duration // when to look again
}

// head is the document at the head of a service's queue.
type head struct {
	version int64
	since   time.Duration
}

// offerLoop writes verdicts and checkpoints when they are due. It is a
// goroutine of its own, so that a slow append never delays a read.
func (f *Follower) offerLoop() error {
	ctx := f.t.Context(context.Background())
	select {
	case <-f.ready:
	case <-f.t.Dying():
		return nil
	}
	o := &offers{heads: map[string]head{}, markSeen: f.o.Clock.Now()}
	tick := time.NewTicker(offerEvery)
	defer tick.Stop()
	for {
		changed := f.Changed()
		f.offer(ctx, o)
		select {
		case <-changed:
		case <-tick.C:
		case <-f.t.Dying():
			return nil
		}
	}
}

// offer writes what is due now. While the log is down nothing is written, so
// nothing piles up for its return.
func (f *Follower) offer(ctx context.Context, o *offers) {
	if f.LogDown() {
		return
	}
	s, now := f.State(), f.o.Clock.Now()
	f.lookEarliest(ctx, o, now)
	wait := time.Duration(f.o.Rank()) * f.o.Stagger
	for _, v := range o.verdictsDue(s, now, wait) {
		f.offerVerdict(ctx, s, v)
	}
	if o.checkpointDue(s, now, wait, f.o.CheckpointRecords, f.o.MaxCheckpointAge) {
		f.offerCheckpoint(ctx, s)
	}
}

// lookEarliest asks the log now and then what it still keeps.
func (f *Follower) lookEarliest(ctx context.Context, o *offers, now time.Duration) {
	if now < o.nextLook {
		return
	}
	o.nextLook = now + earliestWait
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if e, err := f.o.Log.Earliest(ctx, record.Control); err == nil {
		o.earliest = e
	}
}

// verdictsDue returns the services whose head waits for longer than wait.
func (o *offers) verdictsDue(s *fold.State, now, wait time.Duration) []string {
	var due []string
	for name, svc := range s.Services {
		if len(svc.Pending) == 0 {
			delete(o.heads, name)
			continue
		}
		h, ok := o.heads[name]
		if !ok || h.version != svc.Pending[0].Version {
			h = head{version: svc.Pending[0].Version, since: now}
			o.heads[name] = h
		}
		if now >= h.since+wait {
			due = append(due, name)
		}
	}
	return due
}

// checkpointDue reports whether a checkpoint should be written. It is due after
// enough records, after maxAge of a quiet log, and when the newest one lies in
// the older half of what the log keeps.
//
// The guard is against retention: a log that is quiet for its whole retention
// drops its last record, and with it what is in force. A checkpoint is written
// again although nothing changed, long before that.
func (o *offers) checkpointDue(s *fold.State, now, wait time.Duration, every int, maxAge time.Duration) bool {
	if s.Checkpoint != o.mark {
		o.mark, o.markSeen, o.checkpoint = s.Checkpoint, now, 0
	}
	many := s.Applied-s.Checkpoint.Covers >= int64(every)
	old := s.Applied > 0 && now >= o.markSeen+maxAge
	half := o.earliest > 1 && s.Checkpoint.At < o.earliest+(s.Applied-o.earliest)/2
	if !many && !old && !half {
		return false
	}
	if o.checkpoint == 0 {
		o.checkpoint = now
	}
	return now >= o.checkpoint+wait
}

// offerVerdict judges the head of the service's queue and logs the verdict.
func (f *Follower) offerVerdict(ctx context.Context, s *fold.State, service string) {
	c := s.Services[service].Pending[0]
	v := record.Verdict{Service: service, Version: c.Version, Accept: true}
	if !c.Remove {
		v.Code, v.Detail = judge(f.o.Validate, c.YAML)
		v.Accept = v.Code == code.OK
	}
	id := fmt.Sprintf("verdict-%s-%d-%s", service, c.Version, f.o.Self)
	if f.write(ctx, id, record.KindVerdict, v) {
		log.WithFields(log.Fields{"service": service, "version": c.Version, "accept": v.Accept}).Info("follow: verdict given")
	}
}

// judge validates, and turns a panic into a refusal.
//
// The guard is against a document that crashes the checks: each daemon in turn
// would offer its verdict and die, and again after each restart.
func judge(validate Validate, yaml string) (c code.Code, detail string) {
	defer func() {
		if r := recover(); r != nil {
			c, detail = code.Internal, fmt.Sprintf("the check of the document failed: %v", r)
		}
	}()
	return validate(yaml)
}

// offerCheckpoint logs the state.
func (f *Follower) offerCheckpoint(ctx context.Context, s *fold.State) {
	data, err := s.Encode()
	if err != nil {
		log.WithError(err).Error("follow: state can't be encoded")
		return
	}
	id := fmt.Sprintf("checkpoint-%d-%s", s.Applied, f.o.Self)
	if f.write(ctx, id, record.KindCheckpoint, record.Checkpoint{Covers: s.Applied, State: data}) {
		log.WithFields(log.Fields{"covers": s.Applied, "bytes": len(data)}).Info("follow: checkpoint written")
	}
}

// write appends a verdict or checkpoint and reports whether it stands.
func (f *Follower) write(ctx context.Context, id string, kind record.Kind, body any) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	if _, err := f.Write(ctx, id, kind, body); err != nil {
		log.WithError(err).WithField("kind", string(kind)).Warn("follow: append not confirmed")
		return false
	}
	return true
}

// Await returns once the record at offset is folded, or when ctx ends.
func (f *Follower) Await(ctx context.Context, offset int64) error {
	for {
		changed := f.Changed()
		if f.Applied() >= offset {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
