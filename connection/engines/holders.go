package engines

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

const (
	// holdersPerPart is the number of engines stored for one prompt part.
	holdersPerPart = 4
	// maxParts bounds the prompt parts whose holders are stored. Each takes 60 bytes.
	maxParts = 16_384
)

// addToCache records that an engine has a prompt in its cache from the time ready
// on, and makes it a holder of the shared parts. Callers hold b.mu.
func (b *Tracker) addToCache(hash uint64, e *engine, parts []port.PromptPart, ready time.Time) {
	e.cache.add(parts, ready)
	for _, part := range shared(parts) {
		list := b.holders[part.ID]
		if list == nil && len(b.holders) >= maxParts {
			b.evictHolders()
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

// evictHolders removes the holders of an arbitrary part. Callers hold b.mu.
func (b *Tracker) evictHolders() {
	for id := range b.holders {
		delete(b.holders, id)
		return
	}
}

// Holders returns the hashes of the engines known to have read the longest prefix
// of parts. They may have evicted it since.
func (b *Tracker) Holders(parts []port.PromptPart) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		if list := b.holders[parts[i].ID]; len(list) > 0 {
			return append([]uint64(nil), list...)
		}
	}
	return nil
}
