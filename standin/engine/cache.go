package engine

import (
	"container/list"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// maxEvents bounds the events kept; older ones show as a gap.
const maxEvents = 1024

// cache is the prefix cache: block hashes, the least recently used go first.
type cache struct {
	limit  int
	recent *list.List // of uint64, the newest in front
	at     map[uint64]*list.Element
	events events
}

func newCache(limit int, ev events) *cache {
	return &cache{limit: limit, recent: list.New(), at: make(map[uint64]*list.Element), events: ev}
}

// hit returns how many leading blocks are held, and refreshes them.
func (c *cache) hit(blocks []uint64) int {
	n := 0
	for _, h := range blocks {
		el, ok := c.at[h]
		if !ok {
			break
		}
		c.recent.MoveToFront(el)
		n++
	}
	return n
}

// insert holds the blocks and drops the oldest ones over the limit.
func (c *cache) insert(now time.Time, blocks []uint64) {
	var added, gone []uint64
	for _, h := range blocks {
		if el, ok := c.at[h]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.at[h] = c.recent.PushFront(h)
		added = append(added, h)
	}
	for c.recent.Len() > c.limit {
		h := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.at, h)
		gone = append(gone, h)
	}
	if len(added) > 0 || len(gone) > 0 {
		c.events.add(now, port.CacheEvent{Added: added, Gone: gone})
	}
}

func (c *cache) reset(now time.Time) {
	c.recent.Init()
	clear(c.at)
	c.events.add(now, port.CacheEvent{Reset: true})
}

// events keeps cache events until their lag is over, and loses some.
type events struct {
	engine string
	gap    int // every so many-th is lost
	lag    time.Duration
	seq    int64
	kept   []timedEvent
}

type timedEvent struct {
	at time.Time
	port.CacheEvent
}

func (e *events) add(now time.Time, ev port.CacheEvent) {
	e.seq++
	if e.gap > 0 && e.seq%int64(e.gap) == 0 {
		return
	}
	ev.Engine, ev.Seq = e.engine, e.seq
	e.kept = append(e.kept, timedEvent{now, ev})
	if len(e.kept) > maxEvents {
		e.kept = e.kept[len(e.kept)-maxEvents:]
	}
}

// after returns the events past a sequence number whose lag is over.
func (e *events) after(now time.Time, seq int64) []port.CacheEvent {
	due := now.Add(-e.lag)
	list := []port.CacheEvent{}
	for _, ev := range e.kept {
		if ev.Seq > seq && !ev.at.After(due) {
			list = append(list, ev.CacheEvent)
		}
	}
	return list
}
