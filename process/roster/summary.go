package roster

import (
	"fmt"
	"net"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
)

// Summary is a table that daemons exchange as sums, see connection/summary.
type Summary interface {
	// Report returns the sum of this daemon's part and of the received parts
	// whose names include accepts, in pieces of at most about maxBytes. It
	// returns nil if there is nothing to send.
	Report(include func(name string) bool, maxBytes int) ([][]byte, error)
	// Merge stores a piece of the part of a daemon or an availability zone.
	Merge(name string, piece, pieces int, data []byte) error
	// MergeFleet stores a piece of the sum of the whole fleet.
	MergeFleet(piece, pieces int, data []byte) error
}

// Topics of summaries. Earlier builds send 3, which isn't received any more.
const (
	TopicShares = 1 // use of engines by organisation
	TopicSpeeds = 2 // speed by engine
)

// summaryScope states what a summary message is the sum of.
type summaryScope uint8

const (
	scopeDaemon summaryScope = iota // the sender's own part
	scopeZone                       // the sender's availability zone
	scopeFleet                      // all daemons
)

// summaryMessage is one piece of a summary. A daemon of an earlier version drops
// its datagram, whose kind it doesn't know.
type summaryMessage struct {
	_      struct{} `cbor:",toarray"`
	Topic  uint8
	Scope  summaryScope
	From   string // the daemon's peer address, or the availability zone
	Piece  int
	Pieces int
	Data   []byte
}

const (
	// heartbeatsPerSummary and digestsPerSummary are the numbers of heartbeats
	// and digests of which one is followed by summaries: one per second.
	heartbeatsPerSummary = 4
	digestsPerSummary    = 2
	// summaryPieceSize is the size of a piece. The remaining fields of the
	// message take under 100 bytes.
	summaryPieceSize = maxDatagramSize - 100
)

// sendSummaries sends all summaries that have entries to the given daemons.
func (r *Roster) sendSummaries(to []net.Addr, scope summaryScope, from string, include func(name string) bool) {
	if len(to) == 0 {
		return
	}
	for topic, s := range r.o.Summaries {
		pieces, err := s.Report(include, summaryPieceSize)
		if err != nil {
			log.WithError(err).WithField("topic", topic).Error("roster: can't encode summary")
			continue
		}
		for i, data := range pieces {
			m := summaryMessage{Topic: topic, Scope: scope, From: from, Piece: i, Pieces: len(pieces), Data: data}
			for _, addr := range to {
				r.sendMessage(kindSummary, &m, addr)
			}
		}
	}
}

// sendOwnSummaries sends this daemon's own part.
func (r *Roster) sendOwnSummaries(to []net.Addr) {
	r.sendSummaries(to, scopeDaemon, r.o.Self.PeerAddr, func(string) bool { return false })
}

// sendAggregatedSummaries sends the sum of the zone to other zones, and the sum of
// the fleet to the zone's daemons that choose engines.
func (r *Roster) sendAggregatedSummaries(s *round) {
	r.sendSummaries(addrsOf(s.others), scopeZone, r.o.Self.Zone, func(name string) bool { return s.local[name] })
	r.sendSummaries(addrsOf(s.members), scopeFleet, r.o.Self.Zone, func(string) bool { return true })
}

// zonePrefix distinguishes the names of zones from those of daemons.
const zonePrefix = "zone "

// handleSummary stores a received piece.
func (r *Roster) handleSummary(data []byte) error {
	var m summaryMessage
	if err := cbor.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("roster: decode summary: %w", err)
	}
	s := r.o.Summaries[m.Topic]
	if s == nil {
		return nil
	}
	r.mu.Lock()
	small, aggregates := r.small(), r.agg.on
	r.mu.Unlock()
	switch {
	case m.Scope == scopeFleet && !small:
		return s.MergeFleet(m.Piece, m.Pieces, m.Data)
	case m.Scope == scopeZone && aggregates && m.From != r.o.Self.Zone:
		return s.Merge(zonePrefix+m.From, m.Piece, m.Pieces, m.Data)
	case m.Scope == scopeDaemon && (small || aggregates) && m.From != r.o.Self.PeerAddr:
		return s.Merge(m.From, m.Piece, m.Pieces, m.Data)
	}
	return nil
}
