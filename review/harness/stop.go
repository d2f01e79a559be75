package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// The figures of the stop case.
const (
	stopMachines = 3
	stopGap      = time.Second // between two machines, as gap_s
	graceTime    = 8 * time.Second
	warmTime     = 2 * time.Second // of traffic before the first machine is stopped
	rolls        = 8
	rollPeriod   = 9 * time.Second
	restartDelay = 500 * time.Millisecond
	eventGap     = 45 * time.Millisecond
	meanEvents   = 89                      // as the sheet says of tech-query
	maxEvents    = 211                     // longer streams weren't seen on the bench
	streamLimit  = 15 * time.Second        // deadline and timeout_ms
	streamRate   = 21.8 / 6 * stopMachines // a second; the sheet's share of these machines
	stopClients  = 6
)

// streamCall is one stream of a client.
type streamCall struct {
	id     string
	d      *daemon
	sent   time.Time
	ended  time.Time
	status int
	whole  bool
	events int
	text   string
}

func (f *fleet) configureStop() {
	f.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-tech-query", "hostname": host, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": streamLimit.Milliseconds(),
			"target_latency_ms": 150, "target_gap_ms": 200, "priority": 1, "service": "verdict-model", "max_attempts": 1, "sticky": true, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "verdict-model", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_tokens": 370000, "kv_token_bytes": 163840, "link_mbps": 5900000.0, "kv_hold_s": 5.0, "switch_s": 3.0,
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// eventsOf returns the number of events of a stream: between a few and maxEvents.
func eventsOf(id string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	u := float64(h.Sum64()%10000+1) / 10001
	return min(max(int(-meanEvents*math.Log(u)), 5), maxEvents)
}

// stop is one planned stop of a daemon.
type stop struct {
	d           *daemon
	term, ended time.Time
}

// stopCase stops the machines one after the other, again and again, under traffic.
func stopCase(f *fleet, trouble bool) (int, error) {
	f.configureStop()
	for _, stage := range []string{"prefill", "decode", "decode"} {
		t, err := f.addEngine("verdict-model", stage, 64)
		if err != nil {
			return exitNotRun, err
		}
		t.Set(func(b *standin.Behaviour) {
			b.Gap = eventGap
			if stage == "prefill" {
				b.Gap = 5 * time.Millisecond
			}
			b.EventCount = eventsOf
		})
	}
	for range stopMachines {
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
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		calls []*streamCall
		stops []*stop
	)
	begin := time.Now()
	length := warmTime + rolls*rollPeriod
	for client := range stopClients {
		wg.Go(func() {
			r := &resolver{f: f, patience: 1}
			if client%3 == 0 {
				r.patience = 3 // some keep an answer three times as long
			}
			rate := streamRate / stopClients // of one client
			gap := time.Duration(float64(time.Second) / rate)
			time.Sleep(gap * time.Duration(client) / stopClients)
			for n := 0; time.Since(begin) < length; n++ {
				if d := r.pick(n); d != nil {
					c := &streamCall{id: fmt.Sprintf("c%d-%d", client, n), d: d}
					wg.Go(func() {
						if err := c.run(); err != nil {
							r.failed(d)
						}
						f.record.add("client %s at %s: %s", c.id, d.name, c.text)
						mu.Lock()
						calls = append(calls, c)
						mu.Unlock()
					})
				}
				time.Sleep(gap)
			}
		})
	}
	for roll := range rolls {
		time.Sleep(time.Until(begin.Add(warmTime + time.Duration(roll)*rollPeriod)))
		for i, d := range f.daemons {
			if !trouble {
				break
			}
			if i > 0 {
				time.Sleep(stopGap)
			}
			s := &stop{d: d, term: time.Now()}
			stops = append(stops, s)
			f.record.add("%s gets SIGTERM", d.name)
			d.signal(syscall.SIGTERM)
			wg.Go(func() { f.restart(s) })
		}
	}
	wg.Wait()
	return f.judgeStop(calls, stops)
}

// restart starts a daemon again after it has ended, which it is made to after graceTime.
func (f *fleet) restart(s *stop) {
	select {
	case <-s.d.exited:
	case <-time.After(graceTime):
		f.record.add("%s gets SIGKILL", s.d.name)
		s.d.signal(syscall.SIGKILL)
		<-s.d.exited
	}
	s.ended = time.Now()
	f.record.add("%s has ended", s.d.name)
	time.Sleep(restartDelay)
	err := s.d.dropBootstrap()
	if err == nil {
		err = s.d.start()
	}
	if err != nil {
		f.record.add("%s can't be started: %v", s.d.name, err)
	}
}

// judgeStop applies the rule LOST to the requests that were sent more than 3 s after the
// SIGTERM of their machine.
func (f *fleet) judgeStop(calls []*streamCall, stops []*stop) (int, error) {
	whole, late, lost := 0, 0, 0
	for _, c := range calls {
		if c.whole {
			whole++
		}
		for _, s := range stops {
			if c.d != s.d || c.sent.IsZero() || c.sent.Sub(s.term) <= 3*time.Second || c.sent.After(s.ended) {
				continue
			}
			late++
			if !c.whole && c.status == http.StatusOK && c.ended.Sub(s.term) <= graceTime+time.Second && c.ended.Sub(c.sent) < streamLimit {
				lost++
				f.record.add("lost: %s was sent to %s %.3f s after its SIGTERM and cut %.3f s after it, at %d events of %d",
					c.id, c.d.name, c.sent.Sub(s.term).Seconds(), c.ended.Sub(s.term).Seconds(), c.events, eventsOf(c.id))
			}
		}
	}
	f.recordRuns()
	f.record.add("%d streams, %d whole; %d sent later than 3 s after a SIGTERM, %d of them lost", len(calls), whole, late, lost)
	if whole < 20 {
		return exitNotRun, errors.New("too few streams were answered")
	}
	if lost > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// resolver keeps a client's addresses as the users' page says.
type resolver struct {
	f        *fleet
	patience int // how many times the stated time an answer is kept

	mu    sync.Mutex
	list  []*daemon
	until time.Time
	bad   map[*daemon]bool
}

func (r *resolver) failed(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bad == nil {
		r.bad = make(map[*daemon]bool)
	}
	r.bad[d] = true
}

// pick returns a machine for the next request. An answer that is over is kept if no
// machine gives a new one.
func (r *resolver) pick(n int) *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.until) {
		for _, d := range r.f.daemons {
			list, ttl, err := resolve(d.resolve)
			if err != nil || len(list) == 0 {
				continue
			}
			r.list, r.bad = nil, nil
			for _, other := range r.f.daemons {
				for _, addr := range list {
					if addr == other.callers {
						r.list = append(r.list, other)
					}
				}
			}
			r.until = time.Now().Add(ttl * time.Duration(r.patience))
			break
		}
	}
	for i := range r.list {
		if d := r.list[(n+i)%len(r.list)]; !r.bad[d] {
			return d
		}
	}
	return nil
}

// run sends the stream on a new connection and reads it. The error says that the machine
// didn't answer.
func (c *streamCall) run() error {
	conn, err := net.DialTimeout("tcp", c.d.callers, time.Second)
	if err != nil {
		c.text = "no connection"
		return err
	}
	defer conn.Close()
	text := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Pomelospool-Model: m\r\nX-Pomelospool-Token-Counts: 220,10972\r\n"+
		"X-Pomelospool-Prompt-Prefix: 91bd3f06:79,%x:141\r\nContent-Length: 2\r\n\r\n{}", host, headerID, c.id, headerDeadline, streamLimit.Milliseconds(), c.id)
	if _, err := io.WriteString(conn, text); err != nil {
		c.text = "the request couldn't be written"
		return err
	}
	c.sent = time.Now()
	_ = conn.SetReadDeadline(c.sent.Add(streamLimit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.ended, c.text = time.Now(), "no answer: "+err.Error()
		return err
	}
	c.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	c.ended, c.whole = time.Now(), err == nil
	c.events = strings.Count(string(body), "\n\n")
	c.text = fmt.Sprintf("status %d, %d events, whole %v after %d ms", c.status, c.events, c.whole, c.ended.Sub(c.sent).Milliseconds())
	return nil
}
