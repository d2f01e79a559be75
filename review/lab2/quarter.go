package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// tickPath is the prefix of a route that a later configuration adds.
const tickPath = "/tick/"

// quarter: a quarter of a service's servers crash for 2 s while each of them runs the same
// harmless request, which twelve clients send at the beginning of each second.
func quarter(w *world, trouble bool) ([]string, error) {
	w.setConfig(plainConfig(3))
	var bookers []*server
	for service, n := range map[string]int{"feed-api": 3, "booking-app": 12} {
		for i := range n {
			s, err := w.newServer(service, fmt.Sprintf("i-%s-%d", service, i+1))
			if err != nil {
				return nil, err
			}
			s.work = 30 * time.Millisecond
			if service == "booking-app" {
				bookers = append(bookers, s)
				s.slow, s.slowWork = tickPath, 500*time.Millisecond
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
		"name": "tick", "hostname": host, "path_prefix": tickPath, "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 600, "service": "booking-app", "max_attempts": 1, "priority": 2,
	})
	w.setConfig(later)
	time.Sleep(3 * time.Second)

	const (
		crashAt   = 5*time.Second + 150*time.Millisecond
		down      = 2 * time.Second
		countFrom = 20 * time.Second
		length    = 35 * time.Second
	)
	type count struct{ asked, served int }
	var mu sync.Mutex
	early, counts := map[string]*count{feedPath: {}, bookPath: {}, tickPath: {}}, map[string]*count{feedPath: {}, bookPath: {}, tickPath: {}}
	begun := time.Now()
	var wg sync.WaitGroup
	client := func(n int, method, prefix, body string, every, at time.Duration) {
		c := &http.Client{Transport: &http.Transport{}}
		for i := 0; at < length; i++ {
			time.Sleep(time.Until(begun.Add(at)))
			id, path := fmt.Sprintf("c%d-%d", n, i), prefix+"all"
			if body == "" {
				path = prefix + id
			}
			a := do(context.Background(), c, w.daemons[n%2].callers, method, path, host, id, body, time.Second)
			w.log("client got for %s %s: %d %.80q %v", id, path, a.status, a.body, a.err)
			mu.Lock()
			to := early[prefix]
			if at >= countFrom {
				to = counts[prefix]
			}
			if at < crashAt-time.Second || at >= countFrom {
				to.asked++
				if a.status == http.StatusOK {
					to.served++
				}
			}
			mu.Unlock()
			at += every
		}
	}
	for n := range 12 {
		wg.Go(func() { client(n, http.MethodPost, tickPath, "{}", time.Second, 0) })
	}
	for n := range 4 {
		wg.Go(func() { client(100+n, http.MethodGet, feedPath, "", 100*time.Millisecond, 0) })
		wg.Go(func() { client(200+n, http.MethodPost, bookPath, "", 100*time.Millisecond, 0) })
	}
	time.Sleep(time.Until(begun.Add(crashAt)))
	if trouble {
		slices.SortStableFunc(bookers, func(a, b *server) int { return b.runningSlow() - a.runningSlow() })
		for _, s := range bookers[:len(bookers)/4] {
			s.outage(down)
		}
	}
	wg.Wait()
	for _, p := range []string{feedPath, bookPath, tickPath} {
		w.log("route %s: before the crash %d of %d served, in steady state after it %d of %d", p, early[p].served, early[p].asked, counts[p].served, counts[p].asked)
		if early[p].asked < 20 || early[p].served*2 < early[p].asked {
			return nil, fmt.Errorf("route %s: only %d of %d were served before the crash", p, early[p].served, early[p].asked)
		}
	}
	added := counts[tickPath]
	asked, served := counts[feedPath].asked+counts[bookPath].asked, counts[feedPath].served+counts[bookPath].served
	if added.asked >= 20 && float64(added.served)/float64(added.asked) < 0.25*float64(served)/float64(asked) {
		return []string{fmt.Sprintf("CONFIG: in steady state %d of %d requests on the added route were served, and %d of %d on the first routes", added.served, added.asked, served, asked)}, nil
	}
	return nil, nil
}
