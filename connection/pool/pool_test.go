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

// counted is a server that counts its connections.
type counted struct {
	*httptest.Server
	conns atomic.Int32
}

func newCounted(t *testing.T, h http.HandlerFunc) *counted {
	c := &counted{}
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

func (c *counted) addr() string { return c.Listener.Addr().String() }

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

func answer(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// TestConnectionsReplaced: requests share a connection until one went silent;
// then none goes on an old one. Calls that can't be repeated share none.
func TestConnectionsReplaced(t *testing.T) {
	s := newCounted(t, answer)
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

// TestBusyConnectionIsRetiredToo: a connection carries a stream while another
// one to the same target goes silent. Once its stream is over it is idle, and
// may be as dead as the other: it must take no request any more.
func TestBusyConnectionIsRetiredToo(t *testing.T) {
	reached, release := make(chan string, 1), make(chan struct{})
	s := newCounted(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			reached <- r.RemoteAddr
			<-release
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	})
	p := New(Options{})
	defer p.Close()
	ask := func(path string) string {
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
	go func() { streamed <- ask("/stream") }()
	old := <-reached
	p.ReportStall(s.addr())
	ask("/")
	close(release)
	<-streamed
	for range 3 {
		if from := ask("/"); from == old {
			t.Error("a request went over a connection from before the silence")
		}
	}
}

const pollLimit = time.Minute // stops a poll for a target that stays unwell

func waitHealthy(t *testing.T, p *Pool, addr string) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(pollLimit)
	for s := p.Status(addr); s.Suspect || s.Down; s = p.Status(addr) {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("%s stays as %+v", addr, s)
		}
	}
}

// advance lets virtual time pass, in a synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

// TestWrittenProof: what a failed request proves about its bytes.
func TestWrittenProof(t *testing.T) {
	reset := newCounted(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	gone := newCounted(t, answer)
	gone.Close()
	p := New(Options{})
	defer p.Close()
	for _, tc := range []struct {
		name, addr string
		want       bool
	}{{"refused connection", gone.addr(), false}, {"reset after reading", reset.addr(), true}} {
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

// TestDownAndBack: a target refuses connections, is probed, and comes back.
// The death is told once, however many requests meet it.
func TestDownAndBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	var told atomic.Int32
	p := New(Options{ProbeInterval: time.Millisecond, OnDown: func(string, error) { told.Add(1) }})
	defer p.Close()
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { p.Verify(context.Background(), addr) })
	}
	wg.Wait()
	if !p.Status(addr).Down || told.Load() != 1 {
		t.Fatalf("down %v, told %d times", p.Status(addr).Down, told.Load())
	}
	l, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(answer)}
	go s.Serve(l)
	defer s.Close()
	waitHealthy(t, p, addr)
}

// TestSentSince: what was sent since a report counts, older things don't, and
// the memory of a target stays as it is.
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
			t.Error("a target with requests in flight was forgotten")
		}
		p.Close()
	})
}

// TestVerifyWaitsForTheWord: one death breaks two requests. The first marks
// the target as down and is still telling of the death when the second
// verifies it. Were the second told at once, it would go to another target as
// innocent, and if it is the cause, with others, crash that one beside them.
func TestVerifyWaitsForTheWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		telling := make(chan struct{})
		p := New(Options{
			Dial:   func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			OnDown: func(string, error) { <-telling },
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
			t.Errorf("%d verified before the death was told", n)
		}
		close(telling)
		synctest.Wait()
		if n := verified.Load(); n != 2 {
			t.Errorf("%d verified after the death was told, want 2", n)
		}
	})
}

// A prompt crashes three engines instead of two. The first dial to an engine
// whose process is ending is reset, as the accept queue is closed, and only the
// next one is refused. The reset alone was told of, which counts as no death.
func TestDeathAfterAResetIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		var told []error
		p := New(Options{
			Dial: func(context.Context, string) (net.Conn, error) {
				if dials++; dials == 1 {
					return nil, syscall.ECONNRESET
				}
				return nil, syscall.ECONNREFUSED
			},
			OnDown: func(_ string, err error) { told = append(told, err) },
		})
		defer p.Close()
		p.ReportUnreachable("a:1", syscall.ECONNRESET) // another request's dial
		if !p.Verify(t.Context(), "a:1") {
			t.Error("the target counts as alive")
		}
		if len(told) != 2 || !errors.Is(told[1], syscall.ECONNREFUSED) {
			t.Errorf("told of %v as Verify returned", told)
		}
		p.ReportUnreachable("a:1", syscall.ECONNREFUSED)
		if len(told) != 2 {
			t.Errorf("told again: %v", told)
		}
	})
}
