package roster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/internal/pause"
)

// originPeers are the peers of a daemon's tracker, which is created before its Roster.
type originPeers struct{ *Roster }

// withOrigins runs a test with a fleet of n daemons in three zones, all of which list
// targets of two software versions.
func withOrigins(t *testing.T, n int, test func(t *testing.T, f *testFleet)) {
	withLargeFleet(t, n, 3, func(t *testing.T, f *testFleet) {
		for _, o := range f.origins {
			o.Observe(map[string][]string{"llm": {"v1", "v2"}})
		}
		test(t, f)
	})
}

func originStream(n int) origin.Stream {
	return origin.Stream{Service: "llm", Organisation: "o", Request: fmt.Sprint("r", n)}
}

// Guards against streams that can't go on after the loss of the daemon at which they
// began, and against records whose cost grows with the fleet.
func TestOriginsOutliveTheirDaemon(t *testing.T) {
	for _, n := range []int{2, 5, 60} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			withOrigins(t, n, func(t *testing.T, f *testFleet) {
				const streams = 40
				before := f.net.Sent()
				for i := range streams {
					f.origins[0].Begin(originStream(i), fmt.Sprint("v", 1+i%2))
				}
				if sent := f.net.Sent() - before; sent > streams*(originKeepers+1) {
					t.Errorf("%d datagrams for %d streams", sent, streams)
				}
				_ = f.all[0].Stop()
				_ = pause.For(context.Background(), 100*time.Millisecond)
				known, wrong := 0, 0
				for i := range streams {
					software, from := f.origins[1+i%(n-1)].Find(t.Context(), originStream(i))
					switch {
					case from == origin.Unknown:
					case software == fmt.Sprint("v", 1+i%2):
						known++
					default:
						wrong++
					}
				}
				if wrong > 0 || known < streams-1 {
					t.Errorf("of %d streams %d are known, %d wrong", streams, known, wrong)
				}
				other := origin.Stream{Service: "llm", Organisation: "another", Request: "r1"}
				if software, from := f.origins[1].Find(t.Context(), other); from != origin.Unknown {
					t.Errorf("another organisation learns of version %q", software)
				}
			})
		})
	}
}

// cutZoneOff sets whether only the daemons of a zone reach each other.
func (f *testFleet) cutZoneOff(zone string, on bool) {
	for i := range f.all {
		if f.zone(i+1) != zone {
			f.net.SetUnreachable(peerAddr(i+1), on)
		}
	}
}

// Guards against streams that can't go on in either part of a fleet whose zones are
// cut off from each other.
func TestOriginsAreKnownOnBothSidesOfACut(t *testing.T) {
	for _, n := range []int{6, 60} {
		t.Run(fmt.Sprint(n, " daemons"), func(t *testing.T) {
			withOrigins(t, n, func(t *testing.T, f *testFleet) {
				const streams = 40
				for i := range streams {
					f.origins[0].Begin(originStream(i), "v2")
				}
				_ = pause.For(context.Background(), 100*time.Millisecond)
				_ = f.all[0].Stop()
				known := make(map[string]int)
				for vm := 1; vm <= 3; vm++ {
					f.cutZoneOff(f.zone(vm+1), true)
					for i := range streams {
						if software, _ := f.origins[vm].Find(t.Context(), originStream(i)); software == "v2" {
							known[f.zone(vm+1)]++
						}
					}
					f.cutZoneOff(f.zone(vm+1), false)
				}
				for vm := 1; vm <= 3; vm++ {
					if zone := f.zone(vm + 1); known[zone] < streams/2 {
						t.Errorf("zone %s knows %d of %d streams", zone, known[zone], streams)
					}
				}
			})
		})
	}
}

// Guards against a daemon that takes its list of targets for complete since nobody objects:
// it is cut off and holds all other daemons for dead, and streams go on at another version.
func TestDaemonThatIsCutOffHasNoAnswers(t *testing.T) {
	for _, cut := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 2 * peerExpiry} {
		t.Run(cut.String(), func(t *testing.T) {
			withFleet(t, 4, func(t *testing.T, f *testFleet) {
				f.net.SetUnreachable(peerAddr(1), true)
				_ = pause.For(context.Background(), cut)
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				defer cancel()
				f.all[0].AskOrigins(ctx, origin.Query{Service: "llm"}, func(origin.Reply) bool {
					t.Error("a reply")
					return true
				})
				if ctx.Err() == nil {
					t.Error("the query ended as in a fleet of one daemon")
				}
			})
		})
	}
}

// Guards against a daemon that waits for the answers of others that have left.
func TestLastDaemonAsksNobody(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		for _, r := range f.all[1:] {
			r.SetState(Leaving)
		}
		_ = pause.For(context.Background(), time.Second)
		for _, r := range f.all[1:] {
			_ = r.Stop()
		}
		_ = pause.For(context.Background(), 2*peerExpiry)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		f.all[0].AskOrigins(ctx, origin.Query{Service: "llm"}, func(origin.Reply) bool { return true })
		if ctx.Err() != nil {
			t.Error("the query waited")
		}
	})
}
