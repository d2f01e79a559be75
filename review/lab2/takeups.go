package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamPath is the prefix of a resumable streaming route.
const streamPath = "/stream/"

const (
	streamEvents  = 180
	eventInterval = 100 * time.Millisecond
	streamTimeout = 20 * time.Second
)

// serveStream answers with events that name the server's version, from Last-Event-Id on.
func (s *server) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Pomelospool-Response-Stamp", "stamp-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := from + 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d by %s\n\n", n, n, s.version)
		if http.NewResponseController(w).Flush() != nil || req.Context().Err() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// clientStream is what a client has of one stream, over its tries.
type clientStream struct {
	first    string // id of the try that brought the first event
	last     int    // id of the last event
	versions map[string]bool
}

// try sends one try of a stream and reads events until the stream or ctx ends. It returns
// the status, 0 for none, and whether the stream is whole.
func (st *clientStream) try(ctx context.Context, addr, path, id string, left time.Duration) (status int, whole bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader("{}"))
	if err != nil {
		return 0, false
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Pomelospool-Request-Id", id)
	req.Header.Set("X-Pomelospool-Deadline-Ms", fmt.Sprint(left.Milliseconds()))
	if st.last > 0 {
		req.Header.Set("Resumes", st.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(st.last))
	}
	resp, err := (&http.Transport{}).RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, false
	}
	lines := bufio.NewScanner(resp.Body)
	event := 0
	for lines.Scan() {
		if v, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ = strconv.Atoi(v)
		}
		if _, version, ok := strings.Cut(lines.Text(), " by "); ok {
			if st.first == "" {
				st.first = id
			}
			st.last, st.versions[version] = event, true
		}
	}
	return http.StatusOK, lines.Err() == nil && st.last == streamEvents
}

// takeUpsAfterKill: the trouble is that all daemons are killed at the same moment.
func takeUpsAfterKill(w *world, trouble bool) ([]string, error) {
	return takeUps(w, trouble, func(cut func()) error {
		for _, d := range w.daemons {
			d.stopped = true
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
		}
		w.log("all daemons are killed")
		cut()
		for _, d := range w.daemons {
			<-d.done
		}
		time.Sleep(restartDelay)
		for _, d := range w.daemons {
			if err := w.restart(d); err != nil {
				return err
			}
		}
		return nil
	})
}

// takeUpsAfterRoll: the trouble is planned work only: the daemons are stopped and started in
// turn, a second apart.
func takeUpsAfterRoll(w *world, trouble bool) ([]string, error) {
	return takeUps(w, trouble, func(cut func()) error {
		errs := make(chan error, len(w.daemons))
		for i, d := range w.daemons {
			if i > 0 {
				time.Sleep(time.Second)
			}
			d.stopped = true
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
			w.log("SIGTERM to %s", d.name)
			go func() {
				select {
				case <-d.done:
					w.log("%s has ended", d.name)
				case <-time.After(graceTime):
					w.log("%s is killed at the end of the grace time", d.name)
					_ = d.cmd.Process.Kill()
					<-d.done
				}
				time.Sleep(restartDelay)
				errs <- w.restart(d)
			}()
		}
		for range w.daemons {
			if err := <-errs; err != nil {
				return err
			}
		}
		cut()
		return nil
	})
}

// takeUpsInRelease: one of the daemons is killed a second before servers of a new version
// join. Only its streams break off.
func takeUpsInRelease(w *world, trouble bool) ([]string, error) {
	return playTakeUps(w, trouble, takeUpPlan{oneVersion: true, clients: 60, restart: func(cut func()) error {
		d := w.daemons[0]
		d.stopped = true
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		w.log("%s is killed", d.name)
		<-d.done
		time.Sleep(restartDelay)
		return w.restart(d)
	}})
}

const (
	restartDelay = 500 * time.Millisecond
	graceTime    = 8 * time.Second
)

// takeUps plays with two versions from the beginning.
func takeUps(w *world, trouble bool, restart func(cut func()) error) ([]string, error) {
	return playTakeUps(w, trouble, takeUpPlan{clients: 40, restart: restart})
}

// takeUpPlan is what differs between the cases. restart restarts daemons; cut makes the
// clients lose the connections that they still have.
type takeUpPlan struct {
	oneVersion bool // the second version joins after restart
	clients    int
	restart    func(cut func()) error
}

