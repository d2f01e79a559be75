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

// tailReader reads the control stream to its tail and folds it.
type tailReader struct {
	log    port.Log
	state  *fold.State // nil before the first read
	atTail bool        // the last read reached the tail
}

// read reads once. If there are no new records, it waits for them up to wait.
func (t *tailReader) read(ctx context.Context, wait time.Duration) error {
	t.atTail = false
	if t.state == nil {
		s, err := follow.Recover(ctx, t.log)
		if err != nil {
			return err
		}
		t.state = s
	}
	records, newest, err := t.log.Read(ctx, record.Control, t.state.Applied+1, readBatch, wait)
	if errors.Is(err, port.ErrExpired) {
		t.state = nil // recover again from a newer checkpoint
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
	t.atTail = t.state.Applied >= newest
	return nil
}

// publication is one call of Publish or Remove.
type publication struct {
	tailReader
	id           string
	doc          record.Document
	data         []byte
	result       Result
	appendTried  bool  // an append began, so the log may hold the document
	appendOffset int64 // offset returned by an append
}

// loop reads the control stream, appends the document if the stream doesn't
// hold it, and returns when the outcome is known.
//
// An append can fail although it took effect. The loop therefore reads to the
// tail before it appends again, to find the document if the log holds it. If
// the first append takes effect even later, both records have the same id and
// count once.
func (p *publication) loop(ctx context.Context) error {
	backoff := initialBackoff
	for {
		decided, err := p.step(ctx)
		switch {
		case decided:
			return err
		case err == nil:
			backoff = initialBackoff
			continue
		case code.Of(err) == code.RecordsExpired:
			return err
		}
		if pause.For(ctx, backoff) != nil {
			return p.timeoutError(err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// step reads once, and appends the document if it wasn't found up to the tail.
// It reports whether the outcome is known, with the error to return for it.
func (p *publication) step(ctx context.Context) (bool, error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	poll := time.Duration(0)
	if p.hasRecord() {
		poll = pollWait
	}
	if err := p.read(ctx, poll); err != nil {
		return false, err
	}
	if decided, err := p.checkOutcome(); decided || !p.atTail || p.hasRecord() {
		return decided, err
	}
	if svc := p.state.Services[p.doc.Service]; svc.Version != p.doc.Base {
		return true, p.conflictError(svc.Version)
	}
	p.appendTried = true
	offset, err := p.log.Append(ctx, record.Control, p.data)
	if err != nil {
		return false, err
	}
	p.appendOffset = offset
	return false, nil
}

// hasRecord reports whether the log is known to hold the document.
func (p *publication) hasRecord() bool { return p.result.Version > 0 || p.appendOffset > 0 }

// checkOutcome looks up the document in the folded state. It reports whether
// the outcome is known, with the error to return for it.
func (p *publication) checkOutcome() (bool, error) {
	if p.state == nil {
		return false, nil
	}
	svc := p.state.Services[p.doc.Service]
	p.result.Newest = svc.Version
	for _, c := range svc.Pending {
		if c.ID == p.id {
			p.recordVersion(c.Version)
		}
	}
	o, ok := p.state.Outcome(p.doc.Service, p.id)
	if !ok {
		return false, nil
	}
	p.recordVersion(o.Version)
	switch o.Code {
	case code.OK:
		return true, nil
	case code.BaseConflict:
		return true, p.conflictError(o.Winner)
	default:
		return true, code.New(o.Code, "%s", o.Detail)
	}
}

// recordVersion stores the document's offset in the result. The document is a
// duplicate if its record was found before this publication tried to append.
func (p *publication) recordVersion(version int64) {
	p.result.Duplicate = p.result.Duplicate || p.result.Version == 0 && !p.appendTried
	p.result.Version = version
}

// conflictError stores the winner in the result and returns the error for it.
func (p *publication) conflictError(winner int64) error {
	p.result.Winner = winner
	if winner == 0 {
		return code.New(code.BaseConflict, "no version of %s is in force, so the base is 0", p.doc.Service)
	}
	return code.New(code.BaseConflict, "version %d of %s is in force in place of base %d", winner, p.doc.Service, p.doc.Base)
}

// timeoutError returns the error for a publication that ended without an
// outcome; err is the last error of the log.
func (p *publication) timeoutError(err error) error {
	if p.appendTried || p.result.Version > 0 {
		return code.Wrap(code.PublishUnknown, err, "document of %s on base %d", p.doc.Service, p.doc.Base)
	}
	return withUnavailableCode(err)
}
