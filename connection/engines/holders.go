package engines

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

const (
	// holdersPerPart is the number of engines noted for one prompt part.
	holdersPerPart = 4
	// maxParts bounds the prompt parts whose holders are noted. Each takes 60 bytes.
	maxParts = 16_384
)

// keep notes that an engine keeps a prompt from some time on, and that it holds the
// parts that other prompts may begin with too. Callers hold b.mu.
func (b *Book) keep(hash uint64, e *engine, parts []port.PromptPart, ready time.Time) {
	e.keeps.add(parts, ready)
	for _, part := range shared(parts) {
		list := b.holders[part.ID]
		if list == nil && len(b.holders) >= maxParts {
			b.dropHolders()
		}
		kept := make([]uint64, 0, holdersPerPart)
		kept = append(kept, hash)
		for _, old := range list {
			if old != hash && len(kept) < holdersPerPart {
				kept = append(kept, old)
			}
		}
		b.holders[part.ID] = kept
	}
}

// dropHolders forgets one part, whichever comes first. Callers hold b.mu.
func (b *Book) dropHolders() {
	for id := range b.holders {
		delete(b.holders, id)
		return
	}
}

// Holders returns the hashes of engines that have read the longest of a prompt's
// leading parts that any is known to have read. They may have dropped them since.
func (b *Book) Holders(parts []port.PromptPart) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		if list := b.holders[parts[i].ID]; len(list) > 0 {
			return append([]uint64(nil), list...)
		}
	}
	return nil
}
