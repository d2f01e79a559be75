package load

import (
	"context"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
)

// stallingDoer answers within 1 ms, except that it stalls from 2 s to 4 s.
type stallingDoer struct{ start time.Time }

func (s *stallingDoer) Do(_ context.Context, r caller.Request) (*caller.Answer, error) {
	begin := time.Now()
	if at := begin.Sub(s.start); at >= 2*time.Second && at < 4*time.Second {
		advance(4*time.Second - at)
	}
	advance(time.Millisecond)
	complete := r.Verify == nil || r.Verify(0, "x")
	a := &caller.Answer{Attempts: 1, Tokens: 1, Complete: complete, Total: time.Since(begin), TimeToFirstToken: time.Since(begin)}
	if !complete {
		a.Code = code.AnswerMismatch
		a.Faults.Wrong = 1
	}
	return a, nil
}

func testOptions(inFlight int) Options {
	mix, err := ParseMix(DefaultMix)
	if err != nil {
		panic(err)
	}
	return Options{Model: "m", Rate: 100, Duration: 10 * time.Second, Seed: 7, Mix: mix, Orgs: 3, Deadline: time.Minute, MaxInFlight: inFlight}
}

// A target stalls for two of ten seconds. A client that waits for each answer
// sends nothing during the stall, and sees one slow request in a thousand. In
// reality at least one request in ten would wait, for up to two seconds. Times
// measured from the planned arrival must show this whatever the limit of open
// requests is.
func TestCoordinatedOmissionIsCorrected(t *testing.T) {
	for _, inFlight := range []int{1, 1000} {
		synctest.Test(t, func(t *testing.T) {
			s := Run(t.Context(), &stallingDoer{time.Now()}, testOptions(inFlight), new(Progress))
			if !s.Passed() || s.Complete != s.Planned || s.Planned < 900 || s.Planned > 1100 {
				t.Fatalf("%d planned, %d complete", s.Planned, s.Complete)
			}
			if s.TimeToCompletion.P90 < 500*time.Millisecond || s.TimeToCompletion.Max < 1900*time.Millisecond {
				t.Errorf("in flight %d: p90 %v, max %v: the stall is hidden", inFlight, s.TimeToCompletion.P90, s.TimeToCompletion.Max)
			}
			if inFlight == 1 && s.Unadjusted.P99 > 10*time.Millisecond {
				t.Errorf("p99 from the actual start is %v; the test proves nothing", s.Unadjusted.P99)
			}
		})
	}
}

func TestPlanIsDeterministic(t *testing.T) {
	o := testOptions(1)
	a, b := Plan(o), Plan(o)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed gives different plans")
	}
	o.Seed++
	if reflect.DeepEqual(a, Plan(o)) {
		t.Error("another seed gives the same plan")
	}
	kinds := make([]int, len(o.Mix))
	prompts := make(map[string]bool)
	for _, x := range a {
		kinds[x.Kind]++
		prompts[x.Prompt] = true
	}
	if len(prompts) != len(a) {
		t.Errorf("%d prompts for %d requests", len(prompts), len(a))
	}
	for i, k := range o.Mix {
		share := float64(kinds[i]) / float64(len(a))
		if share < 0.8*k.Share || share > 1.2*k.Share {
			t.Errorf("%s: share %v, want %v", k.Name, share, k.Share)
		}
	}
}

func TestWrongAnswersAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions(1000)
		o.Verify = func(p string) func(int, string) bool {
			return func(int, string) bool { return !strings.HasPrefix(p, "thread") }
		}
		s := Run(t.Context(), &stallingDoer{time.Now()}, o, new(Progress))
		if s.Passed() || s.Failed == 0 || s.Failed != s.Faults.Wrong || s.Complete+s.Failed != s.Planned {
			t.Errorf("%d failed, %d wrong of %d", s.Failed, s.Faults.Wrong, s.Planned)
		}
	})
}

func TestParseMix(t *testing.T) {
	for _, bad := range []string{"", "a:1:2", "a:0:1:1", "a:NaN:1:1", "a:1:0:1", "a:1:1:x"} {
		if mix, err := ParseMix(bad); err == nil {
			t.Errorf("%q gives %v", bad, mix)
		}
	}
}

// advance advances the virtual clock of the synctest bubble by d.
func advance(d time.Duration) { <-time.After(d) }
