package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	crashingBody = "crashes its targets"
	crashTime    = 60 * time.Millisecond // from the begin of a run to the crash
	restartTime  = 2 * time.Second       // from a crash to the next incarnation
	maxLateRuns  = 3                     // runs allowed later than stableWindow after the third crash
	stableWindow = 3 * time.Second
)

// crashes is a service whose targets end when they run crashingBody, and come
// back later as new incarnations at the same address.
type crashes struct {
	h       *harness
	service string
	stage   string   // of the targets
	down    downMode // how an address behaves while its target is down
	// serveTime is the time that an answer to other content takes.
	serveTime time.Duration
	part      string        // crashes the targets, too, if it is a part of a prompt; empty: none
	restart   time.Duration // from a crash to the next incarnation
	head      bool          // the status line is sent before the crash
	limit     int           // number of the crash from which on runs are limited
	offset    int           // of the targets among the service's entries

	mu      sync.Mutex
	silent  map[string]bool // addresses that don't answer
	ends    []func()        // end the target of each address, in the same way
	started int
	times   []time.Time // of the crashes
	late    int         // runs later than stableWindow after the crash number limit
}

// downMode is how the address of a target behaves between two incarnations.
type downMode int

const (
	downRefuses downMode = iota // connections are refused
	downSilent                  // nothing is answered, on open connections either
	downResets                  // connections are accepted and reset
)

// addCrashing serves n targets of a service.
func (h *harness) addCrashing(service, stage string, n int, down downMode) *crashes {
	c := &crashes{h: h, service: service, stage: stage, down: down, silent: make(map[string]bool), limit: 3, restart: restartTime, offset: len(h.entries[service])}
	h.runner.opts.Pool.Close()
	h.runner.opts.Pool = h1.New(h1.Options{Dial: c.dial})
	for i := range n {
		h.entries[service] = append(h.entries[service], port.TargetEntry{})
		c.ends = append(c.ends, nil)
		c.start(i)
	}
	return c
}

// dialTimeout is the time after which a connect to a silent address fails.
const dialTimeout = 300 * time.Millisecond

func (c *crashes) dial(ctx context.Context, addr string) (net.Conn, error) {
	c.mu.Lock()
	silent := c.silent[addr]
	c.mu.Unlock()
	if silent {
		time.Sleep(dialTimeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	}
	return c.h.net.Dial(ctx, addr)
}

// stop makes an address behave as without a target. It returns once the requests
// that were open end.
func (c *crashes) stop(addr string) {
	c.h.net.Stop(addr)
	switch c.down {
	case downSilent:
		c.setSilent(addr, true)
	case downResets:
		c.h.net.Serve(addr, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	}
}

func (c *crashes) setSilent(addr string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[addr] = on
}

// fall ends a request that was open when its target crashed.
func (c *crashes) fall(req *http.Request) {
	if c.down == downSilent {
		<-req.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// start serves the next incarnation of a target.
func (c *crashes) start(i int) {
	c.mu.Lock()
	c.started++
	id, addr := fmt.Sprintf("%s-%d", c.service, c.started), fmt.Sprintf("%s:%d", c.service, i)
	c.mu.Unlock()
	target, crashed := standin.NewTarget(id, c.stage), make(chan struct{})
	var once sync.Once
	end := func(ended func()) {
		once.Do(func() {
			c.stop(addr)
			close(crashed)
			ended()
			time.AfterFunc(c.restart, func() { c.start(i) })
		})
	}
	c.mu.Lock()
	c.ends[i] = func() { end(func() {}) }
	c.mu.Unlock()
	c.h.net.Stop(addr)
	c.setSilent(addr, false)
	c.h.net.Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if string(body) == crashingBody || c.part != "" && standin.HasPart(req.Header, c.part) {
			c.recordRun()
			if c.head {
				target.SendStatus(w, req)
			}
			select {
			case <-time.After(crashTime):
			case <-crashed:
			}
			end(c.recordCrash)
			c.fall(req)
		}
		select {
		case <-crashed:
			c.fall(req)
		case <-time.After(c.serveTime):
			target.ServeHTTP(w, req)
		}
	}))
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.entries[c.service][c.offset+i] = port.TargetEntry{ID: id, Service: c.service, Addr: addr, Zone: "a", Slots: 4, Role: c.role()}
}

// role returns the role of the targets: none if the service has no engines.
func (c *crashes) role() port.Role {
	if c.offset == 0 {
		return ""
	}
	return port.RoleDecode
}

func (c *crashes) recordRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) >= c.limit && time.Since(c.times[c.limit-1]) > stableWindow {
		c.late++
	}
}

func (c *crashes) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// sendAgain sends calls of the body at an interval.
func (c *crashes) sendAgain(t *testing.T, kind route.Kind, body string, times int, interval time.Duration) (lastErr error) {
	for i := range times {
		call := c.h.newCall(kind, 2, time.Second)
		call.Meta.RequestID, call.Body = fmt.Sprintf("%s %d", body, i), []byte(body)
		call.Header = standin.CallerHeaders(call.Meta.RequestID, time.Second, "")
		call.Service = &route.Service{Name: c.service, HealthPath: standin.HealthPath}
		if kind == route.Stream {
			_, lastErr = c.h.runner.Streamed(t.Context(), call, &recorder{})
		} else {
			_, _, lastErr = c.h.runner.Plain(t.Context(), call)
		}
		time.Sleep(interval)
	}
	return lastErr
}

