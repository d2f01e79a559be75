package policy

import (
	"math"
	"reflect"
	"testing"

	"github.com/pomelospool/pomelospool/port"
)

// testLength is the length of the traces in tests, which keeps CI short. The
// tables in docs/design use traces of full length.
const testLength = 400

// TestRegression checks lower limits of the policy's goodput. The limits are
// ratios within one run, so they don't depend on the machine. They are slightly
// below what the policy reaches with these seeds.
func TestRegression(t *testing.T) {
	bounds := map[string]struct {
		share  float64 // share of the upper bound
		better float64 // ratio to the best baseline
	}{
		"day":         {0.91, 1.04},
		"swings":      {0.90, 1.05},
		"steps":       {0.90, 1.10},
		"noise":       {0.91, 1.08},
		"oscillation": {0.90, 1.06},
		"churn":       {0.91, 1.04},
	}
	seeds := []uint64{11, 12, 13}
	for _, deployment := range []string{"jadranski", "halen"} {
		d, err := NewDeployment(deployment)
		if err != nil {
			t.Fatal(err)
		}
		changes, threshold := 0, 0
		for _, name := range Traces {
			m := DefaultModel()
			sums, each, err := RunSeeds(name, seeds, d, &m, testLength, 2)
			if err != nil {
				t.Fatal(err)
			}
			checkCounts(t, each)
			us := Find(sums, Pomelospool)
			best := max(Find(sums, LeastLoaded).Goodput, Find(sums, RoundRobin).Goodput, Find(sums, Threshold).Goodput)
			t.Logf("%s %s: %.3f of the bound, %.3f of the best baseline, %d changes", deployment, name, us.Share, us.Goodput/best, us.Changes)
			if b := bounds[name]; us.Share < b.share || us.Goodput < best*b.better {
				t.Errorf("%s %s: %.3f of the bound (at least %v), %.3f of the best baseline (at least %v)",
					deployment, name, us.Share, b.share, us.Goodput/best, b.better)
			}
			changes += us.Changes
			threshold += Find(sums, Threshold).Changes
		}
		maxRatio := map[string]float64{"jadranski": maxChangeRatio, "halen": maxChangeRatioHalen}[deployment]
		if float64(changes) > maxRatio*float64(threshold) {
			t.Errorf("%s: %d changes, threshold rule %d", deployment, changes, threshold)
		}
	}
}

// checkCounts checks that each request of a run is counted once and that the
// goodput doesn't exceed the bound.
func checkCounts(t *testing.T, each [][]Result) {
	t.Helper()
	for _, results := range each {
		for _, r := range results {
			ends := r.OnTime + r.Refused + r.LateFirstToken + r.LateBetweenTokens + r.LateAnswer + r.Lost
			if ends != r.Offered {
				t.Errorf("%s, %s, seed %d: %d requests, %d ends", r.System, r.Trace, r.Seed, r.Offered, ends)
			}
			if r.Goodput > r.Bound {
				t.Errorf("%s, %s, seed %d: goodput %.3f above the bound %.3f", r.System, r.Trace, r.Seed, r.Goodput, r.Bound)
			}
		}
	}
}

func TestSameSeedSameResult(t *testing.T) {
	d, _ := NewDeployment("jadranski")
	m := DefaultModel()
	a, err := Run("churn", 3, d, &m, 120)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := Run("churn", 3, d, &m, 120)
	if !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
	if _, err := Run("unknown", 3, d, &m, 120); err == nil {
		t.Error("unknown trace accepted")
	}
}

// TestEngineTimes compares the times of single requests with values that are
// computed by hand from the model.
func TestEngineTimes(t *testing.T) {
	m := DefaultModel()
	one := func(role port.Role, prompt, out int) (first, end float64) {
		e := &engine{m: &m, role: role, speed: 1}
		j := &job{arrival: arrival{prompt: prompt, output: out}, prompt: prompt, remaining: out, decodeAt: e}
		e.submit(j, 0)
		e.advance(100, func(j *job, at float64) { first, end = j.firstTokenAt, at }, nil)
		return first, end
	}
	step := m.StepBase + m.StepPerStream
	for _, c := range []struct {
		prompt, out int
		first       float64
	}{
		{2500, 1, 0.018 + 0.1},
		{2500, 101, 0.018 + 0.1},
		{8192, 11, 2 * (0.018 + 4096.0/25000)},
	} {
		first, end := one(port.RoleMixed, c.prompt, c.out)
		want := c.first + float64(c.out-1)*step
		if math.Abs(first-c.first) > 1e-9 || math.Abs(end-want) > 1e-9 {
			t.Errorf("%+v: first %v, end %v, want end %v", c, first, end, want)
		}
	}
}

// TestChangeCutsNothing checks that an engine changes its role only after its
// running streams have ended.
func TestChangeCutsNothing(t *testing.T) {
	m := DefaultModel()
	e := &engine{m: &m, role: port.RoleDecode, speed: 1}
	j := &job{arrival: arrival{prompt: 100, output: 200}, prompt: 100, remaining: 200, decodeAt: e}
	ended := 0.0
	done := func(_ *job, at float64) { ended = at }
	e.submit(j, 0)
	e.advance(1, done, nil)
	e.nextRole = port.RolePrefill
	e.advance(2, done, nil)
	if e.role != port.RoleDecode {
		t.Fatal("changed with a stream running")
	}
	e.advance(60, done, nil)
	if ended == 0 || e.role != port.RolePrefill || e.downUntil < ended+m.ChangeTime {
		t.Errorf("ended %v, role %s, down until %v", ended, e.role, e.downUntil)
	}
}
