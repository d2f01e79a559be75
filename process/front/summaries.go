package front

import "github.com/pomelospool/pomelospool/process/roster"

// summaries returns the tables that daemons exchange, by topic.
func (d *Daemon) summaries() map[uint8]roster.Summary {
	tables := make(map[uint8]roster.Summary)
	if d.shares != nil {
		tables[roster.TopicShares] = d.shares.Summary()
	}
	if d.factors != nil {
		tables[roster.TopicSpeeds] = d.factors.Table()
	}
	return tables
}
