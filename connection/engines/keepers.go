package engines

import "github.com/pomelospool/pomelospool/port"

const (
	// keepersPerPart is the number of engines noted for one prompt part.
	keepersPerPart = 4
	// maxParts bounds the prompt parts whose keepers are noted. Each takes 60 bytes.
	maxParts = 16_384
)

// noteKeeper notes that an engine keeps the parts that other prompts may begin
// with too. Callers hold b.mu.
func (b *Book) noteKeeper(hash uint64, parts []port.PromptPart) {
	for _, part := range shared(parts) {
		list := b.keepers[part.ID]
		if list == nil && len(b.keepers) >= maxParts {
			b.dropKeepers()
		}
		kept := make([]uint64, 0, keepersPerPart)
		kept = append(kept, hash)
		for _, old := range list {
			if old != hash && len(kept) < keepersPerPart {
				kept = append(kept, old)
			}
		}
		b.keepers[part.ID] = kept
	}
}

// dropKeepers forgets one part, whichever comes first. Callers hold b.mu.
func (b *Book) dropKeepers() {
	for id := range b.keepers {
		delete(b.keepers, id)
		return
	}
}

// Keepers returns the hashes of engines that have read the longest of a prompt's
// leading parts that any is known to have read. They may have dropped them since.
func (b *Book) Keepers(parts []port.PromptPart) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		if list := b.keepers[parts[i].ID]; len(list) > 0 {
			return append([]uint64(nil), list...)
		}
	}
	return nil
}
