package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of korovou-flow: its classes, the limits of its clients and its machines.
// Two of its six machines are lost, and the case plays two of the other four.
const (
	machines  = 4
	played    = 2
	maxFiles  = 4100
	idleLimit = 15 * time.Second // idle_timeout_ms
	idleLoad  = 80 * time.Second
	idleTail  = 4 * time.Second // after the load
	answerGap = 500 * time.Millisecond
	host      = "ficu95.example"
)

// class is a kind of request.
type class struct {
	name     string
	method   string
	path     string
	perSec   float64 // on all machines
	timeout  time.Duration
	deadline time.Duration
	prompt   string
	tokens   string
}

var classes = []class{
	{"flow-verdict", "POST", "/pufi791/2f", 148, 2 * time.Second, 2 * time.Second, "5c1e07a2:6300,%s:2890", "9190,2"},
	{"tech-query", "POST", "/lohu930/2f", 21.8, 15 * time.Second, 15 * time.Second, "91bd3f06:79,%s:141", "220,89"},
	{"rework-book", "POST", "/puxa403/2f", 42.4, 2500 * time.Millisecond, 3 * time.Second, "", ""},
	{"job-lookup", "GET", "/cufi504/2f", 17, 2500 * time.Millisecond, 3 * time.Second, "", ""},
}

func (f *fleet) configureIdle() {
	route := func(c *class, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": "r-" + c.name, "hostname": host, "path_prefix": c.path[:strings.LastIndex(c.path, "/")+1], "kind": kind,
			"timeout_ms": c.timeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	stream := map[string]any{"sticky": true, "resumable": false, "target_gap_ms": 200}
	f.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{
			route(&classes[0], "streaming", "verdict-model", stream),
			route(&classes[1], "streaming", "verdict-model", stream),
			route(&classes[2], "unsafe", "job-desk", nil),
			route(&classes[3], "safe", "job-desk", map[string]any{"max_attempts": 2}),
		},
		"services": []any{
			map[string]any{"name": "verdict-model", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 370000, "kv_token_bytes": 163840, "link_mbps": 5900000.0, "kv_hold_s": 5.0, "switch_s": 3.0,
			}},
			map[string]any{"name": "job-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds()},
	})
}

// user sends one request on a new connection. It then stays connected without closing,
// or, without the trouble, for idleLimit.
type user struct {
	c     *class
	id    string
	until time.Time // end of the case
	sent  time.Time
	ended time.Time // zero: no answer
	text  string
}

// idleCase plays users that don't close their connections.
func idleCase(f *fleet, trouble bool) (int, error) {
	f.configureIdle()
	for range 4 {
		if _, err := f.addServer("job-desk", 6, func(*http.Request) time.Duration { return 60 * time.Millisecond }); err != nil {
			return exitNotRun, err
		}
	}
	for _, stage := range []string{"prefill", "prefill", "decode", "decode"} {
		if _, err := f.addEngine("verdict-model", stage, 64); err != nil {
			return exitNotRun, err
		}
	}
	for range played {
		d, err := f.addDaemon(maxFiles)
		if err != nil {
			return exitNotRun, err
		}
		if err := d.start(); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.awaitReady(5 * time.Second); err != nil {
		return exitNotRun, err
	}
	begin := time.Now()
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		users []*user
		open  []net.Conn
		held  atomic.Int64
	)
	keep := func(conn net.Conn) {
		held.Add(1)
		if !trouble {
			time.AfterFunc(idleLimit, func() { _ = conn.Close(); held.Add(-1) })
		}
		mu.Lock()
		open = append(open, conn)
		mu.Unlock()
	}
	for i := range classes {
		c := &classes[i]
		wg.Go(func() {
			gap := time.Duration(float64(time.Second) / (c.perSec * played / machines))
			tick := time.NewTicker(gap)
			defer tick.Stop()
			for n := 0; time.Since(begin) < idleLoad; n++ {
				<-tick.C
				d := f.daemons[rand.N(len(f.daemons))]
				u := &user{c: c, id: fmt.Sprintf("%s-%06d", c.name, n), until: begin.Add(idleLoad + idleTail)}
				mu.Lock()
				users = append(users, u)
				mu.Unlock()
				wg.Go(func() {
					if conn := u.run(d.callers); conn != nil {
						keep(conn)
					}
					f.record.add("client %s: %s", u.id, u.text)
				})
			}
		})
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(5 * time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			for _, d := range f.daemons {
				f.record.add("%s has %d descriptors of %d, %s resident, ready %v, clients hold %d connections", d.name, d.files(), maxFiles, d.resident(), d.isReady(), held.Load())
			}
		}
	}()
	wg.Wait()
	close(done)
	for _, conn := range open {
		_ = conn.Close()
	}
	return f.judgeIdle(users)
}

