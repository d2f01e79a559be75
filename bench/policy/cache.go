package policy

// cache models the prefix cache of an engine. It evicts the oldest prefix first
// if it is full. Entry processes see its content with a delay and incompletely.
type cache struct {
	limit   int
	used    int
	entries map[uint64]entry
	order   []uint64
}

type entry struct {
	tokens int
	since  float64
}

const (
	cacheLag = 1.0 // delay in seconds until processes see an entry
	cacheGap = 16  // processes never see one of this many groups
)

// lookup returns the number of cached tokens of the group's prefix.
func (c *cache) lookup(group uint64, now float64) int {
	e, ok := c.entries[group]
	if group == 0 || !ok || e.since > now {
		return 0
	}
	return e.tokens
}

// visible returns the number of cached tokens of the group's prefix that
// processes know of.
func (c *cache) visible(group uint64, now float64) int {
	if group%cacheGap == 0 {
		return 0
	}
	return c.lookup(group, now-cacheLag)
}

func (c *cache) add(group uint64, tokens int, now float64) {
	if group == 0 || tokens == 0 {
		return
	}
	if c.entries == nil {
		c.entries = map[uint64]entry{}
	}
	if _, ok := c.entries[group]; ok {
		return
	}
	for c.used+tokens > c.limit && len(c.order) > 0 {
		old := c.order[0]
		c.order = c.order[1:]
		c.used -= c.entries[old].tokens
		delete(c.entries, old)
	}
	c.entries[group] = entry{tokens, now}
	c.order = append(c.order, group)
	c.used += tokens
}

func (c *cache) clear() { c.entries, c.order, c.used = nil, nil, 0 }
