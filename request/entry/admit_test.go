package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// Guards against a rejection for the time of the first token while the setting is off,
// and of requests that have no such time: unstreamed ones, streams of which the caller
// has a part, and those of services without an objective for it.
func TestTimeOfUse(t *testing.T) {
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		on, stream, resumes bool
		objective           time.Duration
		want                time.Duration
	}{
		{true, true, false, objective, 4 * objective},
		{false, true, false, objective, 0},
		{true, false, false, objective, 0},
		{true, true, true, objective, 0},
		{true, true, false, 0, 0},
	} {
		e := &Entry{opts: Options{ShedEarly: c.on}}
		doc := &document.Document{}
		doc.Objectives.FirstToken = c.objective
		q := &attempt.Request{Service: &view.Service{Doc: doc}, Resumes: c.resumes}
		got := e.usefulFor(q, requestParams{deadline: time.Now().Add(time.Minute), stream: c.stream})
		if got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// lateRouter predicts that the first token takes 5 s.
type lateRouter struct{ leastLoaded }

func (l lateRouter) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	d, err := l.leastLoaded.Route(r, targets)
	d.TimeToFirstToken = 5 * time.Second
	return d, err
}

// Guards against streams that count as unstreamed requests, which have no time of use,
// and the reverse.
func TestOnlyStreamsAreRejectedForTheirFirstToken(t *testing.T) {
	e := startEngine(t)
	for _, on := range []bool{true, false} {
		f := newFixture(t, []string{e.Addr()}, nil, func(o *Options, d *document.Document) {
			o.Router, o.ShedEarly = lateRouter{leastLoaded{6 * time.Second}}, on
			d.Objectives.FirstToken = 500 * time.Millisecond
		})
		for _, stream := range []bool{true, false} {
			r := f.do("POST", "/v1/completions", modelRequest("hello", 5, stream), "X-Priority", "1")
			if rejected := r.status == 429; rejected != (on && stream) {
				t.Errorf("shed early %v, stream %v: %d %s", on, stream, r.status, r.code())
			}
		}
	}
}

// Guards against answers that are cut since their daemon stops: those that may last
// longer must be refused as not run, and those known to be short served.
func TestStoppingRefusesLongAnswers(t *testing.T) {
	s := newScriptedTarget(t, func(c *call) { c.head().tokens(0); c.finish(1) })
	f := newFixture(t, []string{s.addr()}, nil, nil)
	f.entry.StopAt(time.Now().Add(5 * time.Second))
	r := f.complete("p", 1) // its deadline is 10 s
	if r.code() != "1005" || r.header.Get(answer.HeaderNotRun) != "true" || r.header.Get("Retry-After") == "" || s.runs != 0 {
		t.Errorf("of unknown duration: %+v, %d runs", r, s.runs)
	}
	if r := f.complete("p", 1, "X-Deadline-Ms", "2000"); r.code() != "0" || s.runs != 1 {
		t.Errorf("with a short deadline: %+v, %d runs", r, s.runs)
	}
	if open := f.entry.Open(); open != 0 {
		t.Errorf("%d requests count as open", open)
	}
}

// Guards against streams that are cut since lengths grow during a stop: short answers
// before are no bound for the next one.
func TestStoppingIsBoundedByDeadlines(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net) {
		defer n.Close()
		s := serveScriptedTarget(n, "a:80", func(c *call) { c.head().tokens(0); c.finish(1) })
		f := newFixtureOn(t, n, []string{"a:80"}, nil, nil)
		const known = 1000
		for range known {
			f.complete("p", 1)
			time.Sleep(100 * time.Millisecond)
		}
		f.entry.StopAt(time.Now().Add(5 * time.Second))
		if r := f.complete("p", 1); r.code() != "1005" || s.count() != known { // its deadline is 10 s
			t.Errorf("%+v, %d runs", r, s.count())
		}
	})
}

// lostLinks are links that are lost.
type lostLinks struct{ attempt.Links }

func (lostLinks) Lost(string) bool { return true }

// refusingPeers counts the requests that are forwarded.
type refusingPeers struct{ count int }

func (p *refusingPeers) Do(context.Context, *forward.Request) (*forward.Response, error) {
	p.count++
	return nil, code.New(code.LinksLost, "")
}

// Guards against streams that a stopping daemon forwards and cuts when it stops, since only
// those that it ran itself were checked.
func TestStoppingDoesNotForwardLongAnswers(t *testing.T) {
	peers := &refusingPeers{}
	f := newFixture(t, []string{"127.0.0.1:1"}, nil, func(o *Options, _ *document.Document) { o.Links, o.Peers = lostLinks{}, peers })
	f.entry.StopAt(time.Now().Add(5 * time.Second))
	if r := f.complete("p", 1); r.code() != "1005" || peers.count != 0 { // its deadline is 10 s
		t.Errorf("%+v, %d forwarded", r, peers.count)
	}
	if r := f.complete("p", 1, "X-Deadline-Ms", "2000"); r.code() != "2010" || peers.count != 1 {
		t.Errorf("with a short deadline: %+v, %d forwarded", r, peers.count)
	}
}

// suspectedLinks are links that are lost once they are suspected.
type suspectedLinks struct {
	attempt.Links
	suspected bool
}

func (l *suspectedLinks) Suspect(string)   { l.suspected = true }
func (l *suspectedLinks) Lost(string) bool { return l.suspected }

// Guards against forwarded requests that end at a daemon which alone finds the target
// down: its refusal must let the sender ask a further daemon.
func TestForwardedRequestIsPassedOnByOwnFinding(t *testing.T) {
	l := &suspectedLinks{}
	f := newFixture(t, []string{"127.0.0.1:1"}, nil, func(o *Options, _ *document.Document) { o.Links = l })
	f.pool.ReportUnreachable("127.0.0.1:1", syscall.ECONNREFUSED)
	w := httptest.NewRecorder()
	req := httptest.NewRequest("POST", "/v1/completions", strings.NewReader(modelRequest("p", 1, true)))
	if err := f.entry.ServeForwarded(w, req, forward.Envelope{From: "vm-1"}); err != nil {
		t.Fatal(err)
	}
	if got := w.Header().Get(answer.HeaderCode); got != "2010" || !l.suspected {
		t.Errorf("code %s, suspected: %v", got, l.suspected)
	}
}
