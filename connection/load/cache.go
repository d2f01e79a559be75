package load

import "github.com/pomelospool/pomelospool/port"

const (
	maxBlocks   = 1 << 16 // block hashes stored for one engine
	blockTokens = 64      // tokens of one block, as in request/prefix
)

// cacheView is an estimate of one engine's prefix cache, built from its cache
// events.
type cacheView struct {
	seq    int64
	blocks map[uint64]struct{}
}

// apply updates the view by events. Events missing from the sequence may have
// removed blocks from the cache, and requests would be sent to an engine that
// has to compute their prefix again. So a gap in Seq empties the view, as a
// reset does. Later events fill it again.
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
	for _, b := range e.Removed {
		delete(c.blocks, b)
	}
}

// tokens returns the estimated number of leading tokens of prefix that are cached.
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
