package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host     = "a.example"
	feedPath = "/feed/"
	bookPath = "/book/"
)

// foreignEntry: another writer writes entries without version, cold_remaining_ms and seq
// under the id of a server of the booking service, which name the feed service.
func foreignEntry(w *world, trouble bool) ([]string, error) {
	w.setConfig(plainConfig(3))
	var servers []*server
	for service, n := range map[string]int{"feed-api": 3, "booking-app": 3} {
		for i := range n {
			s, err := w.newServer(service, fmt.Sprintf("i-%s-%d", service, i+1))
			if err != nil {
				return nil, err
			}
			servers = append(servers, s)
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
	var wg sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	served := 0
	for c := range 8 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := range 150 {
				path, method, service := feedPath, http.MethodGet, "feed-api"
				if c%2 == 1 {
					path, method, service = bookPath, http.MethodPost, "booking-app"
				}
				id := fmt.Sprintf("c%d-%d", c, n)
				a := do(context.Background(), client, w.daemons[c%2].callers, method, path+"x", host, id, "", time.Second)
				w.log("client got for %s %s: %d %q %v", id, path, a.status, a.body, a.err)
				mu.Lock()
				if a.status == http.StatusOK {
					served++
					if !strings.HasPrefix(a.body, service+" ") {
						wrong = append(wrong, fmt.Sprintf("the client of %s on the route of %s got %q", id, service, a.body))
					}
				}
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	if trouble {
		for range 3 {
			time.Sleep(2 * time.Second)
			victim := servers[0]
			for _, s := range servers {
				if s.service == "booking-app" {
					victim = s
				}
			}
			entry := fmt.Sprintf(`{"service":"feed-api","address":%q,"zone":"a","slots":6,"state":"ready"}`, victim.addr)
			w.store.Set("keyed.servers", victim.id, []byte(entry))
			w.log("another writer writes servers/%s: %s", victim.id, entry)
		}
	}
	wg.Wait()
	if served < 500 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	var breaks []string
	for _, s := range servers {
		for _, r := range s.runs() {
			if s.service == "booking-app" && strings.HasPrefix(r.path, feedPath) || s.service == "feed-api" && strings.HasPrefix(r.path, bookPath) {
				breaks = append(breaks, fmt.Sprintf("ROUTE: server %s of %s ran %s %s", s.id, s.service, r.id, r.path))
			}
		}
	}
	return append(breaks, wrong...), nil
}

// plainConfig returns a configuration with a safe route to feed-api and an unsafe one to
// booking-app.
func plainConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "feed", "hostname": host, "path_prefix": feedPath, "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 150, "service": "feed-api", "max_attempts": 2, "priority": 2},
			{"name": "book", "hostname": host, "path_prefix": bookPath, "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 150, "service": "booking-app", "max_attempts": 1, "priority": 2},
		},
		"services": []map[string]any{
			{"name": "feed-api", "health_path": healthPath, "max_conns": 96},
			{"name": "booking-app", "health_path": healthPath, "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
