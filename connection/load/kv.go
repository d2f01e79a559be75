package load

import (
	"context"
	"fmt"
)

// Move transfers the KV cache of prefix between two watched engines, by name.
func (w *Watcher) Move(ctx context.Context, from, to string, prefix []uint64) error {
	src, dst := w.engineByName(from), w.engineByName(to)
	if src == nil || dst == nil {
		return fmt.Errorf("load: move cache from %s to %s: not watched", from, to)
	}
	kv, err := src.client.ExportKV(ctx, prefix)
	if err != nil {
		return fmt.Errorf("load: export cache from %s: %w", from, err)
	}
	if err := dst.client.ImportKV(ctx, kv); err != nil {
		return fmt.Errorf("load: import cache to %s: %w", to, err)
	}
	return nil
}

func (w *Watcher) engineByName(name string) *engine {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for _, e := range w.watched {
		if e.name == name {
			return e
		}
	}
	return nil
}
