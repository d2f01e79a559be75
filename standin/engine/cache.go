package engine

import (
	"container/list"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// maxEvents bounds the retained events. Readers see a gap where older ones were
// dropped.
const maxEvents = 1024

// cache is the prefix cache, an LRU cache of block hashes.
type cache struct {
	limit    int
	lru      *list.List // of uint64, the most recently used first
	elements map[uint64]*list.Element
	events   eventLog
}

func newCache(limit int, ev eventLog) *cache {
	return &cache{limit: limit, lru: list.New(), elements: make(map[uint64]*list.Element), events: ev}
}

// matchPrefix returns how many of the leading blocks are cached, and marks them
// as recently used.
func (c *cache) matchPrefix(blocks []uint64) int {
	n := 0
	for _, h := range blocks {
		el, ok := c.elements[h]
		if !ok {
			break
		}
		c.lru.MoveToFront(el)
		n++
	}
	return n
}

// insert adds the blocks and evicts the least recently used ones over the
// limit.
func (c *cache) insert(now time.Time, blocks []uint64) {
	var added, evicted []uint64
	for _, h := range blocks {
		if el, ok := c.elements[h]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.elements[h] = c.lru.PushFront(h)
		added = append(added, h)
	}
	for c.lru.Len() > c.limit {
		h := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.elements, h)
		evicted = append(evicted, h)
	}
	if len(added) > 0 || len(evicted) > 0 {
		c.events.add(now, port.CacheEvent{Added: added, Removed: evicted})
	}
}

func (c *cache) reset(now time.Time) {
	c.lru.Init()
	clear(c.elements)
	c.events.add(now, port.CacheEvent{Reset: true})
}

// eventLog retains cache events and delays them by the lag. It can drop some to
// produce gaps in the sequence numbers.
type eventLog struct {
	engine    string
	dropEvery int // every n-th event is dropped; 0 drops none
	lag       time.Duration
	seq       int64
	events    []timedEvent
}

type timedEvent struct {
	at time.Time
	port.CacheEvent
}

func (e *eventLog) add(now time.Time, ev port.CacheEvent) {
	e.seq++
	if e.dropEvery > 0 && e.seq%int64(e.dropEvery) == 0 {
		return
	}
	ev.Engine, ev.Seq = e.engine, e.seq
	e.events = append(e.events, timedEvent{now, ev})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

// after returns the events with a sequence number above seq whose lag has
// passed.
func (e *eventLog) after(now time.Time, seq int64) []port.CacheEvent {
	due := now.Add(-e.lag)
	list := []port.CacheEvent{}
	for _, ev := range e.events {
		if ev.Seq > seq && !ev.at.After(due) {
			list = append(list, ev.CacheEvent)
		}
	}
	return list
}
