package engines

import (
	"container/list"

	"github.com/pomelospool/pomelospool/port"
)

// prefixes is what an engine is believed to keep of the prompts that it read:
// runs of prompt parts from the begin of a prompt, the least recently used
// given up first. It isn't safe for concurrent use.
type prefixes struct {
	limit  int // tokens
	tokens int
	byRun  map[uint64]*list.Element // of *run
	order  *list.List               // the most recently used first
}

// run is one part after all parts before it.
type run struct {
	key    uint64
	tokens int // of the part alone
}

func newPrefixes(limit int) *prefixes {
	return &prefixes{limit: limit, byRun: make(map[uint64]*list.Element), order: list.New()}
}

// Run is a prompt part together with all parts before it.
type Run struct {
	Key    uint64
	Tokens int // of the part alone
}

// Runs names the runs of a prompt. An engine can use a part that it keeps only
// if it keeps all parts before it, so a part's name depends on these.
func Runs(parts []port.PromptPart) []Run {
	out := make([]Run, 0, len(parts))
	key := uint64(fnvOffset)
	for _, p := range parts {
		key = (key ^ p.ID) * fnvPrime
		out = append(out, Run{Key: key, Tokens: p.Tokens})
	}
	return out
}

// The figures of the FNV-1a hash for 64 bits, used a word at a time: part ids
// are hashes already.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// cached is the number of leading prompt tokens that are kept.
func (p *prefixes) cached(runs []Run) int {
	n := 0
	for _, r := range runs {
		if p.byRun[r.Key] == nil {
			break
		}
		n += r.Tokens
	}
	return n
}

// add notes that a prompt was read.
func (p *prefixes) add(runs []Run) {
	for i := len(runs) - 1; i >= 0; i-- {
		r := runs[i]
		if e := p.byRun[r.Key]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.byRun[r.Key] = p.order.PushFront(&run{key: r.Key, tokens: r.Tokens})
		p.tokens += r.Tokens
	}
	for p.tokens > p.limit && p.order.Len() > 0 {
		e := p.order.Back()
		old := e.Value.(*run)
		p.order.Remove(e)
		delete(p.byRun, old.key)
		p.tokens -= old.tokens
	}
}
