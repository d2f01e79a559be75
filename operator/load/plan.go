// Package load is the load tool: requests arrive at times that were fixed
// beforehand (an open loop), whether or not earlier ones are answered, and
// every time is measured from the intended arrival. A system that stalls can
// therefore not hide the requests that would have come meanwhile (coordinated
// omission).
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
	Share        float64 `json:"share"`  // weight against the other kinds
	PromptTokens int     `json:"prompt"` // mean tokens of the prompt
	OutputTokens int     `json:"output"` // mean tokens of the answer
}

// DefaultMix has many short questions and some long threads.
const DefaultMix = "question:0.7:100:60,thread:0.2:1500:200,draft:0.1:300:500"

// ParseMix reads NAME:SHARE:PROMPT:OUTPUT, several separated by commas.
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
			return nil, fmt.Errorf("mix %q: want a share above 0, and whole tokens from 1", part)
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
	OutputTokens int // tokens to ask for
	Org          string
}

const (
	bytesPerToken = 4 // as daemons estimate
	spread        = 2 // lengths lie between 0 and this many times the mean
	// sharedPrefix is how many threads of a kind there are; requests of one
	// thread begin with the same text, as growing conversations do.
	sharedPrefix = 8
)

// Plan fixes all arrivals: exponential gaps at a mean rate a second, lengths
// spread evenly around the mean of their kind. The same seed gives the same
// plan.
func Plan(o Options) []Arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var plan []Arrival
	for at := gap(rng, o.Rate); at < o.Duration; at += gap(rng, o.Rate) {
		i := pick(rng, o.Mix)
		k := o.Mix[i]
		plan = append(plan, Arrival{
			At:           at,
			Kind:         i,
			Prompt:       prompt(rng, k, len(plan)),
			OutputTokens: around(rng, k.OutputTokens),
			Org:          fmt.Sprintf("org-%d", rng.IntN(max(o.Orgs, 1))),
		})
	}
	return plan
}

func gap(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func pick(rng *rand.Rand, mix []Kind) int {
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

func around(rng *rand.Rand, mean int) int { return 1 + rng.IntN(spread*mean-1) }

// prompt makes a text of its own for request n: half of it is shared with the
// other requests of its thread.
func prompt(rng *rand.Rand, k Kind, n int) string {
	size := around(rng, k.PromptTokens) * bytesPerToken
	thread := rng.IntN(sharedPrefix)
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
