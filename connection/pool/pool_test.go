package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// countingServer is an HTTP server that counts its connections.
type countingServer struct {
	*httptest.Server
	conns atomic.Int32
}

func newCountingServer(t *testing.T, h http.HandlerFunc) *countingServer {
	c := &countingServer{}
	c.Server = httptest.NewUnstartedServer(h)
	c.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			c.conns.Add(1)
		}
	}
	c.Start()
	t.Cleanup(c.Close)
	return c
}

func (c *countingServer) addr() string { return c.Listener.Addr().String() }

func send(t *testing.T, p *Pool, addr string, reuse h1.Reuse) error {
	t.Helper()
	resp, err := p.Send(t.Context(), post(addr, "/", reuse))
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close(0)
	}
	return err
}

func post(addr, uri string, reuse h1.Reuse) *h1.Request {
	return &h1.Request{Addr: addr, Method: http.MethodPost, URI: uri, Host: addr, Body: []byte("body"), Reuse: reuse}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// Requests share a connection until a connection stalls; afterwards no request
// uses an old one. Requests that can't be retried share none.
func TestConnectionsReplaced(t *testing.T) {
	s := newCountingServer(t, echo)
	p := New(Options{})
	defer p.Close()
	steps := []struct {
		name string
		mode h1.Reuse
		do   func()
		want int32
	}{
		{"first", h1.ReuseIdle, nil, 1},
		{"shared", h1.ReuseIdle, nil, 1},
		{"fresh", h1.ReuseNever, nil, 2},
		{"fresh again", h1.ReuseNever, nil, 3},
		{"after silence", h1.ReuseIdle, func() { p.ReportStall(s.addr()); waitHealthy(t, p, s.addr()) }, 5},
	}
	for _, st := range steps {
		if st.do != nil {
			st.do()
		}
		if err := send(t, p, s.addr(), st.mode); err != nil {
			t.Fatal(st.name, err)
		}
		if n := s.conns.Load(); n != st.want {
			t.Errorf("%s: %d connections, want %d", st.name, n, st.want)
		}
	}
}

// Guards against the reuse of a connection that was busy with a stream when
// another connection to the same target stalled. It becomes idle when its stream
// ends, but may be dead, too.
func TestStallRetiresBusyConnection(t *testing.T) {
	reached, release := make(chan string, 1), make(chan struct{})
	s := newCountingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			reached <- r.RemoteAddr
			<-release
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	})
	p := New(Options{})
	defer p.Close()
	request := func(path string) string {
		resp, err := p.Send(t.Context(), post(s.addr(), path, h1.ReuseIdle))
		if err != nil {
			t.Error(err)
			return ""
		}
		defer resp.Close(0)
		from, _ := io.ReadAll(resp.Body)
		return string(from)
	}
	streamed := make(chan string)
	go func() { streamed <- request("/stream") }()
	old := <-reached
	p.ReportStall(s.addr())
	request("/")
	close(release)
	<-streamed
	for range 3 {
		if from := request("/"); from == old {
			t.Error("a request used a connection from before the stall")
		}
	}
}

const pollTimeout = time.Minute // limits the wait for a target to become healthy

func waitHealthy(t *testing.T, p *Pool, addr string) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(pollTimeout)
	for s := p.Status(addr); s.Suspect || s.Down; s = p.Status(addr) {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("%s stays unhealthy: %+v", addr, s)
		}
	}
}

// advance advances the virtual time of a synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

