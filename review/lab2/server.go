package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// crashAfter is how long a server works on a request that crashes it.
const crashAfter = 50 * time.Millisecond

// healthPath is the path of the servers' health checks.
const healthPath = "/healthz"

// server is a stand-in of a plain server, as PROTOCOL.md describes it.
type server struct {
	w           *world
	service, id string
	addr        string
	version     string
	born        int64 // 0: not stated
	slots       int
	work        time.Duration
	slow        string // prefix of paths whose requests take slowWork
	slowWork    time.Duration
	crashBody   string        // a request with this body crashes the server
	back        time.Duration // time until it is back then

	mu       sync.Mutex
	state    string
	seq      int
	http     *http.Server
	stopBeat chan struct{}
	ran      []run
	running  int // requests under slow
	starts   int
}

// run is a request that a server began to work on.
type run struct {
	at          time.Time
	id, path    string
	server, svc string
}

// newServer starts a server and registers it.
func (w *world) newServer(service, id string) (*server, error) {
	s := &server{w: w, service: service, id: id, version: "v1", slots: 6, work: 10 * time.Millisecond, state: "ready"}
	l, err := net.Listen("tcp", w.newIP()+":0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.listen(l)
	s.write()
	s.beat()
	w.closers = append(w.closers, s.stop)
	return s, nil
}

func (s *server) listen(l net.Listener) {
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	h := s.http
	go func() { _ = h.Serve(l) }()
}

// beat writes the entry at each heartbeat.
func (s *server) beat() {
	stop := make(chan struct{})
	s.mu.Lock()
	s.stopBeat = stop
	s.mu.Unlock()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				s.write()
			}
		}
	}()
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopBeat != nil {
		close(s.stopBeat)
		s.stopBeat = nil
	}
	_ = s.http.Close()
}

// write writes the server's entry, with all fields.
func (s *server) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": "a", "version": s.version, "slots": s.slots,
		"state": s.state, "cold_remaining_ms": 0, "seq": s.seq,
	}
	if s.born != 0 {
		entry["born"] = s.born
	}
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // maps of texts and numbers can always be encoded
	}
	s.w.store.Set("keyed.servers", s.id, data)
}

func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

// ServeHTTP answers requests and health checks.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Pomelospool-Request-Id")
	if id != "" {
		w.Header().Set("X-Pomelospool-Request-Id", id)
	}
	s.mu.Lock()
	own := s.id
	s.mu.Unlock()
	if want := req.Header.Get("X-Pomelospool-Expect-Instance"); want != "" && want != own {
		w.Header().Set("X-Pomelospool-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == healthPath {
		w.Header().Set("X-Pomelospool-Instance-Id", s.id)
		if s.current() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.ran = append(s.ran, run{at: time.Now(), id: id, path: req.URL.Path, server: s.id, svc: s.service})
	s.mu.Unlock()
	s.w.log("server %s of %s runs %s %s", s.id, s.service, id, req.URL.Path)
	if s.crashBody != "" && string(body) == s.crashBody {
		time.Sleep(crashAfter)
		s.outage(s.back)
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(req.URL.Path, streamPath) {
		s.serveStream(w, req, id)
		return
	}
	if s.slow != "" && strings.HasPrefix(req.URL.Path, s.slow) {
		s.addRunning(1)
		time.Sleep(s.slowWork)
		s.addRunning(-1)
	} else {
		time.Sleep(s.work)
	}
	w.Header().Set("X-Pomelospool-Response-Stamp", "stamp-"+s.id+"-"+id)
	_, _ = io.WriteString(w, fmt.Sprintf("%s answers %s", s.service, id))
}

func (s *server) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

// runningSlow returns the number of requests under slow that run now.
func (s *server) runningSlow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// runsOf returns the runs that match, in order.
func runsOf(servers []*server, match func(r run) bool) []run {
	var out []run
	for _, s := range servers {
		for _, r := range s.runs() {
			if match(r) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b run) int { return a.at.Compare(b.at) })
	return out
}

func (s *server) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}
