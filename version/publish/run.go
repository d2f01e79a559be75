package publish

import (
	"context"
	"errors"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/record"
)

// tail folds the control stream up to its tail.
type tail struct {
	log     port.Log
	state   *fold.State // nil before the first read
	reached bool        // the last read came to the tail
}

// read does one read, and waits for records up to wait if there are none.
func (t *tail) read(ctx context.Context, wait time.Duration) error {
	t.reached = false
	if t.state == nil {
		s, err := follow.Recover(ctx, t.log)
		if err != nil {
			return err
		}
		t.state = s
	}
	records, newest, err := t.log.Read(ctx, record.Control, t.state.Applied+1, readMax, wait)
	if errors.Is(err, port.ErrExpired) {
		t.state = nil // begin again from a newer checkpoint
		return nil
	}
	if err != nil {
		return err
	}
	for _, rec := range records {
		if err := t.state.Apply(rec.Offset, rec.Data); err != nil {
			return err
		}
	}
	t.reached = t.state.Applied >= newest
	return nil
}

// run is one publication.
type run struct {
	tail
	id       string
	doc      record.Document
	data     []byte
	result   Result
	tried    bool  // an append began, so the document may stand
	appended int64 // offset that an append returned
}

// loop reads the control stream, appends the document once the tail is reached
// without it, and ends when the outcome stands.
//
// An append can fail after it took effect. The loop then reads on to the tail
// before it appends again, so the document is found if it stands; should it
// land later all the same, both copies carry one id and count once.
func (r *run) loop(ctx context.Context) error {
	backoff := firstPause
	for {
		decided, err := r.step(ctx)
		switch {
		case decided:
			return err
		case err == nil:
			backoff = firstPause
			continue
		case code.Of(err) == code.RecordsExpired:
			return err
		}
		if pause.For(ctx, backoff) != nil {
			return r.timeout(err)
		}
		backoff = min(2*backoff, longestWait)
	}
}

// step does one read, and one append if the document isn't found up to the
// tail. It reports whether the outcome stands, with its error.
func (r *run) step(ctx context.Context) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	poll := time.Duration(0)
	if r.stands() {
		poll = readWait
	}
	if err := r.read(ctx, poll); err != nil {
		return false, err
	}
	if decided, err := r.look(); decided || !r.reached || r.stands() {
		return decided, err
	}
	if svc := r.state.Services[r.doc.Service]; svc.Version != r.doc.Base {
		return true, r.conflict(svc.Version)
	}
	r.tried = true
	offset, err := r.log.Append(ctx, record.Control, r.data)
	if err != nil {
		return false, err
	}
	r.appended = offset
	return false, nil
}

func (r *run) stands() bool { return r.result.Version > 0 || r.appended > 0 }

// look finds the document in the folded state. It reports whether its outcome
// stands, with its error.
func (r *run) look() (bool, error) {
	if r.state == nil {
		return false, nil
	}
	svc := r.state.Services[r.doc.Service]
	r.result.Newest = svc.Version
	for _, c := range svc.Pending {
		if c.ID == r.id {
			r.found(c.Version)
		}
	}
	o, ok := r.state.Outcome(r.doc.Service, r.id)
	if !ok {
		return false, nil
	}
	r.found(o.Version)
	switch o.Code {
	case code.OK:
		return true, nil
	case code.BaseConflict:
		return true, r.conflict(o.Winner)
	default:
		return true, code.New(o.Code, "%s", o.Detail)
	}
}

func (r *run) found(version int64) {
	r.result.Duplicate = r.result.Duplicate || r.result.Version == 0 && !r.tried
	r.result.Version = version
}

func (r *run) conflict(winner int64) error {
	r.result.Winner = winner
	if winner == 0 {
		return code.New(code.BaseConflict, "no version of %s is in force, so the base is 0", r.doc.Service)
	}
	return code.New(code.BaseConflict, "version %d of %s is in force in place of base %d", winner, r.doc.Service, r.doc.Base)
}

func (r *run) timeout(err error) error {
	if r.tried || r.result.Version > 0 {
		return code.Wrap(code.PublishUnknown, err, "document of %s on base %d", r.doc.Service, r.doc.Base)
	}
	return unavailable(err)
}
