package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the reset case.
const (
	resetLength  = 40 * time.Second
	resetClients = 8
	resetBody    = 4_000_000 // bytes of a request, below max_body_bytes
	resetAnswer  = 2000      // bytes of an answer
	readBefore   = 1000      // bytes of a body that a server reads before it answers early
	garbledShare = 50        // of this many answers one ends with a reset, less than x of garble
	serverBuffer = 16 << 10  // receive buffer of a server's connections
)

// rawServer is a stand-in of a server that writes its answers itself. Its answers have no
// length and end with their connections. One of garbledShare answers begins before the
// body was read, and its connection is reset halfway.
type rawServer struct {
	f       *fleet
	id      string
	l       net.Listener
	trouble bool

	mu  sync.Mutex
	n   int
	ran map[string]string // how the answer to each request ended
}

func (f *fleet) addRawServer(service string, trouble bool) (*rawServer, error) {
	n := len(f.raw) + 1
	control := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverBuffer)
		})
	}
	lc := net.ListenConfig{Control: control}
	l, err := lc.Listen(f.ctx, "tcp", fmt.Sprintf("127.0.4.%d:0", n))
	if err != nil {
		return nil, err
	}
	s := &rawServer{f: f, id: fmt.Sprintf("i-%08x", 0x5c1e0000+n), l: l, trouble: trouble, ran: make(map[string]string)}
	f.raw = append(f.raw, s)
	f.wg.Go(func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go s.serve(c)
			}
		}
	})
	announce := func(seq int) {
		f.put("keyed.servers", s.id, map[string]any{
			"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq": seq,
		})
	}
	announce(0)
	f.wg.Go(func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for seq := 1; ; seq++ {
			select {
			case <-f.stop:
				_ = l.Close()
				return
			case <-tick.C:
				announce(seq)
			}
		}
	})
	return s, nil
}

// serve answers one request.
func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 4096)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	id := req.Header.Get(headerID)
	if want := req.Header.Get(headerExpect); want != "" && want != s.id {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	if id == "" { // a health check
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerInstance, s.id)
		return
	}
	s.mu.Lock()
	s.n++
	garbled := s.trouble && s.n%garbledShare == 0
	s.mu.Unlock()
	length := int64(resetBody)
	if garbled {
		length = readBefore
	}
	if _, err := io.CopyN(io.Discard, req.Body, length); err != nil {
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s-%s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, s.id, id)
	body := rawAnswer(id)
	if !garbled {
		_, _ = io.WriteString(c, head+body)
		s.record(id, "whole, %d bytes", len(body))
		return
	}
	_, _ = io.WriteString(c, head+body[:len(body)/2])
	time.Sleep(100 * time.Millisecond)
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // resets the connection
	}
	s.record(id, "reset after %d bytes of %d", len(body)/2, len(body))
}

func (s *rawServer) record(id, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.ran[id] = text
	s.mu.Unlock()
	s.f.record.add("server %s runs %s, its answer: %s", s.id, id, text)
}

// rawAnswer is the body of a server's whole answer.
func rawAnswer(id string) string { return id + strings.Repeat("x", resetAnswer-len(id)) }

// upload is a request of a client.
type upload struct {
	id     string
	status int
	whole  bool // the answer was complete for the client
	body   string
	text   string
}

// resetCase sends long requests to servers of which some answers are reset halfway.
func resetCase(f *fleet, trouble bool) (int, error) {
	f.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-rework-book", "hostname": host, "path_prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 2, "service": "job-desk", "max_attempts": 1,
		}},
		"services": []any{map[string]any{"name": "job-desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for range 4 {
		if _, err := f.addRawServer("job-desk", trouble); err != nil {
			return exitNotRun, err
		}
	}
	for range 2 {
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
		calls []*upload
	)
	begin := time.Now()
	for client := range resetClients {
		wg.Go(func() {
			for n := 0; time.Since(begin) < resetLength; n++ {
				u := &upload{id: fmt.Sprintf("book-%d-%d", client, n)}
				u.run(f.daemons[(client+n)%len(f.daemons)].callers)
				f.record.add("client %s: %s", u.id, u.text)
				mu.Lock()
				calls = append(calls, u)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return f.judgeReset(calls)
}

// judgeReset applies the rule MIXED: a success must have the server's whole body.
func (f *fleet) judgeReset(calls []*upload) (int, error) {
	good, wrong, garbled := 0, 0, 0
	for _, s := range f.raw {
		s.mu.Lock()
		for _, text := range s.ran {
			if strings.HasPrefix(text, "reset") {
				garbled++
			}
		}
		s.mu.Unlock()
	}
	for _, u := range calls {
		switch {
		case u.status != http.StatusOK || !u.whole:
		case u.body == rawAnswer(u.id):
			good++
		default:
			wrong++
			f.record.add("wrong: %s got a complete 200 with %d bytes of %d", u.id, len(u.body), resetAnswer)
		}
	}
	f.record.add("%d requests, %d whole answers, %d answers reset halfway, %d of them given to the client as complete", len(calls), good, garbled, wrong)
	switch {
	case good < 100:
		return exitNotRun, errors.New("too few requests were answered")
	case wrong > 0:
		return exitBroken, nil
	}
	return exitHeld, nil
}

// run sends the request on a new connection and reads the answer.
func (u *upload) run(addr string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		u.text = "no connection"
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	head := "POST /puxa403/2f HTTP/1.1\r\nHost: " + host + "\r\n" + headerID + ": " + u.id + "\r\n" + headerDeadline + ": 3000\r\nContent-Length: " + strconv.Itoa(resetBody) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+strings.Repeat("b", resetBody)); err != nil {
		u.text = "the request couldn't be written"
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		u.text = "no answer"
		return
	}
	u.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	u.body, u.whole = string(data), err == nil
	u.text = fmt.Sprintf("status %d, %d bytes, stamp %t, complete %t", u.status, len(data), resp.Header.Get(headerStamp) != "", u.whole)
}
