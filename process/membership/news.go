package membership

import (
	"math/bits"
	"sort"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// newsPerMessage bounds the members that ride on one heartbeat. At about 60
// bytes each it keeps a message under 500 bytes.
const newsPerMessage = 6

// newsQueue spreads each change a limited number of times, so that the bytes
// of a heartbeat don't grow with the number of members.
//
// What has not been spread by then leaves after a number of messages too. When
// hundreds of daemons start at once each has hundreds of changes to tell, and
// would fill its messages with them for many minutes; requests for all members
// have long told them.
type newsQueue struct {
	items map[string]*newsItem
	taken int // messages filled so far
}

type newsItem struct {
	m     *peerpb.Member
	sent  int
	since int // taken when the change was queued
}

func newNewsQueue() *newsQueue { return &newsQueue{items: make(map[string]*newsItem)} }

// add queues a change; an older one about the same member is replaced.
func (q *newsQueue) add(m *peerpb.Member) {
	q.items[m.Id] = &newsItem{m: cloneMember(m), since: q.taken}
}

// take returns the changes for the next message to a fleet of n members,
// the least spread first. A change leaves after 4*log2(n) messages, with
// which gossip reaches all members with high probability.
func (q *newsQueue) take(n int) []*peerpb.Member {
	q.taken++
	limit := 4 * (bits.Len(uint(n)) + 1)
	list := make([]*newsItem, 0, len(q.items))
	for id, it := range q.items {
		if q.taken-it.since > 2*limit {
			delete(q.items, id)
			continue
		}
		list = append(list, it)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].sent != list[j].sent {
			return list[i].sent < list[j].sent
		}
		return list[i].m.Id < list[j].m.Id
	})
	if len(list) > newsPerMessage {
		list = list[:newsPerMessage]
	}
	out := make([]*peerpb.Member, 0, len(list))
	for _, it := range list {
		out = append(out, it.m)
		it.sent++
		if it.sent >= limit {
			delete(q.items, it.m.Id)
		}
	}
	return out
}
