package load

import "github.com/pomelospool/pomelospool/port"

const (
	maxBlocks   = 1 << 16 // hashes kept for one engine
	blockTokens = 64      // tokens under one hash, as in request/prefix
)

// cacheView is what is believed of one engine's prefix cache.
type cacheView struct {
	seq    int64
	blocks map[uint64]struct{}
}

// apply takes events in. A gap in Seq may hide that blocks left the cache:
// requests would be sent to an engine that has to compute their prefix anew.
// So a gap, like a reset, empties the view; it fills again with later events.
func (c *cacheView) apply(events []port.CacheEvent) {
	for _, e := range events {
		if e.Seq <= c.seq {
			continue
		}
		if e.Reset || e.Seq != c.seq+1 {
			c.blocks = nil
		}
		c.seq = e.Seq
		c.change(e)
	}
}

func (c *cacheView) change(e port.CacheEvent) {
	if c.blocks == nil {
		c.blocks = make(map[uint64]struct{})
	}
	for _, b := range e.Added {
		if len(c.blocks) >= maxBlocks {
			break
		}
		c.blocks[b] = struct{}{}
	}
	for _, b := range e.Gone {
		delete(c.blocks, b)
	}
}

// tokens returns how many leading tokens of prefix are believed cached.
func (c *cacheView) tokens(prefix []uint64) int {
	n := 0
	for _, b := range prefix {
		if _, ok := c.blocks[b]; !ok {
			break
		}
		n++
	}
	return n * blockTokens
}
