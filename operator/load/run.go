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

// Doer sends requests; *caller.Client is one.
type Doer interface {
	Do(ctx context.Context, r caller.Request) (*caller.Answer, error)
}

// Options of a run.
type Options struct {
	Model    string
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
	Mix      []Kind
	Orgs     int // organisations that the requests are spread over
	Deadline time.Duration
	// MaxInFlight bounds open requests. One that has to wait for it is late,
	// and its lateness counts in its times.
	MaxInFlight int
	// Verify returns the check of the answer to a prompt; may be nil.
	Verify func(prompt string) func(i int, text string) bool
}

// Progress of a run, for display.
type Progress struct {
	Planned int64
	Sent    atomic.Int64
	Done    atomic.Int64
}

// sample is what became of one arrival.
type sample struct {
	kind   int
	late   time.Duration // from the intended to the true start
	answer caller.Answer
	sent   bool
}

// Run sends the planned requests and sums up. It ends early with ctx; requests
// that weren't sent then are counted as such.
func Run(ctx context.Context, d Doer, o Options, p *Progress) *Summary {
	plan := Plan(o)
	p.Planned = int64(len(plan))
	samples := make([]sample, len(plan))
	var open errgroup.Group
	open.SetLimit(max(o.MaxInFlight, 1))
	start := time.Now()
	for i, a := range plan {
		samples[i].kind = a.Kind
		if pause.For(ctx, time.Until(start.Add(a.At))) != nil {
			break
		}
		open.Go(func() error {
			p.Sent.Add(1)
			samples[i] = send(ctx, d, o, a, start.Add(a.At))
			p.Done.Add(1)
			return nil
		})
	}
	_ = open.Wait() // no call returns an error
	return sum(o, samples, time.Since(start))
}

func send(ctx context.Context, d Doer, o Options, a Arrival, intended time.Time) sample {
	r := caller.Chat(o.Model, a.Prompt, a.OutputTokens)
	r.Org = a.Org
	r.Deadline = o.Deadline
	if o.Verify != nil {
		r.Verify = o.Verify(a.Prompt)
	}
	late := time.Since(intended)
	answer, _ := d.Do(ctx, r) // the answer holds the code
	if answer.Complete && answer.Tokens == 0 {
		answer.Complete = false
		answer.Code = code.StreamCut
	}
	return sample{kind: a.Kind, late: late, answer: *answer, sent: true}
}
