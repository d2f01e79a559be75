package policy

// cache keeps the shared prefixes of the newest prompts, the oldest leaving
// first when memory ends. Processes see it later than it changes, and with gaps.
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

// How much later processes see an entry, and one in how many they never see.
const (
	cacheLag = 1.0
	cacheGap = 16
)

// lookup returns the tokens of the group's prefix that are held.
func (c *cache) lookup(group uint64, now float64) int {
	e, ok := c.entries[group]
	if group == 0 || !ok || e.since > now {
		return 0
	}
	return e.tokens
}

// seen is what processes believe to be held.
func (c *cache) seen(group uint64, now float64) int {
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
