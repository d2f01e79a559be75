package roster

import (
	"fmt"
	"testing"
)

// fleetOf returns a fleet of the given size in five availability zones. In each zone the
// first wide daemons have links of 1,000 Mbit/s, the others of 20 Mbit/s.
func fleetOf(size, wide int) []*Member {
	var out []*Member
	for i := range size {
		m := &Member{PeerAddr: fmt.Sprint("addr", i), VM: fmt.Sprintf("vm%05d", i), Zone: fmt.Sprint("z", i%5), LinkMbps: 20}
		if i/5 < wide {
			m.LinkMbps = 1000
		}
		out = append(out, m)
	}
	return out
}

// Guards against numbers of store readers, and of readers per daemon, that grow with the
// fleet, and against daemons that read from each other in a cycle.
func TestTreeIsBoundedAtAnySize(t *testing.T) {
	for _, c := range []struct{ size, wide, depth int }{
		{100, 2, 2}, {300, 2, 2}, {985, 10, 2}, {2000, 20, 3}, {985, 0, 4}, {2000, 0, 5},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			fleet := fleetOf(c.size, c.wide)
			places := make(map[string]Upstream)
			byAddr := make(map[string]*Member)
			readers := make(map[string]int)
			direct := 0
			for _, m := range fleet {
				up := upstreamOf(m, fleet, true)
				places[m.PeerAddr], byAddr[m.PeerAddr] = up, m
				if len(up.Peers) == 0 {
					direct++
					continue
				}
				readers[up.Peers[0]]++
			}
			if direct != 1 {
				t.Errorf("%d daemons read the store", direct)
			}
			for addr, count := range readers {
				// Readers choose one of two heads by hash, and the root also serves other heads.
				if limit := readersOf(byAddr[addr], c.size)*13/10 + headsPerZone*5; count > limit {
					t.Errorf("%d read from %s with a link of %d, want %d", count, addr, byAddr[addr].LinkMbps, limit)
				}
			}
			for addr, up := range places {
				hops := 0
				for up := up; len(up.Peers) > 0; up = places[up.Peers[0]] {
					hops++
					if hops > up.Depth {
						t.Fatalf("%s is %d hops from the store, want %d", addr, hops, up.Depth)
					}
				}
				if up.Depth > c.depth {
					t.Fatalf("depth %d, want %d", up.Depth, c.depth)
				}
				if len(up.Peers) > 1 && up.Peers[0] == up.Peers[1] {
					t.Errorf("%s reads from %v", addr, up.Peers)
				}
			}
		})
	}
}

// Guards against a fleet that reads nothing while only its root can't reach the store, and
// against daemons that all access the store while none can reach it.
func TestTreeSkipsDaemonWithoutStore(t *testing.T) {
	fleet := fleetOf(100, 2)
	var root *Member
	for _, m := range fleet {
		if len(upstreamOf(m, fleet, true).Peers) == 0 {
			root = m
		}
	}
	root.StoreFails = true
	if up := upstreamOf(root, fleet, true); len(up.Peers) == 0 {
		t.Error("it still reads the store")
	}
	for _, all := range []bool{false, true} {
		direct := 0
		for _, m := range fleet {
			m.StoreFails = m.StoreFails || all
		}
		for _, m := range fleet {
			if len(upstreamOf(m, fleet, true).Peers) == 0 {
				direct++
			}
		}
		if direct != 1 {
			t.Errorf("the store fails for all: %v, %d daemons read it", all, direct)
		}
	}
}
