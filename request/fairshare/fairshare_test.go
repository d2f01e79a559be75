package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a level that takes capacity from organisations below it, or
// leaves capacity unused.
func TestLevel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		claims  []Claim
		allowed float64
		want    float64
	}{
		{"one flood", []Claim{{1, 1}, {1, 1}, {10, 1}}, 6, 4},
		{"two above", []Claim{{1, 1}, {8, 1}, {10, 1}}, 7, 3},
		{"weights", []Claim{{1, 1}, {20, 3}, {20, 1}}, 9, 2},
		{"several organisations in one claim", []Claim{{3, 3}, {10, 1}}, 8, 5},
		{"all above", []Claim{{4, 1}, {5, 1}}, 2, 1},
	} {
		if got := Level(tc.claims, tc.allowed); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: %g, want %g", tc.name, got, tc.want)
		}
	}
}

// Guards against a ledger that averages over another time than Window, and
// against one whose memory grows with the organisations that it has seen.
func TestAdd(t *testing.T) {
	l, now := NewLedger(), time.Unix(0, 0)
	for i := range 10_000 {
		l.Add(fmt.Sprint("org", i), 1, time.Microsecond, now)
	}
	if len(l.orgs) > maxOrgs {
		t.Errorf("%d organisations", len(l.orgs))
	}
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		l.Add("busy", 1, 20*time.Millisecond, now)
	}
	n := 0
	l.Usage(now, func(org string, usage float64) {
		n++
		if org != "busy" || math.Abs(usage-2) > 0.01 {
			t.Errorf("%s: usage %g, want 2 targets", org, usage)
		}
	})
	if n != 1 {
		t.Errorf("%d organisations after the others were idle", n)
	}
}

// Guards against a level that isn't a number, which no usage would exceed from then
// on: the level is computed after all organisations were idle for hours.
func TestLevelAfterIdleTime(t *testing.T) {
	l, now := NewLedger(), time.Unix(0, 0)
	l.Begin("a", 1, 1, now)
	now = now.Add(time.Second)
	l.End("a", 1, now)
	now = now.Add(3 * time.Hour)
	if l.OverShare("a", 0.5, now) {
		t.Error("an idle organisation is over its share")
	}
	l.Begin("small", 1, 1, now)
	l.Begin("flood", 1, 20, now)
	for range 300 {
		now = now.Add(levelInterval)
		l.OverShare("flood", 0.5, now)
	}
	if !l.OverShare("flood", 0.5, now) || l.OverShare("small", 0.5, now) {
		t.Errorf("level %g", l.level)
	}
}
