package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	crashingPart = "bad"
	// maxLateParts is the number of requests with a crashing part that may reach
	// targets later than stableWindow after the crash number partCrashes.
	maxLateParts = 3
	partCrashes  = 5
)

// partTrial sends requests with a crashing part in their prompts, no two alike,
// beside sound requests that share their other parts.
type partTrial struct {
	engines     int
	down        downMode
	restart     time.Duration      // from a crash to the next incarnation; 0: restartTime
	crashing    func(n int) string // prompt of the request number n; nil: none is sent
	sharing     int                // number of sound requests in a row that have the same second part; 0: all of every third
	ends        []time.Duration    // when targets end for another reason
	endsAll     bool               // all targets end then, and not only one
	withoutHead bool               // targets crash before they have sent the status line

	mu    sync.Mutex
	sound []soundCall
}

type soundCall struct {
	at    time.Time
	first bool // the first target that it was sent to answered it
	code  code.Code
}

const (
	partTrialTime    = 30 * time.Second
	crashingInterval = 200 * time.Millisecond
	soundInterval    = 100 * time.Millisecond
)

func (p *partTrial) run(t *testing.T, h *harness) *crashes {
	h.released = make(chan port.KVSource, partTrialTime/soundInterval*maxSends)
	for range 2 {
		h.addTarget("llm", port.RolePrefill)
	}
	c := h.addCrashing("llm", "decode", p.engines, p.down)
	c.mu.Lock()
	c.part, c.head, c.limit = crashingPart, !p.withoutHead, partCrashes
	if p.restart > 0 {
		c.restart = p.restart
	}
	c.mu.Unlock()
	for i, at := range p.ends {
		time.AfterFunc(at, func() {
			if p.endsAll {
				c.endAll()
				return
			}
			c.mu.Lock()
			end := c.ends[i%len(c.ends)]
			c.mu.Unlock()
			end()
		})
	}
	var wg sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < partTrialTime; n++ {
		wg.Go(func() { p.sendSound(t, h, n) })
		if p.crashing != nil && n%int(crashingInterval/soundInterval) == 0 && time.Since(begin) > time.Second {
			wg.Go(func() { _, _ = p.send(t, h, fmt.Sprint("crashing ", n), p.crashing(n)) })
		}
		time.Sleep(soundInterval)
	}
	wg.Wait()
	return c
}

func (p *partTrial) send(t *testing.T, h *harness, id, prompt string) (Trace, error) {
	call := h.newCall(route.Stream, 2, 3*time.Second)
	header := standin.CallerHeaders(id, 3*time.Second, prompt)
	meta, err := platform.TargetProtocol{}.ParseRequest(header)
	if err != nil {
		t.Error(err)
	}
	call.Meta, call.Header, call.Body = meta, platform.TargetProtocol{}.ForwardHeaders(header, false), []byte(id)
	return h.runner.Streamed(t.Context(), call, &recorder{})
}

// sendSound sends one of the requests that share all parts but the crashing one.
func (p *partTrial) sendSound(t *testing.T, h *harness, n int) {
	at := time.Now()
	second := n % 3
	if p.sharing > 0 {
		second = n / p.sharing
	}
	trace, err := p.send(t, h, fmt.Sprint("sound ", n), fmt.Sprintf("head:1000,part%d:200,sound%d:60", second, n))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundCall{at: at, first: err == nil && len(trace.Causes) == 0, code: code.Of(err)})
}

// firstAttempts returns the share of the sound requests between two times that were
// answered at their first attempt.
func (p *partTrial) firstAttempts(from, to time.Time) float64 {
	all, first := 0, 0
	for _, s := range p.sound {
		if !s.at.Before(from) && s.at.Before(to) {
			all++
			if s.first {
				first++
			}
		}
	}
	return float64(first) / float64(max(all, 1))
}

// count returns the number of sound requests that ended with a code.
func (p *partTrial) count(c code.Code) (n int) {
	for _, s := range p.sound {
		if s.code == c {
			n++
		}
	}
	return n
}

