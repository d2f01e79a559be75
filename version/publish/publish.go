// Package publish brings a service document into force through the log alone.
// Operators race: the log's order decides, and the loser learns who won.
package publish

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
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
	Service   string `json:"service"`
	Base      int64  `json:"base"`
	Version   int64  `json:"version"`          // offset of the document's record, 0 if it isn't known to stand
	Newest    int64  `json:"newest"`           // version of the service in force when the outcome stood
	Duplicate bool   `json:"again,omitempty"`  // an earlier publication of the same file on this base counted
	Winner    int64  `json:"winner,omitempty"` // version in force in place of the base, with code.BaseConflict
}

// InForce is the version of a service that is in force.
type InForce struct {
	Version int64  // 0 if there never was one
	YAML    string // empty after the service ended
}

// Publisher appends documents and waits for their verdicts. It reads the log
// with the same fold as the daemons, so it needs none of them.
type Publisher struct {
	Log    port.Log
	Writer string // unique to the publishing process
}

// Publish proposes yaml as the version of service that replaces base, 0 for a
// new service, and waits until the verdict stands or ctx ends. It returns nil
// for an accepted document, the code of the verdict for a refused one,
// code.BaseConflict when another version is in force in place of the base,
// code.PublishUnknown when ctx ended after an append began, and
// code.LogUnavailable or code.RecordsExpired when nothing was appended. The
// same file on the same base counts once.
func Publish(ctx context.Context, log port.Log, service string, base int64, yaml []byte) (Result, error) {
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

// Current returns the version of a service in force at the log's tail. While
// the log can't be reached it tries again until ctx ends.
func (p *Publisher) Current(ctx context.Context, service string) (InForce, error) {
	t := &tail{log: p.Log}
	backoff := firstPause
	for !t.reached {
		err := t.read(ctx, 0)
		if err == nil {
			continue
		}
		if code.Of(err) == code.RecordsExpired || pause.For(ctx, backoff) != nil {
			return InForce{}, unavailable(err)
		}
		backoff = min(2*backoff, longestWait)
	}
	svc := t.state.Services[service]
	return InForce{Version: svc.Version, YAML: svc.YAML}, nil
}

// ID returns the envelope id of a document: the same file on the same base
// always has the same one.
func ID(d record.Document) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %t\n%s", d.Service, d.Base, d.Remove, d.YAML)
	return "doc-" + hex.EncodeToString(h.Sum(nil)[:16])
}

func (p *Publisher) propose(ctx context.Context, d record.Document) (Result, error) {
	r := &run{tail: tail{log: p.Log}, id: ID(d), doc: d}
	r.result = Result{Service: d.Service, Base: d.Base}
	body, err := json.Marshal(d)
	if err != nil {
		return r.result, fmt.Errorf("encode document: %w", err)
	}
	r.data, err = json.Marshal(record.Envelope{ID: r.id, Kind: record.KindDocument, Writer: p.Writer, Body: body})
	if err != nil {
		return r.result, fmt.Errorf("encode envelope: %w", err)
	}
	err = r.loop(ctx)
	return r.result, err
}

// unavailable gives a code to an error of the log that has none.
func unavailable(err error) error {
	if c := code.Of(err); c != code.Internal {
		return err
	}
	return code.Wrap(code.LogUnavailable, err, "nothing was published")
}
