package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	targets "github.com/pomelospool/pomelospool/standin"
)

const (
	// noticeTime is the time in which targets must stop after a caller has left.
	noticeTime = 500 * time.Millisecond
	// segmentTime is the time between two writes of a caller that a daemon reads apart.
	segmentTime = 50 * time.Millisecond
	// stillTime is how long a process stands still after its callers have left.
	stillTime = 1200 * time.Millisecond
)

// departure is how a caller sends a request and leaves.
type departure struct {
	body      int    // bytes
	early     string // sent behind the request, in a segment of its own; NEXT stands for another request
	reset     bool   // the connection is reset, not closed
	stopped   bool   // the daemons stand still from before the request to after the close
	terminate bool   // a planned stop of the daemons begins meanwhile
}

var departures = map[string]departure{
	"close":                   {},
	"reset":                   {reset: true},
	"next request":            {early: "NEXT"},
	"next request, reset":     {early: "NEXT", reset: true},
	"empty line":              {early: "\r\n"},
	"large body":              {body: 300 << 10},
	"empty line behind body":  {body: 300 << 10, early: "\r\n"},
	"stopped daemon":          {stopped: true},
	"stopped daemon, reset":   {stopped: true, reset: true},
	"stopped, next request":   {stopped: true, early: "NEXT"},
	"stopped, large body":     {stopped: true, body: 60 << 10},
	"planned stop":            {terminate: true},
	"planned stop, next line": {terminate: true, early: "\r\n"},
}

// Guards against targets that work for callers that have left, and against requests that
// reach targets after that: at processes that stand still, in planned stops, behind bodies
// and beside further bytes.
func TestSiteCallersThatLeave(t *testing.T) {
	for name, way := range departures {
		t.Run(name, func(t *testing.T) {
			w := targets.NewWitness(func(h http.Header) string { return h.Get("X-Pomelospool-Request-Id") })
			s := newSiteWith(t, func(s *site, slow *standin.Target) string {
				slow.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
				return s.serve(w.Wrap(slow))
			})
			s.leave(w, way)
		})
	}
}

// callersThatLeave is the number of callers of each daemon.
const callersThatLeave = 12

func (s *site) leave(w *targets.Witness, way departure) {
	if way.stopped {
		s.signal(syscall.SIGSTOP)
	}
	var conns []net.Conn
	var ids []string
	for i := range callersThatLeave * len(s.daemons) {
		c, err := net.Dial("tcp", s.addrs(len(s.daemons), portCallers)[i%len(s.daemons)])
		if err != nil {
			s.t.Fatal(err)
		}
		id := fmt.Sprintf("leaves-%d", i)
		conns, ids = append(conns, c), append(ids, id, id+"-next")
		_, _ = io.WriteString(c, s.request(id, way.body))
	}
	if way.stopped {
		<-time.After(segmentTime)
	} else {
		eventually(s.t, "all requests run", func() bool { return len(w.Working()) == len(conns) })
	}
	if way.terminate {
		s.signal(syscall.SIGTERM)
		<-time.After(segmentTime)
	}
	if way.early != "" {
		for i, c := range conns {
			_, _ = io.WriteString(c, strings.Replace(way.early, "NEXT", s.request(fmt.Sprintf("leaves-%d-next", i), 0), 1))
		}
		<-time.After(segmentTime)
	}
	w.Leave(ids...)
	for _, c := range conns {
		if way.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	if way.stopped {
		<-time.After(stillTime)
		s.signal(syscall.SIGCONT)
		for i := range s.daemons {
			eventually(s.t, "the daemon answers again", func() bool { return s.answers(i) })
		}
	}
	if err := w.CheckDepartures(noticeTime); err != nil {
		s.t.Error(err)
	}
	s.t.Log(w.CountDepartures(noticeTime))
}

// request returns a request to the slow service, with a body of the given size.
func (s *site) request(id string, body int) string {
	h := standin.CallerHeaders(id, requestTimeout, "")
	standin.SetKey(h, siteKey)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %sx HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", standin.SlowSafePrefix, standin.Host, body)
	_ = h.Write(&b) // writing to a strings.Builder never fails
	return b.String() + "\r\n" + strings.Repeat("b", body)
}

// signal sends a signal to all daemons.
func (s *site) signal(sig syscall.Signal) {
	for _, p := range s.daemons {
		if err := p.cmd.Process.Signal(sig); err != nil {
			s.t.Fatal(err)
		}
	}
}