// Guards against a part of a prompt that crashes each target that writes on it and
// is sent to targets again and again, in requests that are all different.
func TestCrashingPartIsSentToFewTargets(t *testing.T) {
	second := func(n int) string { return fmt.Sprintf("head:1000,bad:200,own%d:60", n) }
	third := func(n int) string { return fmt.Sprintf("head:1000,behind%d:100,bad:200,own%d:60", n, n) }
	first := func(n int) string { return fmt.Sprintf("bad:1000,part%d:200,own%d:60", n%3, n) }
	cases := []struct {
		name  string
		trial *partTrial
	}{
		{"refuses", &partTrial{engines: 6, crashing: second}},
		{"silent", &partTrial{engines: 6, down: downSilent, crashing: second}},
		{"resets", &partTrial{engines: 6, down: downResets, crashing: second}},
		{"without_status", &partTrial{engines: 6, withoutHead: true, crashing: second}},
		{"back_at_once", &partTrial{engines: 6, restart: time.Millisecond, crashing: second}},
		{"third", &partTrial{engines: 6, crashing: third}},
		{"first", &partTrial{engines: 6, crashing: first}},
		{"four_engines", &partTrial{engines: 4, crashing: second}},
		{"many_engines", &partTrial{engines: 40, crashing: second}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				p := tc.trial
				begin := time.Now()
				c := p.run(t, h)
				if len(c.times) == 0 {
					t.Fatal("no target ended")
				}
				fifth := c.times[min(len(c.times), partCrashes)-1]
				before, after := p.firstAttempts(begin, begin.Add(time.Second)), p.firstAttempts(fifth.Add(2*stableWindow), time.Now())
				t.Logf("%d targets ended, %d runs later than %v after the fifth; %.2f of sound requests began at their first attempt, %.2f before", len(c.times), c.late, stableWindow, after, before)
				if c.late > maxLateParts {
					t.Errorf("%d runs later than %v after the fifth crash, %d allowed; %d targets ended", c.late, stableWindow, maxLateParts, len(c.times))
				}
				if after < before/2 {
					t.Errorf("%.2f of the sound requests began at their first attempt, %.2f before", after, before)
				}
				if n := p.count(code.ContentQuarantined); n > 0 {
					t.Errorf("%d sound requests were refused", n)
				}
			})
		})
	}
}

// Guards against sound parts that are refused since the targets that write on them
// end for another reason: one by one, or all at once.
func TestEndsOfTargetsDontConvictParts(t *testing.T) {
	series := func(n int, interval time.Duration) (out []time.Duration) {
		for i := range n {
			out = append(out, 2*time.Second+time.Duration(i)*interval)
		}
		return out
	}
	cases := []struct {
		name  string
		trial *partTrial
	}{
		{"one_by_one", &partTrial{engines: 6, ends: series(10, 500*time.Millisecond)}},
		{"in_quick_succession", &partTrial{engines: 12, ends: series(30, 100*time.Millisecond)}},
		{"all", &partTrial{engines: 6, ends: series(1, 0), endsAll: true}},
		{"all_four_times", &partTrial{engines: 6, ends: series(4, 5*time.Second), endsAll: true}},
		{"all_and_back_at_once", &partTrial{engines: 6, ends: series(8, 500*time.Millisecond), endsAll: true, restart: time.Millisecond}},
		{"rare_parts", &partTrial{engines: 6, ends: series(20, 300*time.Millisecond), sharing: 4}},
		{"rare_parts_all", &partTrial{engines: 6, ends: series(4, 5*time.Second), endsAll: true, sharing: 10}},
	}
	for _, tc := range cases {
		for _, down := range []downMode{downRefuses, downSilent, downResets} {
			t.Run(fmt.Sprintf("%s_%d", tc.name, down), func(t *testing.T) {
				withHarness(t, 1000, func(t *testing.T, h *harness) {
					p := tc.trial
					p.down, p.sound = down, nil
					p.run(t, h)
					served, refused := p.count(code.OK), p.count(code.ContentQuarantined)
					t.Logf("%d of %d sound requests were answered", served, len(p.sound))
					if refused > 0 {
						t.Errorf("%d sound requests were refused", refused)
					}
				})
			})
		}
	}
}
