// Package publish publishes service documents through the log, without the
// daemons. If several operators publish on the same base, the order in the log
// decides, and the others get the version that won.
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
	readBatch      = 256                    // records per read
	pollWait       = time.Second            // maximum duration of a long poll at the tail
	initialBackoff = 100 * time.Millisecond // delay after the first failed call of the log
	maxBackoff     = 2 * time.Second        // maximum delay between calls while the log fails
)

// Result is the result of a publication.
type Result struct {
	Service   string `json:"service"`
	Base      int64  `json:"base"`
	Version   int64  `json:"version"`          // offset of the document's record, 0 if the record wasn't found in the log
	Newest    int64  `json:"newest"`           // version of the service in force at the last read
	Duplicate bool   `json:"again,omitempty"`  // the same file was already published on this base
	Winner    int64  `json:"winner,omitempty"` // with code.BaseConflict: version in force instead of the base
}

// InForce is the version in force of a service.
type InForce struct {
	Version int64  // 0 if the service never had one
	YAML    string // empty if the service was removed
}

// Publisher appends documents and waits for their verdicts. It folds the log
// like the daemons do, so it needs no connection to them.
type Publisher struct {
	Log    port.Log
	Writer string // unique to the publishing process
}

// Publish proposes yaml as the version of service that replaces base, and waits
// for the verdict or until ctx ends. The base of a new service is 0. The error
// is nil if the document was accepted. Otherwise its code is that of the
// verdict, or code.BaseConflict if another version is in force instead of the
// base, code.PublishUnknown if ctx ended after an append began, or
// code.LogUnavailable or code.RecordsExpired if nothing was appended.
// Publishing the same file on the same base again has no further effect.
func Publish(ctx context.Context, log port.Log, service string, base int64, yaml []byte) (Result, error) {
	p := &Publisher{Log: log, Writer: "publish"}
	return p.Publish(ctx, service, base, yaml)
}

// Publish is like the function Publish, with the log and writer of p.
func (p *Publisher) Publish(ctx context.Context, service string, base int64, yaml []byte) (Result, error) {
	return p.propose(ctx, record.Document{Service: service, Base: base, YAML: string(yaml)})
}

// Remove proposes to remove the service whose version in force is base.
func (p *Publisher) Remove(ctx context.Context, service string, base int64) (Result, error) {
	return p.propose(ctx, record.Document{Service: service, Base: base, Remove: true})
}

// Current returns the version of a service in force at the log's tail. It
// retries until ctx ends while the log is unavailable.
func (p *Publisher) Current(ctx context.Context, service string) (InForce, error) {
	t := &tailReader{log: p.Log}
	backoff := initialBackoff
	for !t.atTail {
		err := t.read(ctx, 0)
		if err == nil {
			continue
		}
		if code.Of(err) == code.RecordsExpired || pause.For(ctx, backoff) != nil {
			return InForce{}, withUnavailableCode(err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
	svc := t.state.Services[service]
	return InForce{Version: svc.Version, YAML: svc.YAML}, nil
}

// ID returns the envelope id of a document. The same file on the same base
// always has the same id.
func ID(d record.Document) string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d %t\n%s", d.Service, d.Base, d.Remove, d.YAML)
	return "doc-" + hex.EncodeToString(h.Sum(nil)[:16])
}

func (p *Publisher) propose(ctx context.Context, d record.Document) (Result, error) {
	r := &publication{tailReader: tailReader{log: p.Log}, id: ID(d), doc: d}
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

// withUnavailableCode wraps an error of the log that has no code of its own
// with code.LogUnavailable.
func withUnavailableCode(err error) error {
	if c := code.Of(err); c != code.Internal {
		return err
	}
	return code.Wrap(code.LogUnavailable, err, "nothing was published")
}