// judgeIdle applies the rule CONFIG: of the requests that are still unanswered at their
// route's timeout_ms, more than half have no answer half a second later.
func (f *fleet) judgeIdle(users []*user) (int, error) {
	f.recordRuns()
	unanswered, never, answered := 0, 0, 0
	for _, u := range users {
		if u.sent.IsZero() || u.c.name != "rework-book" {
			continue // other requests are given up after a second, or aren't waited for
		}
		switch {
		case !u.ended.IsZero() && u.ended.Sub(u.sent) <= u.c.timeout:
			answered++
			continue
		case u.ended.IsZero():
			never++
		}
		unanswered++
	}
	f.record.add("rework-book: %d answered in time, %d unanswered at timeout_ms, %d of them without an answer %v later", answered, unanswered, never, answerGap)
	for _, d := range f.daemons {
		if !d.running() {
			return exitNotRun, fmt.Errorf("%s has ended", d.name)
		}
	}
	if answered < 100 {
		return exitNotRun, errors.New("too few requests were answered")
	}
	if unanswered >= 8 && 2*never > unanswered {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// run sends the request and reads the answer. It returns the connection if it is open.
func (u *user) run(addr string) net.Conn {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		u.text = "no connection in a second"
		return nil
	}
	wait := u.c.timeout + answerGap
	if u.c.name != "rework-book" {
		wait = u.c.deadline
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", u.c.method, u.c.path, host, headerID, u.id, headerDeadline, u.c.deadline.Milliseconds())
	if u.c.prompt != "" {
		fmt.Fprintf(&b, "X-Pomelospool-Model: m\r\nX-Pomelospool-Token-Counts: %s\r\nX-Pomelospool-Prompt-Prefix: "+u.c.prompt+"\r\n", u.c.tokens, fmt.Sprintf("%08x", rand.Uint32()))
	}
	if u.c.method == "POST" {
		b.WriteString("Content-Length: 2\r\n\r\n{}")
	} else {
		b.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		u.text = "the request couldn't be written"
		_ = conn.Close()
		return nil
	}
	u.sent = time.Now()
	if rest := time.Until(u.until); rest < wait {
		wait = rest
	}
	_ = conn.SetReadDeadline(u.sent.Add(wait))
	r := bufio.NewReader(conn)
	if u.c.name == "job-lookup" {
		// A client abandons an idempotent request that isn't read in a second.
		_ = conn.SetReadDeadline(u.sent.Add(time.Second))
		if _, err := r.Peek(1); err != nil {
			u.text = "nothing in a second, given up"
			_ = conn.Close()
			return nil
		}
		_ = conn.SetReadDeadline(u.sent.Add(wait))
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: u.c.method})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			u.text = fmt.Sprintf("no answer in %v", wait)
		} else {
			u.text, u.ended = "the connection ended without an answer", time.Now()
		}
		_ = conn.Close()
		return nil
	}
	u.ended = time.Now()
	u.text = fmt.Sprintf("status %d after %d ms", resp.StatusCode, u.ended.Sub(u.sent).Milliseconds())
	return conn
}
