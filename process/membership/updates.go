package membership

import (
	"math/bits"
	"sort"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// maxUpdatesPerMessage bounds the member updates piggybacked on one heartbeat. At about 60
// bytes each it keeps a message under 500 bytes.
const maxUpdatesPerMessage = 6

// updateQueue sends each update a limited number of times, so that the size of a heartbeat
// doesn't grow with the number of members.
//
// Updates also expire after a number of messages. When hundreds of daemons start at once,
// each has hundreds of updates to send and would fill its messages with them for many
// minutes, although requests for all members have long delivered them.
type updateQueue struct {
	items    map[string]*queuedUpdate
	messages int // messages filled so far
}

type queuedUpdate struct {
	member        *peerpb.Member
	transmissions int
	queuedAt      int // value of messages when the update was queued
}

func newUpdateQueue() *updateQueue { return &updateQueue{items: make(map[string]*queuedUpdate)} }

// add queues an update and replaces an older one about the same member.
func (q *updateQueue) add(m *peerpb.Member) {
	q.items[m.Id] = &queuedUpdate{member: cloneMember(m), queuedAt: q.messages}
}

// next returns the updates for the next message to a fleet of n members, the least
// transmitted first. An update is removed after about 4*log2(n) transmissions, with which
// gossip reaches all members with high probability.
func (q *updateQueue) next(n int) []*peerpb.Member {
	q.messages++
	limit := 4 * (bits.Len(uint(n)) + 1)
	list := make([]*queuedUpdate, 0, len(q.items))
	for id, it := range q.items {
		if q.messages-it.queuedAt > 2*limit {
			delete(q.items, id)
			continue
		}
		list = append(list, it)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].transmissions != list[j].transmissions {
			return list[i].transmissions < list[j].transmissions
		}
		return list[i].member.Id < list[j].member.Id
	})
	if len(list) > maxUpdatesPerMessage {
		list = list[:maxUpdatesPerMessage]
	}
	out := make([]*peerpb.Member, 0, len(list))
	for _, it := range list {
		out = append(out, it.member)
		it.transmissions++
		if it.transmissions >= limit {
			delete(q.items, it.member.Id)
		}
	}
	return out
}
