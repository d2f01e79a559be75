package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerID       = "X-Pomelospool-Request-Id"
	headerStamp    = "X-Pomelospool-Response-Stamp"
	headerDeadline = "X-Pomelospool-Deadline-Ms"
	headerExpect   = "X-Pomelospool-Expect-Instance"
	headerInstance = "X-Pomelospool-Instance-Id"
	headerNotRun   = "X-Pomelospool-Not-Executed"
	heartbeat      = 1200 * time.Millisecond
)

// server is a stand-in of a sound server of a plain service.
type server struct {
	f       *fleet
	id      string
	service string
	addr    string
	slots   chan struct{}
	work    func(req *http.Request) time.Duration
	http    *http.Server

	mu  sync.Mutex
	ran map[string]int // by request id
}

// addServer starts a server and registers it in the store, with a heartbeat.
func (f *fleet) addServer(service string, slots int, work func(req *http.Request) time.Duration) (*server, error) {
	n := len(f.servers) + 1
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.2.%d:0", n))
	if err != nil {
		return nil, err
	}
	s := &server{
		f: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, addr: l.Addr().String(),
		slots: make(chan struct{}, slots), work: work, ran: make(map[string]int),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, s)
	go func() { _ = s.http.Serve(l) }()
	s.announce(0)
	f.wg.Go(func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for seq := 1; ; seq++ {
			select {
			case <-f.stop:
				return
			case <-tick.C:
				s.announce(seq)
			}
		}
	})
	return s, nil
}

func (s *server) announce(seq int) {
	s.f.put("keyed.servers", s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": zone, "version": "v1", "slots": cap(s.slots), "state": "ready",
		"cold_remaining_ms": 0, "seq": seq,
	})
}

// ServeHTTP runs a request in a slot and answers it.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set(headerInstance, s.id)
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/healthz" {
		return
	}
	id := req.Header.Get(headerID)
	_, _ = io.Copy(io.Discard, req.Body)
	w.Header().Set(headerID, id)
	select {
	case s.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.f.record.add("server %s runs %s", s.id, id)
	select {
	case <-time.After(s.work(req)):
	case <-req.Context().Done():
		s.f.record.add("server %s: the connection of %s has closed", s.id, id)
		return
	}
	w.Header().Set(headerStamp, "stamp-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, answerTo(id))
}

// answerTo is the body of the answer to a request.
func answerTo(id string) string { return fmt.Sprintf(`{"answer":%q}`, id) }
