package chaos

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/bench/audit"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/standin/token"
)

// LoadOptions configures the load of a run.
type LoadOptions struct {
	Daemons      []string // addresses of the daemons to which the callers connect first
	Zones        []string // availability zones of the callers
	Seed         uint64
	Duration     time.Duration
	Deadline     time.Duration // of each request
	Rates        Rates
	Model        string
	FeedService  string  // plain service for idempotent calls
	OnceService  string  // plain service and path for calls that may run at most once
	ShortStreams bool    // short streams and a few very long ones, for runs with many requests
	ResendShare  float64 // share of the calls to OnceService that are sent again although their result is known
}

// Rates holds the number of requests per second of each kind.
type Rates struct {
	Streams, Feed, Once float64
}

const (
	loadStreamID   = 2  // PCG stream of the load; planStreamID is that of the schedule
	maxAttempts    = 60 // of one request before its deadline
	maxInFlight    = 2048
	callersPerZone = 3 // callers per zone, each with its own address cache
	maxShortTokens = 8 // longest short stream
	// longStreamShare is the share of long streams if LoadOptions.ShortStreams is set.
	// They outlast the time that a daemon waits before it drains.
	longStreamShare   = 0.03
	minLongTokens     = 500
	maxLongTokens     = 1200
	maxQuestionTokens = 60 // longest answer to a question
	minDraftTokens    = 150
	maxDraftTokens    = 400
	draftShare        = 0.2 // share of drafts among the streams; the others are questions
	promptWords       = 40
)

// arrival is one planned request.
type arrival struct {
	at     time.Duration
	kind   audit.Kind
	number int
	caller int
	tokens int
	resend bool
}

// plan returns all arrivals. They depend on the options only.
func (o *LoadOptions) plan() []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, loadStreamID))
	total := o.Rates.Streams + o.Rates.Feed + o.Rates.Once
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		a := arrival{at: at, number: len(out), caller: rng.IntN(max(len(o.Zones), 1) * callersPerZone), kind: audit.KindOnce}
		switch x := rng.Float64() * total; {
		case x < o.Rates.Streams:
			a.kind, a.tokens = audit.KindStream, o.tokens(rng)
		case x < o.Rates.Streams+o.Rates.Feed:
			a.kind = audit.KindFeed
		default:
			a.resend = rng.Float64() < o.ResendShare
		}
		out = append(out, a)
	}
}

func (o *LoadOptions) tokens(rng *rand.Rand) int {
	switch {
	case o.ShortStreams && rng.Float64() < longStreamShare:
		return minLongTokens + rng.IntN(maxLongTokens-minLongTokens)
	case o.ShortStreams:
		return 1 + rng.IntN(maxShortTokens)
	case rng.Float64() < draftShare:
		return minDraftTokens + rng.IntN(maxDraftTokens-minDraftTokens)
	}
	return 1 + rng.IntN(maxQuestionTokens)
}

// load is the state of a running load.
type load struct {
	options LoadOptions
	clients []*caller.Client
	start   time.Time

	mu  sync.Mutex
	enc *json.Encoder
}

// Load sends the planned requests and writes an audit.Outcome for each send as
// a line of JSON.
func Load(ctx context.Context, o LoadOptions, out io.Writer) error {
	l := &load{options: o, start: time.Now(), enc: json.NewEncoder(out)}
	for i := range max(len(o.Zones), 1) * callersPerZone {
		opts := caller.Options{Daemons: o.Daemons, MaxAttempts: maxAttempts, Seed: o.Seed + uint64(i)}
		if len(o.Zones) > 0 {
			opts.Zone = o.Zones[i%len(o.Zones)]
		}
		c := caller.New(opts)
		defer c.Close()
		l.clients = append(l.clients, c)
	}
	var open errgroup.Group
	open.SetLimit(maxInFlight)
	for _, a := range o.plan() {
		if pause.For(ctx, time.Until(l.start.Add(a.at))) != nil {
			break
		}
		open.Go(func() error { return l.sendArrival(ctx, a) })
	}
	return open.Wait()
}

// sendArrival sends a request. It sends a call of the kind KindOnce a second
// time if its outcome is unknown or if the arrival asks for it.
func (l *load) sendArrival(ctx context.Context, a arrival) error {
	o := l.send(ctx, a, a.caller, false)
	if err := l.write(o); err != nil {
		return err
	}
	outcomeUnknown := !o.Complete && !o.NotRun
	if a.kind != audit.KindOnce || !a.resend && !outcomeUnknown {
		return nil
	}
	return l.write(l.send(ctx, a, (a.caller+1)%len(l.clients), true))
}

func (l *load) write(o *audit.Outcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enc.Encode(o)
}

func (l *load) send(ctx context.Context, a arrival, client int, resend bool) *audit.Outcome {
	r := l.request(a)
	if resend {
		r.ID += "-again"
	}
	begin := time.Now()
	answer, err := l.clients[client].Do(ctx, r)
	o := &audit.Outcome{
		Kind: a.kind, ID: r.ID, Key: r.Key, Resend: resend,
		Code: answer.Code, Status: answer.Status, NotRun: answer.NotRun, Complete: answer.Complete,
		RequestedTokens: a.tokens, Tokens: answer.Tokens, BodyMatches: bytes.Equal(answer.Body, r.Body),
		Attempts: answer.Attempts, CutAttempts: answer.CutAttempts, Faults: answer.Faults, Addr: answer.Addr,
		StartMs: begin.Sub(l.start).Milliseconds(), TookMs: answer.Total.Milliseconds(),
		DeadlineMs: r.Deadline.Milliseconds(),
	}
	if err != nil {
		o.Error = err.Error()
	}
	return o
}

// request builds the request of an arrival. Its content is unique, so that an
// answer to another request is detected.
func (l *load) request(a arrival) caller.Request {
	var r caller.Request
	name := fmt.Sprintf("%d-%d", l.options.Seed, a.number)
	switch a.kind {
	case audit.KindStream:
		prompt := "request " + name + string(bytes.Repeat([]byte(" stop"), promptWords))
		r = caller.Chat(l.options.Model, prompt, a.tokens)
		hash := token.Hash(prefix.Prompt([]prefix.Message{{Role: "user", Content: prompt}}))
		r.Verify = func(i int, text string) bool { return text == token.At(hash, i) }
	case audit.KindFeed:
		r = caller.Request{Path: "/s/" + l.options.FeedService, Body: fmt.Appendf(nil, `{"board":%q}`, name), Idempotent: true}
	case audit.KindOnce:
		r = caller.Request{Path: "/s/" + l.options.OnceService, Body: fmt.Appendf(nil, `{"ticket":%q}`, name), Key: "key-" + name}
	}
	r.ID = string(a.kind) + "-" + name
	r.Deadline = l.options.Deadline
	return r
}
