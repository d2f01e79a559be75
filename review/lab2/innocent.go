package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// outage crashes the server for the time. It is back under a new id.
func (s *server) outage(down time.Duration) {
	s.mu.Lock()
	if s.stopBeat == nil {
		s.mu.Unlock()
		return // it has crashed
	}
	close(s.stopBeat)
	s.stopBeat = nil
	_ = s.http.Close()
	old := s.id
	s.starts++
	s.mu.Unlock()
	s.w.log("server %s of %s crashes", old, s.service)
	time.AfterFunc(3*heartbeat, func() { // the store removes an entry after three heartbeat intervals of silence
		s.w.store.Withdraw(old)
		s.w.log("the store removes servers/%s", old)
	})
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			s.w.log("can't start again: %v", err)
			return
		}
		s.mu.Lock()
		s.id = fmt.Sprintf("%s-%d", old, s.starts)
		s.listen(l)
		s.mu.Unlock()
		s.beat()
		s.write()
		s.w.log("server %s of %s is back", s.id, s.service)
	})
}

// boardPath is the prefix of a route that a later configuration adds.
const boardPath = "/board/"

// innocent: all servers of a service crash at the same time and are back 4.5 s later, while
// many clients ask for the same harmless page of a route that was added later.
func innocent(w *world, trouble bool) ([]string, error) {
	first := plainConfig(3)
	w.setConfig(first)
	var feeders []*server
	for service, n := range map[string]int{"feed-api": 3, "booking-app": 3} {
		for i := range n {
			s, err := w.newServer(service, fmt.Sprintf("i-%s-%d", service, i+1))
			if err != nil {
				return nil, err
			}
			s.work = 30 * time.Millisecond
			if service == "feed-api" {
				feeders = append(feeders, s)
			}
		}
	}
	for _, zone := range []string{"a", "b"} {
		d, err := w.addDaemon(zone)
		if err != nil {
			return nil, err
		}
		if err := d.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	later := plainConfig(7)
	later["routes"] = append(later["routes"].([]map[string]any), map[string]any{
		"name": "board", "hostname": host, "path_prefix": boardPath, "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 150, "service": "feed-api", "max_attempts": 2, "priority": 2,
	})
	w.setConfig(later)
	time.Sleep(3 * time.Second)

	const (
		crashAt = 4 * time.Second
		down    = 4500 * time.Millisecond
		// The servers are back and registered, and nothing was disturbed for four times
		// stable_window_ms, when the count begins.
		countFrom = crashAt + down + 12*time.Second
		length    = countFrom + 15*time.Second
	)
	type count struct{ asked, served int }
	var mu sync.Mutex
	counts := map[string]*count{feedPath: {}, bookPath: {}, boardPath: {}}
	early := map[string]*count{feedPath: {}, bookPath: {}, boardPath: {}} // before the crash
	begun := time.Now()
	var wg sync.WaitGroup
	client := func(n int, method, prefix, path string) {
		c := &http.Client{Transport: &http.Transport{}}
		for i := 0; time.Since(begun) < length; i++ {
			id, at := fmt.Sprintf("c%d-%d", n, i), time.Since(begun)
			p := path
			if p == "" {
				p = fmt.Sprintf("%s%d-%d", prefix, n, i) // a page of its own
			}
			a := do(context.Background(), c, w.daemons[n%2].callers, method, p, host, id, "", time.Second)
			w.log("client got for %s %s: %d %.80q %v", id, p, a.status, a.body, a.err)
			mu.Lock()
			for _, c := range []struct {
				to *count
				in bool
			}{{early[prefix], at < crashAt}, {counts[prefix], at >= countFrom}} {
				if c.in {
					c.to.asked++
					if a.status == http.StatusOK {
						c.to.served++
					}
				}
			}
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
		}
	}
	for n := range 24 {
		wg.Go(func() { client(n, http.MethodGet, boardPath, boardPath+"main") })
	}
	for n := range 4 {
		wg.Go(func() { client(100+n, http.MethodGet, feedPath, "") })
		wg.Go(func() { client(200+n, http.MethodPost, bookPath, "") })
	}
	time.Sleep(time.Until(begun.Add(crashAt)))
	if trouble {
		for _, s := range feeders {
			s.outage(down)
		}
	}
	wg.Wait()
	for _, p := range []string{feedPath, bookPath, boardPath} {
		w.log("route %s: before the crash %d of %d served, in steady state after it %d of %d", p, early[p].served, early[p].asked, counts[p].served, counts[p].asked)
		if early[p].asked < 20 || early[p].served*2 < early[p].asked {
			return nil, fmt.Errorf("route %s: only %d of %d were served before the crash", p, early[p].served, early[p].asked)
		}
	}
	added := counts[boardPath]
	asked, served := counts[feedPath].asked+counts[bookPath].asked, counts[feedPath].served+counts[bookPath].served
	if added.asked >= 20 && float64(added.served)/float64(added.asked) < 0.25*float64(served)/float64(asked) {
		return []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on the added route were served, and %d of %d on the first routes", added.served, added.asked, served, asked)}, nil
	}
	return nil, nil
}
