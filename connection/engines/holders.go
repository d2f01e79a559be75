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
// on, and makes it a holder of the shared parts. Callers hold t.mu.
func (t *Tracker) addToCache(hash uint64, e *engine, parts []port.PromptPart, ready time.Time) {
	e.cache.add(parts, ready)
	for _, part := range shared(parts) {
		list := t.holders[part.ID]
		if list == nil && len(t.holders) >= maxParts {
			t.evictHolders()
		}
		kept := make([]uint64, 0, holdersPerPart)
		kept = append(kept, hash)
		for _, old := range list {
			if old != hash && len(kept) < holdersPerPart {
				kept = append(kept, old)
			}
		}
		t.holders[part.ID] = kept
	}
}

// evictHolders removes the holders of an arbitrary part. Callers hold t.mu.
func (t *Tracker) evictHolders() {
	for id := range t.holders {
		delete(t.holders, id)
		return
	}
}

// Holders returns the hashes of the engines that are known to have cached the
// longest prefix of parts. They may have evicted it since.
func (t *Tracker) Holders(parts []port.PromptPart) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		if list := t.holders[parts[i].ID]; len(list) > 0 {
			return append([]uint64(nil), list...)
		}
	}
	return nil
}
