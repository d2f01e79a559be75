package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	poison       = "a body that crashes servers"
	stableWindow = 3 * time.Second
)

// forgotten: a request that crashes the servers that run it comes again, before and after
// all daemons were killed at the same moment.
func forgotten(w *world, trouble bool) ([]string, error) {
	w.setConfig(plainConfig(3))
	var servers []*server
	for service, n := range map[string]int{"feed-api": 3, "booking-app": 4} {
		for i := range n {
			s, err := w.newServer(service, fmt.Sprintf("i-%s-%d", service, i+1))
			if err != nil {
				return nil, err
			}
			s.crashBody, s.back = poison, 2*time.Second
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
	time.Sleep(stableWindow)

	begun := time.Now()
	const (
		killAt = 16 * time.Second
		length = 50 * time.Second
		every  = 4500 * time.Millisecond // between two pairs of the request
	)
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, served := 0, 0
	for n := range 6 { // usual traffic
		wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			for i := 0; time.Since(begun) < length; i++ {
				id, method, prefix := fmt.Sprintf("c%d-%d", n, i), http.MethodGet, feedPath
				if n%2 == 1 {
					method, prefix = http.MethodPost, bookPath
				}
				a := do(context.Background(), c, w.daemons[n%2].callers, method, prefix+id, host, id, "", time.Second)
				mu.Lock()
				asked++
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	running := make(chan struct{}) // closed once the daemons run after the kill
	for n := range 2 {             // two machines get the request at a time
		wg.Go(func() {
			for i := 0; time.Since(begun) < length; i++ {
				if trouble && time.Since(begun) > killAt-every {
					<-running
				}
				id := fmt.Sprintf("p%d-%d", n, i)
				c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				a := do(context.Background(), c, w.daemons[n].callers, http.MethodPost, bookPath+"p", host, id, poison, time.Second)
				w.log("client got for %s, which crashes servers: %d %.100q %v", id, a.status, a.body, a.err)
				time.Sleep(every)
			}
		})
	}
	var inTouch time.Time
	if trouble {
		time.Sleep(time.Until(begun.Add(killAt)))
		for _, d := range w.daemons {
			d.stopped = true
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
		}
		w.log("all daemons are killed")
		for _, d := range w.daemons {
			<-d.done
		}
		time.Sleep(2 * time.Second)
		for _, d := range w.daemons {
			if err := w.restart(d); err != nil {
				return nil, err
			}
		}
		for _, d := range w.daemons {
			if err := d.awaitReady(10 * time.Second); err != nil {
				return nil, err
			}
		}
		inTouch = time.Now().Add(stableWindow)
		time.Sleep(stableWindow + time.Second)
		w.log("all daemons are in touch again")
		close(running)
	}
	wg.Wait()

	crashes := runsOf(servers, func(r run) bool { return r.id[0] == 'p' })
	if len(crashes) < 3 || served*2 < asked {
		return nil, fmt.Errorf("%d crashes, %d of %d usual requests served", len(crashes), served, asked)
	}
	counted := 0
	for _, r := range crashes[3:] {
		if r.at.After(crashes[2].at.Add(stableWindow)) && r.at.After(inTouch) {
			counted++
		}
	}
	w.log("%d crashes in all, %d of them counted", len(crashes), counted)
	if counted > 3 {
		return []string{fmt.Sprintf("BUDGET: the request reached servers %d times, by machines in touch, later than %v after it had crashed the third (%d crashes in all)", counted, stableWindow, len(crashes))}, nil
	}
	return nil, nil
}
