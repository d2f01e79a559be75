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

// LoadOptions describe the load of a run.
type LoadOptions struct {
	Callers  []string // daemons to ask for addresses first
	Zones    []string // availability zones that callers stand in
	Seed     uint64
	Duration time.Duration
	Deadline time.Duration // of each request
	Rates    Rates
	Model    string
	Feed     string  // idempotent plain service
	Once     string  // plain service, and path of calls that may run at most once
	Short    bool    // streams of a few tokens and some very long ones, for runs of many requests
	Resend   float64 // share of non-idempotent calls sent again although they ended
}

// Rates are requests a second, by kind.
type Rates struct {
	Streams, Feed, Once float64
}

const (
	loadStream   = 2  // of random numbers
	maxAttempts  = 60 // in the deadline of one request
	maxInFlight  = 2048
	callersAZone = 3 // callers with a book of addresses of their own
	shortTokens  = 8
	longShare    = 0.03 // of short streams; they outlast a daemon's wait before it drains
	longLeast    = 500
	longMost     = 1200
	questionMost = 60
	draftLeast   = 150
	draftMost    = 400
	draftShare   = 0.2
	promptWords  = 40
)

// arrival is one planned request.
type arrival struct {
	at     time.Duration
	kind   audit.Kind
	n      int
	caller int
	tokens int
	resend bool
}

// plan fixes all arrivals by the seed.
func (o *LoadOptions) plan() []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, loadStream))
	total := o.Rates.Streams + o.Rates.Feed + o.Rates.Once
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		a := arrival{at: at, n: len(out), caller: rng.IntN(max(len(o.Zones), 1) * callersAZone), kind: audit.KindOnce}
		switch x := rng.Float64() * total; {
		case x < o.Rates.Streams:
			a.kind, a.tokens = audit.KindStream, o.tokens(rng)
		case x < o.Rates.Streams+o.Rates.Feed:
			a.kind = audit.KindFeed
		default:
			a.resend = rng.Float64() < o.Resend
		}
		out = append(out, a)
	}
}

func (o *LoadOptions) tokens(rng *rand.Rand) int {
	switch {
	case o.Short && rng.Float64() < longShare:
		return longLeast + rng.IntN(longMost-longLeast)
	case o.Short:
		return 1 + rng.IntN(shortTokens)
	case rng.Float64() < draftShare:
		return draftLeast + rng.IntN(draftMost-draftLeast)
	}
	return 1 + rng.IntN(questionMost)
}

// load is a run of it.
type load struct {
	o       LoadOptions
	clients []*caller.Client
	start   time.Time

	mu  sync.Mutex
	enc *json.Encoder
}

// Load sends the planned requests and writes an audit.Outcome for each sending
// as a line of JSON.
func Load(ctx context.Context, o LoadOptions, out io.Writer) error {
	l := &load{o: o, start: time.Now(), enc: json.NewEncoder(out)}
	for i := range max(len(o.Zones), 1) * callersAZone {
		opts := caller.Options{Daemons: o.Callers, MaxAttempts: maxAttempts, Seed: o.Seed + uint64(i)}
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
		open.Go(func() error { return l.one(ctx, a) })
	}
	return open.Wait()
}

// one sends a request, and once more what a caller may send again: a call
// whose outcome nobody knew, and some of those that were answered.
func (l *load) one(ctx context.Context, a arrival) error {
	o := l.send(ctx, a, a.caller, false)
	if err := l.write(o); err != nil {
		return err
	}
	unsure := !o.Whole && !o.NotRun
	if a.kind != audit.KindOnce || !a.resend && !unsure {
		return nil
	}
	return l.write(l.send(ctx, a, (a.caller+1)%len(l.clients), true))
}

func (l *load) write(o *audit.Outcome) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.enc.Encode(o)
}

func (l *load) send(ctx context.Context, a arrival, client int, again bool) *audit.Outcome {
	r := l.request(a)
	if again {
		r.ID += "-again"
	}
	begin := time.Now()
	answer, err := l.clients[client].Do(ctx, r)
	o := &audit.Outcome{
		Kind: a.kind, ID: r.ID, Key: r.Key, Resend: again,
		Code: answer.Code, Status: answer.Status, NotRun: answer.NotRun, Whole: answer.Complete,
		Asked: a.tokens, Tokens: answer.Tokens, OwnBody: bytes.Equal(answer.Body, r.Body),
		Attempts: answer.Attempts, Cut: answer.CutAttempts, Faults: answer.Faults, Addr: answer.Addr,
		StartMs: begin.Sub(l.start).Milliseconds(), TookMs: answer.Total.Milliseconds(),
		DeadlineMs: r.Deadline.Milliseconds(),
	}
	if err != nil {
		o.Error = err.Error()
	}
	return o
}

// request makes the request of an arrival. Its content names it, so that an
// answer to another one shows.
func (l *load) request(a arrival) caller.Request {
	var r caller.Request
	name := fmt.Sprintf("%d-%d", l.o.Seed, a.n)
	switch a.kind {
	case audit.KindStream:
		prompt := "request " + name + string(bytes.Repeat([]byte(" stop"), promptWords))
		r = caller.Chat(l.o.Model, prompt, a.tokens)
		hash := token.Hash(prefix.Prompt([]prefix.Message{{Role: "user", Content: prompt}}))
		r.Verify = func(i int, text string) bool { return text == token.At(hash, i) }
	case audit.KindFeed:
		r = caller.Request{Path: "/s/" + l.o.Feed, Body: fmt.Appendf(nil, `{"board":%q}`, name), Idempotent: true}
	case audit.KindOnce:
		r = caller.Request{Path: "/s/" + l.o.Once, Body: fmt.Appendf(nil, `{"ticket":%q}`, name), Key: "key-" + name}
	}
	r.ID = string(a.kind) + "-" + name
	r.Deadline = l.o.Deadline
	return r
}
