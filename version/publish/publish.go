// Package publish brings a service document into force through the log alone.
// Operators race: the log's order decides, and the loser learns who won.
package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/record"
)

const (
	readMax     = 256                    // records a read
	readWait    = time.Second            // long poll at the tail
	firstPause  = 100 * time.Millisecond // after a failed call of the log
	longestWait = 2 * time.Second        // between calls of a failing log
)

// Result is what became of a published document.
type Result struct {
	Service string `json:"service"`
	Base    int64  `json:"base"`
	Version int64  `json:"version"`          // offset of the document's record, 0 if it isn't known to stand
	Newest  int64  `json:"newest"`           // newest version of the service that was seen accepted
	Again   bool   `json:"again,omitempty"`  // another publication of the same file on this base counted
	Winner  int64  `json:"winner,omitempty"` // version that won the base, with code.BaseConflict
}

// Publisher appends documents and waits for their verdicts.
type Publisher struct {
	Log    platform.Log
	Writer string // unique to the publishing process
	// InForce returns the version of a service that daemons have in force, 0
	// for none. It may be nil. It is asked only when the log no longer keeps
	// the records since the base.
	InForce func(ctx context.Context, service string) (int64, error)
}

// Publish proposes yaml as the version of service that replaces base, 0 for a
// new service, and waits until the verdict stands or ctx ends. It returns nil
// for an accepted document, the code of the verdict for a refused one,
// code.BaseConflict when another document won the base, code.PublishUnknown
// when ctx ended after an append began, and code.LogUnavailable when it ended
// before. The same file on the same base counts once.
func Publish(ctx context.Context, log platform.Log, service string, base int64, yaml []byte) (Result, error) {
	p := &Publisher{Log: log, Writer: "publish"}
	return p.Publish(ctx, service, base, yaml)
}

// Publish is the function Publish with the settings of p.
func (p *Publisher) Publish(ctx context.Context, service string, base int64, yaml []byte) (Result, error) {
	return p.propose(ctx, record.Document{Service: service, Base: base, YAML: string(yaml)})
}

// Remove proposes that the service ends with version base.
func (p *Publisher) Remove(ctx context.Context, service string, base int64) (Result, error) {
	return p.propose(ctx, record.Document{Service: service, Base: base, Remove: true})
}

// ID returns the envelope id of a document: the same file on the same base
// always has the same one.
func ID(d record.Document) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %t\n%s", d.Service, d.Base, d.Remove, d.YAML)
	return "doc-" + hex.EncodeToString(h.Sum(nil)[:16])
}

func (p *Publisher) propose(ctx context.Context, d record.Document) (Result, error) {
	w := &watch{id: ID(d), writer: p.Writer, service: d.Service, base: d.Base, judged: make(map[int64]bool)}
	data, err := p.envelope(w.id, d)
	if err != nil {
		return w.result(), err
	}
	r := &run{p: p, w: w, data: data}
	err = r.loop(ctx)
	return w.result(), err
}

func (p *Publisher) envelope(id string, d record.Document) ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	data, err := json.Marshal(record.Envelope{ID: id, Kind: record.KindDocument, Writer: p.Writer, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	return data, nil
}

// run is one publication.
type run struct {
	p        *Publisher
	w        *watch
	data     []byte
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
	pause := firstPause
	for {
		err := r.step(ctx)
		if r.w.decided() {
			return r.w.outcome()
		}
		if err == nil {
			pause = firstPause
			continue
		}
		var coded *code.Error
		if errors.As(err, &coded) {
			return err
		}
		if !wait(ctx, pause) {
			return r.timeout(err)
		}
		pause = min(2*pause, longestWait)
	}
}

// step does one read, and one append if the tail is reached.
func (r *run) step(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r.w.next == 0 {
		if err := r.begin(ctx); err != nil {
			return err
		}
	}
	poll := time.Duration(0)
	if r.stands() {
		poll = readWait
	}
	records, newest, err := r.p.Log.Read(ctx, record.Control, r.w.next, readMax, poll)
	if errors.Is(err, platform.ErrExpired) {
		r.w.next = 0
		return nil
	}
	if err != nil {
		return err
	}
	for _, rec := range records {
		if r.w.take(rec); r.w.decided() {
			return nil
		}
	}
	if r.w.next <= newest {
		return nil
	}
	return r.tail(ctx)
}

// tail acts once everything up to the log's tail is read and nothing decided.
func (r *run) tail(ctx context.Context) error {
	if r.askInForce(ctx); r.w.decided() || r.stands() {
		return nil
	}
	r.tried = true
	offset, err := r.p.Log.Append(ctx, record.Control, r.data)
	if err != nil {
		return err
	}
	r.appended = offset
	return nil
}

func (r *run) stands() bool { return r.w.version > 0 || r.appended > 0 }

// askInForce asks the daemons for the version in force if the log no longer
// keeps all records since the base. The winner of the base may be among those,
// and then nothing in the log would ever end the wait.
func (r *run) askInForce(ctx context.Context) {
	if !r.w.gap || r.p.InForce == nil {
		return
	}
	v, err := r.p.InForce(ctx, r.w.service)
	if err == nil && v > r.w.base && v != r.w.version {
		r.w.winner = v
		r.w.newest = v
	}
}

// begin finds where to read from: after the base, since every document on it
// and every verdict on them stands later.
func (r *run) begin(ctx context.Context) error {
	earliest, err := r.p.Log.Earliest(ctx, record.Control)
	if err != nil {
		return err
	}
	first := r.w.base + 1
	if earliest <= r.w.base {
		if err := r.checkBase(ctx); err != nil {
			return err
		}
	}
	r.w.gap = earliest > first
	r.w.next = max(first, earliest)
	return nil
}

// checkBase refuses a base that is no document of the service, before anything
// is appended: no verdict would ever follow, and the operator would only see a
// timeout.
func (r *run) checkBase(ctx context.Context) error {
	base := r.w.base
	records, _, err := r.p.Log.Read(ctx, record.Control, base, 1, 0)
	if errors.Is(err, platform.ErrExpired) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(records) > 0 && records[0].Offset == base {
		env, ok := decode[record.Envelope](records[0].Data)
		doc, ok2 := decode[record.Document](env.Body)
		if ok && ok2 && env.Kind == record.KindDocument && doc.Service == r.w.service {
			return nil
		}
	}
	return noVersion(base, r.w.service)
}

func (r *run) timeout(err error) error {
	if r.tried || r.w.version > 0 {
		return code.Wrap(code.PublishUnknown, err, "document of %s on base %d", r.w.service, r.w.base)
	}
	return code.Wrap(code.LogUnavailable, err, "nothing was published")
}

// wait pauses for d and tells whether ctx still holds.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
