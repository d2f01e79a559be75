package roster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/summary"
)

// tableRow is a row of the summary that the daemons of a test exchange.
type tableRow struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Value int
}

func (r tableRow) Key() uint64 { return r.ID }

func (r tableRow) Add(o tableRow) tableRow { r.Value += o.Value; return r }

// newTable returns a table in which the daemon counts 1 under a common key and
// under one of its own.
func newTable(vm int) *summary.Table[tableRow] {
	return summary.New(summary.Options[tableRow]{Now: time.Now, Own: func() []tableRow {
		return []tableRow{{ID: 0, Value: 1}, {ID: uint64(vm), Value: 1}}
	}})
}

// counts returns the common count of a daemon's table and its number of keys.
func counts(t *summary.Table[tableRow]) (common, keys int) {
	for _, row := range t.Sum() {
		keys++
		if row.ID == 0 {
			common = row.Value
		}
	}
	return common, keys
}

// summaryTime is the time within which a sum has reached all daemons: an own part,
// the sum of its zone, and that of the fleet, of about a second each.
const summaryTime = 4 * time.Second

// Guards against sums that miss daemons or count them twice, in fleets with and
// without aggregators, and against sums that still include dead daemons.
func TestSummariesReachAllDaemons(t *testing.T) {
	for _, size := range []int{2, 8, 60} {
		withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
			sleep(summaryTime)
			for vm, table := range f.tables {
				if common, keys := counts(table); common != size || keys != size+1 {
					t.Errorf("%d daemons: daemon %d counts %d and %d keys", size, vm+1, common, keys)
				}
			}
			_ = f.all[size-1].Stop()
			synctest.Wait()
			sleep(summary.TTL + summaryTime)
			for vm, table := range f.tables[:size-1] {
				if common, _ := counts(table); common != size-1 {
					t.Errorf("%d daemons, one dead: daemon %d counts %d", size, vm+1, common)
				}
			}
		})
	}
}

// Guards against a partitioned zone that decides by nothing: its daemons go on
// with the sum of the zone.
func TestPartitionedZoneKeepsItsSum(t *testing.T) {
	const size = 60
	withLargeFleet(t, size, 3, func(t *testing.T, f *testFleet) {
		sleep(summaryTime)
		zone := f.all[0].o.Self.Zone
		for _, r := range f.all {
			if r.o.Self.Zone != zone {
				f.net.SetUnreachable(r.o.Self.PeerAddr, true)
			}
		}
		sleep(summary.TTL + summaryTime)
		for vm, r := range f.all {
			if common, _ := counts(f.tables[vm]); r.o.Self.Zone == zone && common != size/3 {
				t.Errorf("daemon %d counts %d, want %d", vm+1, common, size/3)
			}
		}
	})
}
