package engines

import (
	"container/list"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// prefixes is what an engine is believed to keep of the prompts that it read,
// or is about to read, part by part, the least recently used given up first. It
// isn't safe for concurrent use.
type prefixes struct {
	limit  int // tokens
	tokens int
	byID   map[uint64]*list.Element // of keptPart
	order  *list.List               // the most recently used first
}

// keptPart is a part that is there from some time on.
type keptPart struct {
	port.PromptPart
	ready time.Time
}

func newPrefixes(limit int) *prefixes {
	return &prefixes{limit: limit, byID: make(map[uint64]*list.Element), order: list.New()}
}

// cached is the number of leading prompt tokens that are kept, and of those of
// them that are there now. An engine can use a part only if it keeps all parts
// before it.
//
// The failure that the second number stops: an engine is asked for a part that
// it only begins to read, has nothing to give, and the asker reads it again: of
// 78 prompts that were to fetch a part, half took 120 ms longer than predicted
// and a quarter 347.
func (p *prefixes) cached(parts []port.PromptPart, now time.Time) (all, ready int) {
	there := true
	for _, part := range parts {
		e := p.byID[part.ID]
		if e == nil {
			break
		}
		all += part.Tokens
		if there = there && !e.Value.(*keptPart).ready.After(now); there {
			ready = all
		}
	}
	return all, ready
}

// has reports whether all parts are kept.
func (p *prefixes) has(parts []port.PromptPart) bool {
	for _, part := range parts {
		if p.byID[part.ID] == nil {
			return false
		}
	}
	return true
}

// add notes that a prompt is read, and there from some time on. Its first parts
// count as the most recently used: they serve the most other prompts.
func (p *prefixes) add(parts []port.PromptPart, ready time.Time) {
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := p.byID[part.ID]; e != nil {
			p.order.MoveToFront(e)
			if k := e.Value.(*keptPart); ready.Before(k.ready) {
				k.ready = ready
			}
			continue
		}
		p.byID[part.ID] = p.order.PushFront(&keptPart{PromptPart: part, ready: ready})
		p.tokens += part.Tokens
	}
	for p.tokens > p.limit && p.order.Len() > 0 {
		e := p.order.Back()
		old := e.Value.(*keptPart)
		p.order.Remove(e)
		delete(p.byID, old.ID)
		p.tokens -= old.Tokens
	}
}

// arrived notes that parts are there sooner than was predicted.
func (p *prefixes) arrived(parts []port.PromptPart, now time.Time) {
	for _, part := range parts {
		if e := p.byID[part.ID]; e != nil {
			if k := e.Value.(*keptPart); now.Before(k.ready) {
				k.ready = now
			}
		}
	}
}
