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

// errNotReady is returned to a peer while this process has no state yet.
var errNotReady = code.New(code.NoConfiguration, "the control stream is not read yet")

const (
	writeInterval    = 250 * time.Millisecond // between checks for due records
	writeTimeout     = 5 * time.Second        // one verdict or checkpoint, retries included
	earliestInterval = time.Minute            // between queries for the log's earliest offset
)

// dueWrites tracks since when verdicts and checkpoints have been due.
type dueWrites struct {
	pending            map[string]pendingDocument
	checkpointDueSince time.Duration // 0 if no checkpoint is due
	lastCheckpoint     fold.CheckpointPosition
	lastCheckpointAt   time.Duration
	earliest           int64         // earliest offset in the log at the last query
	nextEarliestRead   time.Duration // time of the next query for it
}

// pendingDocument is the first document in a service's queue.
type pendingDocument struct {
	version int64
	since   time.Duration
}

// writeLoop writes verdicts and checkpoints when they are due. It has its own
// goroutine, so that a slow append never delays a read.
func (f *Follower) writeLoop() error {
	ctx := f.t.Context(context.Background())
	select {
	case <-f.ready:
	case <-f.t.Dying():
		return nil
	}
	d := &dueWrites{pending: map[string]pendingDocument{}, lastCheckpointAt: f.o.Clock.Now()}
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	for {
		changed := f.Changed()
		f.writeDue(ctx, d)
		select {
		case <-changed:
		case <-tick.C:
		case <-f.t.Dying():
			return nil
		}
	}
}

// writeDue writes the verdicts and checkpoints that are due. It writes nothing
// while the log is down, so that no backlog builds up for its recovery.
func (f *Follower) writeDue(ctx context.Context, d *dueWrites) {
	if f.LogDown() {
		return
	}
	s, now := f.State(), f.o.Clock.Now()
	f.updateEarliest(ctx, d, now)
	wait := time.Duration(f.o.Rank()) * f.o.Stagger
	for _, v := range d.verdictsDue(s, now, wait) {
		f.writeVerdict(ctx, s, v)
	}
	if d.checkpointDue(s, now, wait, f.o.CheckpointRecords, f.o.MaxCheckpointAge) {
		f.writeCheckpoint(ctx, s)
	}
}

// updateEarliest queries the log's earliest offset once per earliestInterval.
func (f *Follower) updateEarliest(ctx context.Context, d *dueWrites, now time.Duration) {
	if now < d.nextEarliestRead {
		return
	}
	d.nextEarliestRead = now + earliestInterval
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if e, err := f.o.Log.Earliest(ctx, record.Control); err == nil {
		d.earliest = e
	}
}

// verdictsDue returns the services whose first pending document has waited for
// at least wait.
func (d *dueWrites) verdictsDue(s *fold.State, now, wait time.Duration) []string {
	var due []string
	for name, svc := range s.Services {
		if len(svc.Pending) == 0 {
			delete(d.pending, name)
			continue
		}
		p, ok := d.pending[name]
		if !ok || p.version != svc.Pending[0].Version {
			p = pendingDocument{version: svc.Pending[0].Version, since: now}
			d.pending[name] = p
		}
		if now >= p.since+wait {
			due = append(due, name)
		}
	}
	return due
}

// checkpointDue reports whether to write a checkpoint. One is due after a
// number of records, when the newest one is older than maxAge, or when it lies
// in the older half of the retained log.
//
// If nothing were written for the whole retention time, the log would drop its
// last record and the configuration in force would be lost. Checkpoints are
// therefore repeated well before that, even without any change.
func (d *dueWrites) checkpointDue(s *fold.State, now, wait time.Duration, every int, maxAge time.Duration) bool {
	if s.Checkpoint != d.lastCheckpoint {
		d.lastCheckpoint, d.lastCheckpointAt, d.checkpointDueSince = s.Checkpoint, now, 0
	}
	manyRecords := s.Applied-s.Checkpoint.Covers >= int64(every)
	tooOld := s.Applied > 0 && now >= d.lastCheckpointAt+maxAge
	olderHalf := d.earliest > 1 && s.Checkpoint.At < d.earliest+(s.Applied-d.earliest)/2
	if !manyRecords && !tooOld && !olderHalf {
		return false
	}
	if d.checkpointDueSince == 0 {
		d.checkpointDueSince = now
	}
	return now >= d.checkpointDueSince+wait
}

// writeVerdict validates the first document in the service's queue and appends
// the verdict.
func (f *Follower) writeVerdict(ctx context.Context, s *fold.State, service string) {
	c := s.Services[service].Pending[0]
	v := record.Verdict{Service: service, Version: c.Version, Accept: true}
	if !c.Remove {
		v.Code, v.Detail = validateRecovering(f.o.Validate, c.YAML)
		v.Accept = v.Code == code.OK
	}
	id := fmt.Sprintf("verdict-%s-%d-%s", service, c.Version, f.o.Self)
	if f.tryWrite(ctx, id, record.KindVerdict, v) {
		log.WithFields(log.Fields{"service": service, "version": c.Version, "accept": v.Accept}).Info("follow: verdict written")
	}
}

// validateRecovering calls validate and turns a panic into a refusal. Without
// this, a document that crashes the checks would crash each daemon in turn,
// and again after every restart.
func validateRecovering(validate Validate, yaml string) (c code.Code, detail string) {
	defer func() {
		if r := recover(); r != nil {
			c, detail = code.Internal, fmt.Sprintf("the check of the document failed: %v", r)
		}
	}()
	return validate(yaml)
}

// writeCheckpoint appends a checkpoint of the state.
func (f *Follower) writeCheckpoint(ctx context.Context, s *fold.State) {
	data, err := s.Encode()
	if err != nil {
		log.WithError(err).Error("follow: cannot encode the state for a checkpoint")
		return
	}
	id := fmt.Sprintf("checkpoint-%d-%s", s.Applied, f.o.Self)
	if f.tryWrite(ctx, id, record.KindCheckpoint, record.Checkpoint{Covers: s.Applied, State: data}) {
		log.WithFields(log.Fields{"covers": s.Applied, "bytes": len(data)}).Info("follow: checkpoint written")
	}
}

// tryWrite appends a verdict or checkpoint and reports whether the append was
// confirmed.
func (f *Follower) tryWrite(ctx context.Context, id string, kind record.Kind, body any) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := f.Write(ctx, id, kind, body); err != nil {
		log.WithError(err).WithField("kind", string(kind)).Warn("follow: append not confirmed")
		return false
	}
	return true
}

// Await waits until the record at offset is folded, or until ctx ends.
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
