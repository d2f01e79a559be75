package dispatch

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/request/balance"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/version/route"
)

// oldReports represents a large fleet of equal daemons.
type oldReports struct {
	delay   time.Duration
	daemons int
}

func (r oldReports) ReportDelay() time.Duration { return r.delay }

func (r oldReports) RequestShare() balance.Share {
	return balance.Share{From: 0, To: 1 / float64(r.daemons)}
}

// Guards against unreported work that includes this daemon's own, which it
// knows at once, or that is assumed where reports are fresh or the part is off.
func TestUnreportedWorkIsThatOfOthers(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.runner.opts.Demand.Observe("llm", demand.Request{Prefill: time.Second})
		h.runner.opts.Demand.Merge("peer", []demand.Update{{Service: engines.Hash("llm"), Prefill: 90}})
		h.runner.opts.Engines.Merge("peer", nil, nil)
		time.Sleep(150 * time.Millisecond)
		for delay, want := range map[time.Duration]time.Duration{0: 0, 250 * time.Millisecond: 36 * time.Second} {
			h.runner.opts.Reports = oldReports{delay, 10}
			if got := h.runner.Unreported("llm").Prefill; (got - want).Abs() > time.Millisecond {
				t.Errorf("delay %v: %v unreported, want %v", delay, got, want)
			}
			if p := h.runner.newExecution(h.newCall(route.Stream, 1, time.Second)).prompt(); p.Unreported != h.runner.Unreported("llm") {
				t.Errorf("delay %v: the prompt has %v", delay, p.Unreported)
			}
		}
		h.runner.opts.Reports = nil
		if got := h.runner.Unreported("llm"); got != (placement.Unreported{}) {
			t.Errorf("unreported %v with the part off", got)
		}
	})
}

// Guards against work that counts as unreported although it is done before the
// reports arrive: streams and calls that are much shorter than the reports are old.
func TestShortWorkIsNotUnreported(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		r := h.runner
		r.opts.Reports = oldReports{time.Second, 10}
		r.opts.Engines.Merge("peer", nil, nil)
		r.opts.Demand.Merge("peer", []demand.Update{{Service: engines.Hash("llm"), Prefill: 30, Streams: 60}})
		r.opts.Speed.Merge([]speed.Update{{Service: engines.Hash("llm"), PerToken: 20e3, SlotTimeUs: 100_000, Prompts: 1000}})
		r.promptStats("llm").Record(1000, 50*time.Millisecond)
		if u := r.Unreported("llm"); u.Streams != 60 || u.Prefill != sojournFactor*30*50*time.Millisecond {
			t.Errorf("%v", u)
		}
		for range 100 {
			r.plainRate("app").add(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		r.plainServiceTimes.observe("app", 20*time.Millisecond)
		if got := r.UnreportedPlain("app"); got < 15 || got > 19 {
			t.Errorf("%v plain calls of some 900 a second and 20 ms each", got)
		}
	})
}

// Guards against engines of silent queue owners that look idle, and against a
// choice among a few of them by their old waits if no owner replies.
func TestUnknownWaitsAreAssumed(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		x := h.runner.newExecution(h.newCall(route.Stream, 1, time.Second))
		cands := make([]placement.Candidate, 3)
		list := []placement.Choice{{Index: 0}, {Index: 1}, {Index: 2}}
		for _, tc := range []struct {
			reports Reports
			waits   []time.Duration
			want    time.Duration // for the first engine
			ok      bool
		}{
			{nil, nil, 0, false}, {nil, []time.Duration{-1, -1, -1}, -1, true},
			{oldReports{1, 70}, []time.Duration{-1, -1, -1}, -1, false},
			{oldReports{1, 70}, []time.Duration{-1, 20, 40}, 40, true},
		} {
			h.runner.opts.Reports = tc.reports
			if ok := x.assumeWaits(list, cands, tc.waits); ok != tc.ok || tc.waits != nil && tc.waits[0] != tc.want {
				t.Errorf("%v: %v, waits %v", tc.reports, ok, tc.waits)
			}
		}
	})
}

// Guards against daemons that send all plain calls to the target that was idle
// in their reports.
func TestPlainCallsSpreadWhileReportsAreOld(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		for range 3 {
			h.addTarget("app", "")
		}
		h.runner.opts.Engines.Merge("peer", []engines.Work{{Target: engines.Hash("app0"), Streams: 1}, {Target: engines.Hash("app1"), Streams: 1}}, nil)
		chosen := func(reports Reports) map[string]int {
			h.runner.opts.Reports = reports
			out := map[string]int{}
			for i := range 200 {
				c := h.newCall(route.Safe, 1, time.Second)
				c.Meta.RequestID = strconv.Itoa(i)
				to, _ := h.runner.newExecution(c).pickPlain()
				out[to.ID]++
				time.Sleep(20 * time.Millisecond)
				h.runner.opts.Engines.Merge("peer", []engines.Work{{Target: engines.Hash("app0"), Streams: 1}, {Target: engines.Hash("app1"), Streams: 1}}, nil)
			}
			return out
		}
		for _, reports := range []Reports{nil, oldReports{0, 70}, oldReports{250 * time.Millisecond, 1}} {
			if got := chosen(reports); got["app2"] != 200 {
				t.Errorf("%v: chosen %v", reports, got)
			}
		}
		if got := chosen(unknownShare{oldReports{250 * time.Millisecond, 70}}); got["app2"] != 200 {
			t.Errorf("chosen %v with an unknown share", got)
		}
		if got := chosen(oldReports{250 * time.Millisecond, 70}); got["app0"]+got["app1"] < 50 {
			t.Errorf("chosen %v with old reports", got)
		}
	})
}

// unknownShare is a daemon that doesn't know its share of the requests.
type unknownShare struct{ oldReports }

func (unknownShare) RequestShare() balance.Share { return balance.Share{} }

// Guards against a rate that is far too high at the first calls, or that
// doesn't fall when calls end.
func TestDecayingRate(t *testing.T) {
	var d decayingRate
	now := time.Unix(1000, 0)
	for range 60 {
		d.add(now)
		now = now.Add(500 * time.Millisecond)
	}
	if got := d.perSecond(now); math.Abs(got-2) > 0.2 {
		t.Errorf("%v per second, want 2", got)
	}
	if got := d.perSecond(now.Add(time.Minute)); got > 0.02 {
		t.Errorf("%v per second a minute later", got)
	}
}
