package load

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/operator/caller"
)

// Doer sends requests. *caller.Client implements it.
type Doer interface {
	Do(ctx context.Context, r caller.Request) (*caller.Answer, error)
}

// Options configures a run.
type Options struct {
	Model    string
	Rate     float64 // requests per second
	Duration time.Duration
	Seed     uint64
	Mix      []Kind
	Orgs     int // number of organisations that the requests are spread over
	Deadline time.Duration
	// MaxInFlight bounds the open requests. A request that waits for a slot is
	// sent late, and the delay counts in its times.
	MaxInFlight int
	// Verify returns a function that checks the tokens of the answer to a prompt;
	// may be nil.
	Verify func(prompt string) func(i int, text string) bool
}

// Progress counts the requests of a run, for display.
type Progress struct {
	Planned int64
	Sent    atomic.Int64
	Done    atomic.Int64
}

// sample is the outcome of one arrival.
type sample struct {
	kind      int
	sendDelay time.Duration // from the planned to the actual start
	answer    caller.Answer
	sent      bool
}

// Run sends the planned requests and returns a summary. It stops early when ctx
// is done; the summary counts the requests that were sent.
func Run(ctx context.Context, d Doer, o Options, p *Progress) *Summary {
	plan := Plan(o)
	p.Planned = int64(len(plan))
	samples := make([]sample, len(plan))
	var group errgroup.Group
	group.SetLimit(max(o.MaxInFlight, 1))
	start := time.Now()
	for i, a := range plan {
		samples[i].kind = a.Kind
		if pause.For(ctx, time.Until(start.Add(a.At))) != nil {
			break
		}
		group.Go(func() error {
			p.Sent.Add(1)
			samples[i] = sendRequest(ctx, d, o, a, start.Add(a.At))
			p.Done.Add(1)
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return summarize(o, samples, time.Since(start))
}

func sendRequest(ctx context.Context, d Doer, o Options, a Arrival, planned time.Time) sample {
	r := caller.Chat(o.Model, a.Prompt, a.OutputTokens)
	r.Org = a.Org
	r.Deadline = o.Deadline
	if o.Verify != nil {
		r.Verify = o.Verify(a.Prompt)
	}
	sendDelay := time.Since(planned)
	answer, _ := d.Do(ctx, r) // the answer holds the code
	if answer.Complete && answer.Tokens == 0 {
		answer.Complete = false
		answer.Code = code.StreamCut
	}
	return sample{kind: a.Kind, sendDelay: sendDelay, answer: *answer, sent: true}
}
