package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
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
	stage   string // of the targets

	mu      sync.Mutex
	started int
	times   []time.Time // of the crashes
	late    int         // runs later than stableWindow after the third crash
}

// addCrashing serves n targets of a service.
func (h *harness) addCrashing(service, stage string, n int) *crashes {
	c := &crashes{h: h, service: service, stage: stage}
	for i := range n {
		h.entries[service] = append(h.entries[service], port.TargetEntry{})
		c.start(i)
	}
	return c
}

// start serves the next incarnation of a target.
func (c *crashes) start(i int) {
	c.mu.Lock()
	c.started++
	id, addr := fmt.Sprintf("%s-%d", c.service, c.started), fmt.Sprintf("%s:%d", c.service, i)
	c.mu.Unlock()
	target, crashed := standin.NewTarget(id, c.stage), make(chan struct{})
	var once sync.Once
	c.h.net.Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if string(body) == crashingBody {
			c.recordRun()
			select {
			case <-time.After(crashTime):
			case <-crashed:
			}
			once.Do(func() {
				c.h.net.Stop(addr)
				close(crashed)
				c.recordCrash()
				time.AfterFunc(restartTime, func() { c.start(i) })
			})
			panic(http.ErrAbortHandler)
		}
		select {
		case <-crashed:
			panic(http.ErrAbortHandler)
		default:
			target.ServeHTTP(w, req)
		}
	}))
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.entries[c.service][i] = port.TargetEntry{ID: id, Service: c.service, Addr: addr, Zone: "a", Slots: 4}
}

func (c *crashes) recordRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) >= 3 && time.Since(c.times[2]) > stableWindow {
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
		call.Service = &route.Service{Name: c.service}
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
	}{{"unsafe", "", route.Unsafe}, {"safe", "", route.Safe}, {"stream", "decode", route.Stream}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				c := h.addCrashing("app", tc.stage, 4)
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
