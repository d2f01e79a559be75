package engines

import (
	"container/list"

	"github.com/pomelospool/pomelospool/port"
)

// prefixes is what an engine is believed to keep of the prompts that it read,
// part by part, the least recently used given up first. It isn't safe for
// concurrent use.
type prefixes struct {
	limit  int // tokens
	tokens int
	byID   map[uint64]*list.Element // of port.PromptPart
	order  *list.List               // the most recently used first
}

func newPrefixes(limit int) *prefixes {
	return &prefixes{limit: limit, byID: make(map[uint64]*list.Element), order: list.New()}
}

// cached is the number of leading prompt tokens that are kept. An engine can
// use a part only if it keeps all parts before it.
func (p *prefixes) cached(parts []port.PromptPart) int {
	n := 0
	for _, part := range parts {
		if p.byID[part.ID] == nil {
			break
		}
		n += part.Tokens
	}
	return n
}

// has tells whether all parts are kept.
func (p *prefixes) has(parts []port.PromptPart) bool {
	for _, part := range parts {
		if p.byID[part.ID] == nil {
			return false
		}
	}
	return true
}

// add notes that a prompt was read. Its first parts count as the most recently
// used: they serve the most other prompts.
func (p *prefixes) add(parts []port.PromptPart) {
	for i := len(parts) - 1; i >= 0; i-- {
		part := parts[i]
		if e := p.byID[part.ID]; e != nil {
			p.order.MoveToFront(e)
			continue
		}
		p.byID[part.ID] = p.order.PushFront(part)
		p.tokens += part.Tokens
	}
	for p.tokens > p.limit && p.order.Len() > 0 {
		e := p.order.Back()
		old := e.Value.(port.PromptPart)
		p.order.Remove(e)
		delete(p.byID, old.ID)
		p.tokens -= old.Tokens
	}
}
