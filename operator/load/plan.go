// Package load is an open-loop load generator. Requests are sent at planned
// times, whether or not earlier ones are answered, and times are measured from
// the planned arrival. This avoids coordinated omission, where a stalled system
// hides the delay of the requests that would have arrived during the stall.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Kind is one kind of request of a mix.
type Kind struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share"`  // weight relative to the other kinds
	PromptTokens int     `json:"prompt"` // mean tokens of the prompt
	OutputTokens int     `json:"output"` // mean tokens of the answer
}

// DefaultMix consists of many short questions and some long threads and drafts.
const DefaultMix = "question:0.7:100:60,thread:0.2:1500:200,draft:0.1:300:500"

// ParseMix parses a comma-separated list of NAME:SHARE:PROMPT:OUTPUT.
func ParseMix(s string) ([]Kind, error) {
	var mix []Kind
	for _, part := range strings.Split(s, ",") {
		f := strings.Split(part, ":")
		if len(f) != 4 {
			return nil, fmt.Errorf("mix %q: want NAME:SHARE:PROMPT:OUTPUT", part)
		}
		share, err1 := strconv.ParseFloat(f[1], 64)
		prompt, err2 := strconv.Atoi(f[2])
		output, err3 := strconv.Atoi(f[3])
		if err1 != nil || err2 != nil || err3 != nil || !(share > 0) || prompt < 1 || output < 1 {
			return nil, fmt.Errorf("mix %q: want a positive SHARE, and PROMPT and OUTPUT as integers of at least 1", part)
		}
		mix = append(mix, Kind{f[0], share, prompt, output})
	}
	return mix, nil
}

// Arrival is one planned request.
type Arrival struct {
	At           time.Duration // since the start of the run
	Kind         int           // index in the mix
	Prompt       string
	OutputTokens int // maximum tokens to request
	Org          string
}

const (
	bytesPerToken   = 4 // the ratio that daemons assume
	maxLengthFactor = 2 // lengths are below this many times the mean
	// threadsPerKind is the number of threads of each kind. Requests of one
	// thread share a prefix, as the requests of a growing conversation do.
	threadsPerKind = 8
)

// Plan returns all arrivals of a run. Interarrival times are exponentially
// distributed, and lengths are uniformly distributed around the mean of their
// kind. The same seed gives the same plan.
func Plan(o Options) []Arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var plan []Arrival
	for at := interarrivalTime(rng, o.Rate); at < o.Duration; at += interarrivalTime(rng, o.Rate) {
		i := pickKind(rng, o.Mix)
		k := o.Mix[i]
		plan = append(plan, Arrival{
			At:           at,
			Kind:         i,
			Prompt:       makePrompt(rng, k, len(plan)),
			OutputTokens: randomLength(rng, k.OutputTokens),
			Org:          fmt.Sprintf("org-%d", rng.IntN(max(o.Orgs, 1))),
		})
	}
	return plan
}

func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func pickKind(rng *rand.Rand, mix []Kind) int {
	total := 0.0
	for _, k := range mix {
		total += k.Share
	}
	x := rng.Float64() * total
	for i, k := range mix {
		if x < k.Share {
			return i
		}
		x -= k.Share
	}
	return len(mix) - 1
}

func randomLength(rng *rand.Rand, mean int) int { return 1 + rng.IntN(maxLengthFactor*mean-1) }

// makePrompt returns a unique prompt for request n. Its first half is shared with
// the other requests of its thread.
func makePrompt(rng *rand.Rand, k Kind, n int) string {
	size := randomLength(rng, k.PromptTokens) * bytesPerToken
	thread := rng.IntN(threadsPerKind)
	var b strings.Builder
	for i := 0; b.Len() < size/2; i++ {
		fmt.Fprintf(&b, "%s %d %d. ", k.Name, thread, i)
	}
	fmt.Fprintf(&b, "request %d", n)
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, " %d.%d", n, i)
	}
	return b.String()
}
