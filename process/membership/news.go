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
type newsQueue struct {
	items map[string]*newsItem
}

type newsItem struct {
	m    *peerpb.Member
	sent int
}

func newNewsQueue() *newsQueue { return &newsQueue{items: make(map[string]*newsItem)} }

// add queues a change; an older one about the same member is replaced.
func (q *newsQueue) add(m *peerpb.Member) {
	q.items[m.Id] = &newsItem{m: cloneMember(m)}
}

// take returns the changes for the next message to a fleet of n members,
// the least spread first. A change leaves after 4*log2(n) messages, with
// which gossip reaches all members with high probability.
func (q *newsQueue) take(n int) []*peerpb.Member {
	if len(q.items) == 0 {
		return nil
	}
	list := make([]*newsItem, 0, len(q.items))
	for _, it := range q.items {
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
	limit := 4 * (bits.Len(uint(n)) + 1)
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