// Checks that the error of a failed request reports whether bytes were written.
func TestErrorReportsWritten(t *testing.T) {
	reset := newCountingServer(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	stopped := newCountingServer(t, echo)
	stopped.Close()
	p := New(Options{})
	defer p.Close()
	for _, tc := range []struct {
		name, addr string
		want       bool
	}{{"refused connection", stopped.addr(), false}, {"reset after reading", reset.addr(), true}} {
		err := send(t, p, tc.addr, h1.ReuseNever)
		var he *h1.Error
		if !errors.As(err, &he) || he.Written != tc.want {
			t.Errorf("%s: %+v", tc.name, err)
		}
		if got := errors.Is(err, h1.ErrConnect); got == tc.want {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}

// A target that refuses connections is probed until it recovers. OnDown is called
// once, however many requests fail on the target.
func TestTargetRecovers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	var downs atomic.Int32
	p := New(Options{ProbeInterval: time.Millisecond, OnDown: func(string, error) { downs.Add(1) }})
	defer p.Close()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { p.Verify(context.Background(), addr) })
	}
	wg.Wait()
	if !p.Status(addr).Down || downs.Load() != 1 {
		t.Fatalf("down %v, OnDown called %d times", p.Status(addr).Down, downs.Load())
	}
	l, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(echo)}
	go s.Serve(l)
	defer s.Close()
	waitHealthy(t, p, addr)
}

// SentSince counts the requests sent since a time, without older ones. A target
// with requests in flight is retained.
func TestSentSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		end := p.Begin("a", 10, 1)
		advance(time.Second)
		report := time.Now()
		p.Begin("a", 20, 2)
		advance(150 * time.Millisecond)
		p.Begin("a", 30, 3)
		if got := p.SentSince("a", report); got != (Sent{Count: 2, Prefill: 50, Decode: 5}) {
			t.Errorf("got %+v", got)
		}
		end()
		if n := p.Status("a").InFlight; n != 2 {
			t.Errorf("%d in flight", n)
		}
		advance(10 * time.Second)
		if got := p.SentSince("a", report); got != (Sent{}) {
			t.Errorf("much later: %+v", got)
		}
		p.Retain(nil)
		if len(p.targets) != 1 {
			t.Error("a target with requests in flight was removed")
		}
		p.Close()
	})
}

// Guards against a request that is retried before the crash of its target is
// reported. One crash breaks two requests. The first marks the target as down,
// and its call of OnDown is still running when the second verifies the target.
// If Verify returned then, the second request would be retried unsuspected on
// another target and, if it caused the crash, crash that one with its other
// requests.
func TestVerifyWaitsForOnDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		p := New(Options{
			Dial:   func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			OnDown: func(string, error) { <-release },
		})
		defer p.Close()
		var verified atomic.Int32
		for range 2 {
			go func() {
				p.Verify(t.Context(), "a:1")
				verified.Add(1)
			}()
			synctest.Wait()
		}
		if n := verified.Load(); n != 0 {
			t.Errorf("%d verified before OnDown returned", n)
		}
		close(release)
		synctest.Wait()
		if n := verified.Load(); n != 2 {
			t.Errorf("%d verified after OnDown returned, want 2", n)
		}
	})
}

// Guards against a prompt that crashes three engines instead of two. The first
// dial to an engine whose process is exiting is reset, since its accept queue is
// closed, and only the next one is refused. If only the reset is reported, it
// doesn't count as a crash.
func TestRefusalAfterResetIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		var reported []error
		p := New(Options{
			Dial: func(context.Context, string) (net.Conn, error) {
				if dials++; dials == 1 {
					return nil, syscall.ECONNRESET
				}
				return nil, syscall.ECONNREFUSED
			},
			OnDown: func(_ string, err error) { reported = append(reported, err) },
		})
		defer p.Close()
		p.ReportUnreachable("a:1", syscall.ECONNRESET) // another request's dial
		if !p.Verify(t.Context(), "a:1") {
			t.Error("Verify reports the target as alive")
		}
		if len(reported) != 2 || !errors.Is(reported[1], syscall.ECONNREFUSED) {
			t.Errorf("reported %v when Verify returned", reported)
		}
		p.ReportUnreachable("a:1", syscall.ECONNREFUSED)
		if len(reported) != 2 {
			t.Errorf("reported again: %v", reported)
		}
	})
}
