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
	streamEvents  = 120
	eventInterval = 100 * time.Millisecond
	streamTimeout = 15 * time.Second
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

// takeUps: clients lose their connections and take their streams up again 6 s later, while
// servers of two versions serve. With the trouble all daemons are killed when they lose them.
func takeUps(w *world, trouble bool) ([]string, error) {
	c := plainConfig(3)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "stream", "hostname": host, "path_prefix": streamPath, "kind": "streaming", "resumable": true, "timeout_ms": streamTimeout.Milliseconds(), "target_latency_ms": 500, "target_gap_ms": 300, "service": "stream-api", "max_attempts": 2, "priority": 1,
	})
	c["services"] = append(c["services"].([]map[string]any), map[string]any{"name": "stream-api", "health_path": healthPath, "max_conns": 200})
	w.setConfig(c)
	for i := range 6 {
		s, err := w.newServer("stream-api", fmt.Sprintf("i-stream-%d", i+1))
		if err != nil {
			return nil, err
		}
		s.slots = 64
		if i%2 == 1 {
			s.version = "v2"
		}
		s.write()
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

	const clients = 40
	streams := make([]*clientStream, clients)
	lost, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := time.Now()
	var wg sync.WaitGroup
	for n := range clients {
		streams[n] = &clientStream{versions: make(map[string]bool)}
		wg.Go(func() {
			id := fmt.Sprintf("s%d-0", n)
			streams[n].try(lost, w.daemons[n%3].callers, fmt.Sprint(streamPath, n), id, streamTimeout)
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, d := range w.daemons {
			d.stopped = true
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
		}
		w.log("all daemons are killed")
	}
	w.log("the clients lose their connections")
	cancel()
	wg.Wait()
	broken := time.Now()
	if trouble {
		for _, d := range w.daemons {
			<-d.done
		}
		time.Sleep(500 * time.Millisecond)
		for _, d := range w.daemons {
			if err := w.restart(d); err != nil {
				return nil, err
			}
		}
		for _, d := range w.daemons {
			if err := d.awaitReady(4 * time.Second); err != nil {
				return nil, err
			}
		}
		w.log("all daemons are ready again, %v after the kill", time.Since(broken).Round(time.Millisecond))
		if time.Since(broken) > 2*time.Second {
			return nil, fmt.Errorf("the daemons were ready only %v after the kill", time.Since(broken))
		}
	}
	time.Sleep(time.Until(broken.Add(6 * time.Second))) // in touch for over stable_window_ms

	var mu sync.Mutex
	tried, went, fresh, began := 0, 0, 0, 0
	for n := range clients {
		wg.Go(func() { // the client takes its stream up, once more after a refusal
			st := streams[n]
			if st.last == 0 {
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
