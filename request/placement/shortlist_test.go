package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
)

// herd is a fleet of engines that read prompts one after the other, and
// deciders whose news of the queues is old.
type herd struct {
	until []time.Duration // when each engine is done with what it has
	news  []time.Duration // the same, as the deciders know it
	ids   []string
	luck  *rand.Rand
	lasts time.Duration
}

const (
	newsEvery = 500 * time.Millisecond
	herdUse   = 0.6 // share of the engines' time that prompts take
)

// wait is how long prompts wait on the mean, chosen by choose.
func (h *herd) wait(choose func(now time.Duration, p Prompt, cands []Candidate) int) time.Duration {
	p := Prompt{Tokens: 8000, Objective: 800 * time.Millisecond}
	read := figures.PrefillTime(p.Tokens, p.Tokens)
	gap := time.Duration(float64(read) / herdUse / float64(len(h.ids)))
	var sum, now, told time.Duration
	n := 0
	for ; now < h.lasts; now += time.Duration(h.luck.ExpFloat64() * float64(gap)) {
		if now >= told {
			copy(h.news, h.until)
			told = now + newsEvery
		}
		p.Seed, p.Draw = h.luck.Uint64(), h.luck.Uint64()
		cands := make([]Candidate, len(h.ids))
		for i, id := range h.ids {
			cands[i] = Candidate{Entry: port.TargetEntry{ID: id}, Pace: 1, Load: engines.Load{Wait: max(h.news[i]-now, 0)}}
		}
		at := choose(now, p, cands)
		sum += max(h.until[at]-now, 0)
		h.until[at] = max(h.until[at], now) + read
		n++
	}
	return sum / time.Duration(n)
}

func newHerd(n int) *herd {
	h := &herd{until: make([]time.Duration, n), news: make([]time.Duration, n), luck: rand.New(rand.NewPCG(7, uint64(n))), lasts: 4 * time.Second}
	for i := range n {
		h.ids = append(h.ids, fmt.Sprint("engine", i))
	}
	return h
}

// Hundreds of daemons hear of the engines' queues half a second late. All send
// their prompts to the engines that were idle then, where these wait for each
// other, and the callers get their first event late though engines are idle.
// With a few queues asked for, a prompt waits less than a quarter of the time
// that it takes to be read, whatever the number of engines.
func TestHerdOnOldNews(t *testing.T) {
	for _, n := range []int{6, 60, 171, 700} {
		read := figures.PrefillTime(8000, 8000)
		old := newHerd(n).wait(func(_ time.Duration, p Prompt, cands []Candidate) int {
			return Prefill(p, cands, nil, nil, figures).At
		})
		h := newHerd(n)
		asked := h.wait(func(now time.Duration, p Prompt, cands []Candidate) int {
			list := Shortlist(p, cands, nil, nil, figures)
			waits := make([]time.Duration, len(list))
			for i := range list {
				waits[i] = max(h.until[list[i].At]-now, 0)
			}
			return Settle(list, cands, waits).At
		})
		t.Logf("%d engines: a prompt that is read in %v waits %v on old news, %v when asked", n, read, old, asked)
		if asked > read/4 {
			t.Errorf("%d engines: a prompt waits %v of %v", n, asked, read)
		}
	}
}

// Each of a hundred daemons sends some prompts a second to 171 engines. Drawn
// from all engines, most prompts wait for a new connection, which is paid for.
// Drawn from those that a daemon has connections to, few do, and prompts wait no
// longer for each other: daemons have connections to different engines.
func TestDrawnEnginesAreOnesWithAConnection(t *testing.T) {
	const daemons, n, idle = 200, 171, 9 * time.Second
	used := make([][n]time.Duration, daemons) // when each daemon used an engine last
	prompts, opened := 0, 0
	h := newHerd(n)
	h.lasts = 20 * time.Second
	wait := h.wait(func(now time.Duration, p Prompt, cands []Candidate) int {
		mine := &used[h.luck.IntN(daemons)]
		for i := range cands {
			cands[i].Warm = mine[i] > 0 && now-mine[i] < idle
		}
		list := Shortlist(p, cands, nil, nil, figures)
		waits := make([]time.Duration, len(list))
		for i := range list {
			waits[i] = max(h.until[list[i].At]-now, 0)
		}
		at := Settle(list, cands, waits).At
		prompts++
		if !cands[at].Warm {
			opened++
		}
		mine[at] = now
		return at
	})
	t.Logf("%d prompts, %d connections opened, a wait of %v", prompts, opened, wait)
	if opened > prompts/3 {
		t.Errorf("%d connections opened for %d prompts", opened, prompts)
	}
	if read := figures.PrefillTime(8000, 8000); wait > read/4 {
		t.Errorf("a prompt waits %v of %v", wait, read)
	}
}

// A holder that doesn't answer must not make its engine look idle or full: what
// is known of it by the sums holds.
func TestSettleKeepsWhatIsKnownWithoutAnAnswer(t *testing.T) {
	cands := []Candidate{cand("a", "", busy(300)), cand("b", "", busy(100)), cand("c", "", busy(0))}
	list := Shortlist(Prompt{Tokens: 8000}, cands, nil, nil, figures)
	waits := make([]time.Duration, len(list))
	for i := range list {
		waits[i] = -1
		if cands[list[i].At].Entry.ID == "c" {
			waits[i] = 400 * time.Millisecond
		}
	}
	got := Settle(list, cands, waits)
	if id := cands[got.At].Entry.ID; id == "c" || got.Wait != cands[got.At].Load.Wait {
		t.Errorf("chose %s with a wait of %v", id, got.Wait)
	}
	if got := Settle(nil, nil, nil); got.At != -1 {
		t.Errorf("chose %d of none", got.At)
	}
}
