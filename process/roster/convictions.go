package roster

import (
	"fmt"
	"net"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Convictions exchanges what daemons know of content that crashes targets. In a
// large fleet the updates go to the aggregators, which relay them: Pending has to
// return updates that came from others, too.
type Convictions interface {
	// Pending returns the updates for the next message.
	Pending() []*peerpb.Conviction
	// Repeated returns all updates that a daemon needs that has just started.
	Repeated() []*peerpb.Conviction
	Incoming(updates []*peerpb.Conviction)
}

// sendConvictions sends pending updates, split into datagrams.
func (r *Roster) sendConvictions(to []net.Addr) {
	if r.o.Convictions != nil && len(to) > 0 {
		r.writeConvictions(r.o.Convictions.Pending(), to...)
	}
}

// repeatConvictions sends a daemon that has just started what it can't know.
func (r *Roster) repeatConvictions(to net.Addr) {
	if r.o.Convictions != nil {
		r.writeConvictions(r.o.Convictions.Repeated(), to)
	}
}

func (r *Roster) writeConvictions(updates []*peerpb.Conviction, to ...net.Addr) {
	for _, part := range splitConvictions(updates) {
		data, err := proto.Marshal(part)
		if err != nil {
			log.WithError(err).Error("roster: can't encode convictions")
			return
		}
		data = append([]byte{kindConvictions}, data...)
		for _, addr := range to {
			r.write(data, addr)
		}
	}
}

// splitConvictions returns messages that fit into a datagram.
func splitConvictions(updates []*peerpb.Conviction) (out []*peerpb.Convictions) {
	size := maxDatagramSize
	for _, u := range updates {
		part := &peerpb.Convictions{Convictions: []*peerpb.Conviction{u}}
		n := proto.Size(part)
		if size+n >= maxDatagramSize {
			out, size = append(out, part), n
			continue
		}
		last := out[len(out)-1]
		last.Convictions, size = append(last.Convictions, u), size+n
	}
	return out
}

func (r *Roster) handleConvictions(data []byte) error {
	if r.o.Convictions == nil {
		return nil
	}
	var m peerpb.Convictions
	if err := proto.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("roster: decode convictions: %w", err)
	}
	r.o.Convictions.Incoming(m.Convictions)
	return nil
}