// Guards against a request that crashes each target that runs it and is sent to
// targets again and again.
func TestCrashingContentIsSentToFewTargets(t *testing.T) {
	cases := []struct {
		name, stage string
		kind        route.Kind
		down        downMode
	}{
		{"unsafe", "", route.Unsafe, downRefuses}, {"safe", "", route.Safe, downRefuses}, {"stream", "decode", route.Stream, downRefuses},
		{"unsafe_silent", "", route.Unsafe, downSilent}, {"safe_silent", "", route.Safe, downSilent}, {"stream_silent", "decode", route.Stream, downSilent},
		{"unsafe_reset", "", route.Unsafe, downResets}, {"safe_reset", "", route.Safe, downResets}, {"stream_reset", "decode", route.Stream, downResets},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				c := h.addCrashing("app", tc.stage, 4, tc.down)
				err := c.sendAgain(t, tc.kind, crashingBody, 60, 250*time.Millisecond)
				if c.late > maxLateRuns {
					t.Errorf("%d targets ended, %d runs later than %v after the third, %d allowed; the last error: %v", len(c.times), c.late, stableWindow, maxLateRuns, err)
				}
				time.Sleep(2 * restartTime)
				if err := c.sendAgain(t, tc.kind, "another body", 3, time.Second); err != nil {
					t.Errorf("another body: %v", err)
				}
			})
		})
	}
}

// endAll ends all targets at once.
func (c *crashes) endAll() {
	c.mu.Lock()
	ends := slices.Clone(c.ends)
	c.mu.Unlock()
	for _, end := range ends {
		end()
	}
}

// Guards against content that many callers ask for and that is refused after all
// targets of its service ended at once.
func TestEndOfAllTargetsIsNoCrash(t *testing.T) {
	for _, down := range []downMode{downRefuses, downSilent, downResets} {
		for _, kind := range []route.Kind{route.Unsafe, route.Safe} {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				c := h.addCrashing("app", "", 4, down)
				c.serveTime = 40 * time.Millisecond
				var wg sync.WaitGroup
				for n := range 100 {
					wg.Go(func() {
						call := h.newCall(kind, 2, time.Second)
						call.Meta.RequestID, call.Body, call.Service = fmt.Sprint("popular ", n), []byte("popular"), &route.Service{Name: "app", HealthPath: standin.HealthPath}
						call.Header = standin.CallerHeaders(call.Meta.RequestID, time.Second, "")
						if _, _, err := h.runner.Plain(t.Context(), call); code.Of(err) == code.ContentQuarantined {
							t.Errorf("down %d, kind %v, call %d: %v", down, kind, n, err)
						}
					})
					if n == 20 {
						time.AfterFunc(30*time.Millisecond, c.endAll)
					}
					time.Sleep(25 * time.Millisecond)
				}
				wg.Wait()
				time.Sleep(2 * restartTime)
				if err := c.sendAgain(t, kind, "popular", 3, 50*time.Millisecond); err != nil {
					t.Errorf("down %d, kind %v, afterwards: %v", down, kind, err)
				}
			})
		}
	}
}

// Guards against harmless content that is blamed by a daemon whose network refuses
// the connections to all targets for a while.
func TestCutWithRefusalsIsNoCrash(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		const targets, cutTime = 3, time.Second
		cut := make(chan struct{})
		serve := func(h *harness, cut <-chan struct{}) {
			for i := range targets {
				id := fmt.Sprint("app", i)
				target := standin.NewTarget(id, "")
				h.net.Serve(id, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					select {
					case <-cut:
						panic(http.ErrAbortHandler)
					case <-time.After(crashTime):
						target.ServeHTTP(w, req)
					}
				}))
			}
		}
		for i := range targets {
			id := fmt.Sprint("app", i)
			h.entries["app"] = append(h.entries["app"], port.TargetEntry{ID: id, Service: "app", Addr: id, Zone: "a", Slots: 4})
		}
		serve(h, cut)
		for range 4 {
			var calls sync.WaitGroup
			for range 2 * targets {
				calls.Go(func() { _, _, _ = h.runner.Plain(t.Context(), h.newCall(route.Safe, 3, time.Second)) })
			}
			time.Sleep(crashTime / 2)
			for i := range targets {
				h.net.Stop(fmt.Sprint("app", i))
			}
			close(cut)
			calls.Wait()
			time.Sleep(cutTime)
			cut = make(chan struct{})
			serve(h, cut)
			time.Sleep(5 * time.Second) // until no target is ejected
		}
		if _, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 3, time.Second)); err != nil {
			t.Error(err)
		}
	})
}

// Guards against harmless content that is blamed for the crash of a target that lives:
// its callers leave, or it answers them late.
func TestSlowTargetIsNoCrash(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		target := h.addTarget("app", "")
		target.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
		h.runner.opts.Quarantine = crashRecorder{h.runner.opts.Quarantine, func() { t.Error("a crash was recorded") }}
		for range 5 {
			_, _, _ = h.runner.Plain(t.Context(), h.newCall(route.Safe, 1, 200*time.Millisecond))
		}
		target.Set(func(b *standin.Behaviour) { b.NoAnswer = false })
		_, _, _ = h.runner.Plain(t.Context(), h.newCall(route.Safe, 1, time.Second))
		time.Sleep(2 * maxVerifyTime)
	})
}

// crashRecorder calls crashed for each recorded crash.
type crashRecorder struct {
	Quarantine
	crashed func()
}

func (c crashRecorder) Hold(target string) func(quarantine.Evidence) {
	if c.Quarantine.Hold(target) == nil {
		return nil
	}
	return func(quarantine.Evidence) { c.crashed() }
}
