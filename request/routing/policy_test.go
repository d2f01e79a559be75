package routing

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

const testRate = 8000

func engine(name string, set ...func(*Target)) Target {
	t := Target{Name: name, Zone: "a", Model: "m", Role: port.RoleMixed, Live: true, Limit: 64}
	t.Load.PrefillRate = testRate
	for _, f := range set {
		f(&t)
	}
	return t
}

func queued(n int) func(*Target)         { return func(t *Target) { t.Load.QueuedPrefill = n } }
func withRole(r port.Role) func(*Target) { return func(t *Target) { t.Role = r } }
func cached(n int) func(*Target) {
	return func(t *Target) { t.CachedTokens = func([]uint64) int { return n } }
}
func with(f func(*Target)) func(t *Target) { return f }

func request(set ...func(*Request)) Request {
	r := Request{ID: "r", Service: "s", Model: "m", Zone: "a", PromptTokens: 2000, OutputTokens: 100, Seed: 1, Prefix: []uint64{1}}
	for _, f := range set {
		f(&r)
	}
	return r
}

func kvOptions() Options {
	return Options{KVTransferRate: 200_000, BetweenTokens: 36 * time.Millisecond}
}

// TestRoute checks the chosen target with one case for each routing rule.
func TestRoute(t *testing.T) {
	running := func(n int) func(*Target) { return func(t *Target) { t.Load.Running = n; t.InFlight = n } }
	withStreams := func(n int) func(*Target) { return func(t *Target) { running(n)(t); t.Limit = 200 } }
	cases := []struct {
		name    string
		req     func(*Request)
		targets []Target
		want    Decision // Target, KVSource, DecodeTarget and Spilled are compared
		err     code.Code
	}{
		{name: "nothing", err: code.NoTarget},
		{name: "dead or changing", err: code.NoTarget, targets: []Target{
			engine("dead", with(func(t *Target) { t.Live = false })), engine("changing", with(func(t *Target) { t.Changing = true }))}},
		{name: "other model", err: code.NoTarget, targets: []Target{engine("b", with(func(t *Target) { t.Model = "x" }))}},
		{name: "other adapter", err: code.NoTarget, targets: []Target{engine("b", with(func(t *Target) { t.Adapter = "x" }))}},
		{name: "adapter", req: func(r *Request) { r.Adapter = "x" }, want: Decision{Target: "b"}, targets: []Target{
			engine("a"), engine("b", with(func(t *Target) { t.Adapter = "x" }))}},
		{name: "excluded", req: func(r *Request) { r.Exclude = []string{"a"} }, want: Decision{Target: "b"}, targets: []Target{
			engine("a"), engine("b", queued(90000))}},
		{name: "all full", err: code.Overloaded, targets: []Target{engine("a", running(64)), engine("b", running(70))}},
		{name: "own requests fill the limit", err: code.Overloaded, targets: []Target{engine("a", with(func(t *Target) { t.InFlight = 64 }))}},
		{name: "alone", req: func(r *Request) { r.Exclusive = true }, want: Decision{Target: "b"}, targets: []Target{
			engine("a", running(1)), engine("b", queued(10000))}},
		{name: "alone, all busy", req: func(r *Request) { r.Exclusive = true }, err: code.Overloaded, targets: []Target{engine("a", running(1))}},
		{name: "shorter queue", want: Decision{Target: "b"}, targets: []Target{engine("a", queued(4000)), engine("b", queued(1000))}},
		{name: "sent since the report", want: Decision{Target: "b"}, targets: []Target{
			engine("a", with(func(t *Target) { t.SentPrefill = 4000 })), engine("b", queued(1000))}},
		{name: "worked off since the report", want: Decision{Target: "a"}, targets: []Target{
			engine("a", queued(4000), with(func(t *Target) { t.LoadAge = time.Second })), engine("b", queued(1000))}},
		{name: "slow decode", want: Decision{Target: "b"}, targets: []Target{
			engine("a", running(10), with(func(t *Target) { t.Load.DecodeRate = 100 })), engine("b", running(10))}},
		{name: "cached", want: Decision{Target: "b"}, targets: []Target{engine("a"), engine("b", queued(500), cached(1800))}},
		{name: "cached, but far too busy", want: Decision{Target: "a", KVSource: "b"}, targets: []Target{
			engine("a"), engine("b", queued(40000), cached(1800))}},
		{name: "moves a long prefix", req: func(r *Request) { r.PromptTokens = 20000 }, want: Decision{Target: "a", KVSource: "b"}, targets: []Target{
			engine("a"), engine("b", queued(40000), cached(18000))}},
		{name: "computes a short one", req: func(r *Request) { r.PromptTokens = 200 }, want: Decision{Target: "a"}, targets: []Target{
			engine("a"), engine("b", queued(40000), cached(100))}},
		{name: "no KV from a suspect", req: func(r *Request) { r.PromptTokens = 20000 }, want: Decision{Target: "a"}, targets: []Target{
			engine("a"), engine("b", queued(40000), cached(18000), with(func(t *Target) { t.Suspect = true }))}},
		{name: "zone", want: Decision{Target: "b"}, targets: []Target{engine("a", with(func(t *Target) { t.Zone = "z" })), engine("b")}},
		{name: "suspect", want: Decision{Target: "b"}, targets: []Target{
			engine("a", with(func(t *Target) { t.Suspect = true })), engine("b", queued(8000))}},
		{name: "suspect is all there is", want: Decision{Target: "a"}, targets: []Target{engine("a", with(func(t *Target) { t.Suspect = true }))}},
		{name: "prefill, then decode", want: Decision{Target: "p", DecodeTarget: "d"}, targets: []Target{
			engine("d", withRole(port.RoleDecode), running(8)), engine("p", withRole(port.RolePrefill))}},
		{name: "spills when waiting costs more", want: Decision{Target: "d", Spilled: true}, targets: []Target{
			engine("d", withRole(port.RoleDecode), running(8)), engine("p", withRole(port.RolePrefill), queued(40000))}},
		{name: "waits when spilling costs more", want: Decision{Target: "p", DecodeTarget: "d"}, targets: []Target{
			engine("d", withRole(port.RoleDecode), running(40)), engine("p", withRole(port.RolePrefill), queued(800))}},
		{name: "only prefill engines left", want: Decision{Target: "p", Spilled: true}, targets: []Target{engine("p", withRole(port.RolePrefill))}},
		{name: "room for one more stream", want: Decision{Target: "p", DecodeTarget: "e"}, targets: []Target{
			engine("d", withRole(port.RoleDecode), withStreams(80)), engine("e", withRole(port.RoleDecode), withStreams(60)), engine("p", withRole(port.RolePrefill))}},
		{name: "no room for one more stream", err: code.Overloaded, targets: []Target{
			engine("d", withRole(port.RoleDecode), withStreams(80)), engine("p", withRole(port.RolePrefill))}},
		{name: "urgent", req: func(r *Request) { r.Priority = 1 }, want: Decision{Target: "p", DecodeTarget: "d"}, targets: []Target{
			engine("d", withRole(port.RoleDecode), withStreams(72)), engine("p", withRole(port.RolePrefill))}},
		{name: "room by the service's own objective", req: func(r *Request) { r.BetweenTokens = 50 * time.Millisecond }, want: Decision{Target: "m"},
			targets: []Target{engine("m", withStreams(80))}},
		{name: "no room on a mixed engine", err: code.Overloaded, targets: []Target{engine("m", withStreams(80))}},
		{name: "plain", req: func(r *Request) { r.Model = "" }, want: Decision{Target: "b"}, targets: []Target{
			{Name: "a", Live: true, InFlight: 5}, {Name: "b", Live: true, InFlight: 2}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := request()
			if c.req != nil {
				c.req(&r)
			}
			got, err := New(kvOptions()).Route(r, c.targets)
			if (c.err != 0) != (err != nil) || (err != nil && code.Of(err) != c.err) {
				t.Fatalf("error %v, want code %d", err, c.err)
			}
			if err != nil {
				var e *code.Error
				if errors.As(err, &e) && e.Code == code.Overloaded && e.RetryAfter < minRetryAfter {
					t.Errorf("retry after %v", e.RetryAfter)
				}
				return
			}
			if got.Score <= 0 || got.Score > 1 {
				t.Errorf("score %v lies outside (0,1]", got.Score)
			}
			got.Score, got.TimeToFirstToken, got.TimeToCompletion = 0, 0, 0
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestEstimate compares the expected times of a decision, which admission uses,
// with values computed by hand.
func TestEstimate(t *testing.T) {
	targets := []Target{engine("a", queued(4000), func(t *Target) { t.Load.Running = 1 })}
	o := Options{StepBase: 20 * time.Millisecond, StepPerStream: time.Millisecond}
	d, err := New(o).Route(request(), targets)
	if err != nil {
		t.Fatal(err)
	}
	first := time.Duration(float64(4000+2000) / testRate * float64(time.Second))
	if d.TimeToFirstToken != first || d.TimeToCompletion != first+100*21*time.Millisecond {
		t.Errorf("first %v, finish %v", d.TimeToFirstToken, d.TimeToCompletion)
	}
}

// leastLoaded is the baseline policy. It chooses the shortest queue, counting
// reported prompt tokens and those that this process sent since.
func leastLoaded(targets []Target) string {
	return slices.MinFunc(targets, func(a, b Target) int {
		return a.Load.QueuedPrefill + a.SentPrefill - b.Load.QueuedPrefill - b.SentPrefill
	}).Name
}

// herdingRatio simulates processes that route by load reports renewed every half
// second. For each report period it divides the largest number of requests at
// one target by the mean number at a target, and returns the mean over the
// periods.
func herdingRatio(routers int, choose func(r Request, ts []Target) string) float64 {
	const (
		engines  = 12
		periods  = 200
		period   = 500 * time.Millisecond
		requests = 40 // of 1000 tokens in a period: 83% of the capacity
		tokens   = 1000
	)
	var queue [engines]int
	seed, ratio := uint64(1), 0.0
	for range periods {
		views := make([][]Target, routers)
		for d := range views {
			for e := range engines {
				views[d] = append(views[d], engine(fmt.Sprint(e), queued(queue[e])))
			}
		}
		var got [engines]int
		for i := range requests {
			seed = splitmix64(seed)
			view := views[seed%uint64(routers)]
			for e := range view {
				view[e].LoadAge = period * time.Duration(i) / requests
			}
			r := request(func(r *Request) { r.Seed, r.PromptTokens, r.Prefix = seed, tokens, nil })
			name := choose(r, view)
			e := slices.IndexFunc(view, func(t Target) bool { return t.Name == name })
			view[e].SentPrefill += tokens
			view[e].SentCount++
			view[e].InFlight++
			got[e]++
		}
		for e := range queue {
			queue[e] = max(queue[e]+got[e]*tokens-int(testRate*period.Seconds()), 0)
		}
		ratio += float64(slices.Max(got[:])) * engines / requests / periods
	}
	return ratio
}

// TestNoHerding checks that processes that share load reports of half a second's
// age don't all route to the same engine. If no process accounts for the
// requests of the others, all of them overload the engine with the shortest
// reported queue while other engines idle.
func TestNoHerding(t *testing.T) {
	const maxRatio = 2.5 // least loaded reaches 2.8 with 8 processes, 9.0 with 64
	for routers, minAdvantage := range map[int]float64{8: 1.3, 64: 3} {
		p := New(Options{RouterCount: routers})
		policy := herdingRatio(routers, func(r Request, ts []Target) string {
			d, err := p.Route(r, ts)
			if err != nil {
				t.Fatal(err)
			}
			return d.Target
		})
		baseline := herdingRatio(routers, func(_ Request, ts []Target) string { return leastLoaded(ts) })
		t.Logf("%d routers: max/mean %.2f, least loaded %.2f", routers, policy, baseline)
		if policy > maxRatio || baseline < policy*minAdvantage {
			t.Errorf("%d routers: max/mean %.2f (at most %v), least loaded %.2f", routers, policy, maxRatio, baseline)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{12, 100, 710} {
		targets := make([]Target, n)
		for i := range targets {
			targets[i] = engine(fmt.Sprint(i), queued(i*37%9000), cached(i%1500))
			targets[i].Role = []port.Role{port.RolePrefill, port.RoleDecode, port.RoleMixed}[i%3]
		}
		o := kvOptions()
		o.RouterCount = 8
		p := New(o)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			r := request()
			for i := range b.N {
				r.Seed = uint64(i + 1)
				if _, err := p.Route(r, targets); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
