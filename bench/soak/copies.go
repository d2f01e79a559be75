package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// The variants of RepeatAnswers.
const (
	repeatRejections = iota // before the answer to the next request of the connection
	repeatUnnamed           // the same without the request id
	repeatEverything        // all answers, twice, before the answer to the request after the next one
	repeatNothing           // only reject
	repeatVariants
)

// shedShare is the share of requests that targets reject during RepeatAnswers. Some come
// back to the target that rejected them.
const shedShare = 0.3

// copiesOf returns the answers that targets repeat.
func copiesOf(variant int) *standin.Copies {
	rejection := func(status int) bool { return status == http.StatusServiceUnavailable }
	switch variant {
	case repeatRejections:
		return &standin.Copies{Of: rejection}
	case repeatUnnamed:
		return &standin.Copies{Of: rejection, Unnamed: true}
	case repeatEverything:
		return &standin.Copies{Times: 2, After: 2}
	}
	return nil
}

// shedder returns a function that selects a share of the requests at random.
func shedder(seed uint64, share float64) func(int) bool {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 6))
	return func(int) bool {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64() < share
	}
}

// copyPlan returns an event in which targets reject and repeat answers.
func copyPlan(seed uint64, s Size) Event {
	r := rand.New(rand.NewPCG(seed, 7))
	at := randomDuration(r, s.Length/2)
	return Event{At: at, For: s.Length - quietPeriod - at, Kind: RepeatAnswers, How: r.IntN(repeatVariants)}
}

const (
	// minCopyServedShare is the share of the requests served without copies that are served
	// with them.
	minCopyServedShare = 0.95
	// maxExtraConnections is the number of further connections for each copy, which makes
	// its own one unusable, and for each connection without copies.
	maxExtraConnections = 1.2
)

// compareServed returns violations if targets that repeat answers have fewer requests
// served, or need more connections, than the same targets without copies.
func compareServed(without, with Totals) (faults []string) {
	share := func(t Totals) float64 { return float64(t.Good) / float64(max(t.Attempts-t.Left, 1)) }
	if a, b := share(without), share(with); b < minCopyServedShare*a {
		faults = append(faults, fmt.Sprintf("%.3f of the requests served, %.3f without copies", b, a))
	}
	allowed := maxExtraConnections * float64(without.Connections+with.Copies)
	if float64(with.Connections) > allowed {
		faults = append(faults, fmt.Sprintf("%d connections to targets, %.0f allowed for %d copies", with.Connections, allowed, with.Copies))
	}
	return faults
}