// playTakeUps: streams break off, and clients take them up again once all daemons are in touch,
// while servers of two versions serve.
func playTakeUps(w *world, trouble bool, plan takeUpPlan) ([]string, error) {
	c := plainConfig(3)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "stream", "hostname": host, "path_prefix": streamPath, "kind": "streaming", "resumable": true, "timeout_ms": streamTimeout.Milliseconds(), "target_latency_ms": 500, "target_gap_ms": 300, "service": "stream-api", "max_attempts": 2, "priority": 1,
	})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "stream-api", "health_path": healthPath, "max_conns": 200})
	w.setConfig(c)
	add := func(i int, version string) error {
		s, err := w.newServer("stream-api", fmt.Sprintf("i-stream-%d", i))
		if err != nil {
			return err
		}
		s.slots, s.version = 64, version
		s.write()
		w.log("server %s of %s starts, version %s", s.id, s.service, s.version)
		return nil
	}
	for i := range 6 {
		version := "v1"
		if i%2 == 1 && !plan.oneVersion {
			version = "v2"
		}
		if err := add(i, version); err != nil {
			return nil, err
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		d, err := w.addDaemon(zone)
		if err != nil {
			return nil, err
		}
		if err := d.awaitReady(15 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second) // both versions are known everywhere

	clients := plan.clients
	streams := make([]*clientStream, clients)
	lost, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := time.Now()
	var wg sync.WaitGroup
	for n := range clients {
		streams[n] = &clientStream{versions: make(map[string]bool)}
		wg.Go(func() {
			id := fmt.Sprintf("s%d-0", n)
			_, whole := streams[n].try(lost, w.daemons[n%3].callers, fmt.Sprint(streamPath, n), id, streamTimeout)
			w.log("stream %d ended after event %d, whole %t", n, streams[n].last, whole)
		})
	}
	time.Sleep(time.Second)
	if trouble {
		if err := plan.restart(cancel); err != nil {
			return nil, err
		}
	} else if !plan.oneVersion {
		time.Sleep(4 * time.Second)
		cancel()
	}
	if plan.oneVersion {
		time.Sleep(time.Second)
		for i := range 2 {
			if err := add(10+i, "v2"); err != nil {
				return nil, err
			}
		}
		if !trouble {
			cancel() // all clients drop their connections
		}
		time.Sleep(200 * time.Millisecond)
	} else {
		wg.Wait()
	}
	started := time.Now()
	for _, d := range w.daemons {
		if err := d.awaitReady(2 * time.Second); err != nil {
			return nil, err
		}
	}
	wait := stableWindow + 200*time.Millisecond
	if plan.oneVersion {
		wait = time.Second // two daemons were in touch all the time
	}
	time.Sleep(time.Until(started.Add(wait)))
	w.log("the clients take their streams up")
	if left := streamTimeout - time.Since(begun); left < 3*time.Second {
		return nil, fmt.Errorf("the clients have only %v left", left)
	}

	open := make([]bool, clients) // streams that still run
	for n := range clients {
		open[n] = plan.oneVersion && trouble && n%3 != 0
	}
	var mu sync.Mutex
	tried, went, fresh, began := 0, 0, 0, 0
	for n := range clients {
		wg.Go(func() { // the client takes its stream up, once more after a refusal
			st := streams[n]
			if open[n] || st.last == 0 || st.last == streamEvents {
				return
			}
			before := st.last
			for k := range 2 {
				status, whole := st.try(context.Background(), w.daemons[(n+1+k)%3].callers, fmt.Sprint(streamPath, n), fmt.Sprintf("s%d-%d", n, k+1), streamTimeout-time.Since(begun))
				w.log("take-up %d of stream %d after event %d: status %d, now at event %d, whole %t, versions %v", k+1, n, before, status, st.last, whole, st.versions)
				if status == http.StatusOK {
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			tried++
			if st.last > before {
				went++
			}
		})
		wg.Go(func() { // a new stream
			st := &clientStream{versions: make(map[string]bool)}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			st.try(ctx, w.daemons[n%3].callers, fmt.Sprint(streamPath, "new-", n), fmt.Sprintf("n%d-0", n), streamTimeout)
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if st.last > 0 {
				began++
			}
		})
	}
	wg.Wait()
	cancel()
	joined := 0
	for _, st := range streams {
		if len(st.versions) > 1 {
			joined++
		}
	}
	w.log("%d of %d streams that were taken up went on, %d of %d new ones began, %d hold events of two versions", went, tried, began, fresh, joined)
	if tried < 12 || began*2 < fresh {
		return nil, fmt.Errorf("%d streams were taken up, %d of %d new ones began", tried, began, fresh)
	}
	var breaks []string
	if float64(went)/float64(tried) < 0.5*float64(began)/float64(fresh) {
		breaks = append(breaks, fmt.Sprintf("LOST: %d of %d streams that were taken up went on, %d of %d new ones began", went, tried, began, fresh))
	}
	if joined > 2 {
		breaks = append(breaks, fmt.Sprintf("ORDER: %d streams hold events of two versions", joined))
	}
	return breaks, nil
}
