package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

const (
	// maxMixedStreams may hold events of two software versions.
	maxMixedStreams = 2
	// minTakeUps is the number of streams taken up from which on the share of those
	// that go on counts.
	minTakeUps = 12
	// leaveShare is the share of requests whose callers leave after some events and
	// take the stream up again.
	leaveShare = 0.7
	// takeUpDelay is the time after which a caller takes a stream up.
	takeUpDelay = 50 * time.Millisecond
	// maxTries is the number of requests that a caller sends for a stream.
	maxTries = 4
)

// streamTry is one request for a stream.
type streamTry struct {
	ID       string
	Daemon   int
	At       time.Time
	TakesUp  bool // the caller had received events before
	Answered bool // the caller received further events, or the end
	Served   bool // two targets of the stream's version took requests
}

// streamOutcome is what a caller observed of a stream over its requests.
type streamOutcome struct {
	Tries    []streamTry
	Software []string // versions of the received events, each once, in order
	LastID   int
	Fault    string // an event is missing or came twice
}

// resumer begins streams, breaks them off and takes them up at other daemons.
type resumer struct {
	name   string
	judge  *Judge
	rand   *rand.Rand
	urls   []string // of the resumable route, by daemon
	header func(id string, left time.Duration, prompt string) http.Header
	// served reports whether two targets of a software version take requests.
	served func(software string) bool
	client *http.Client
}

func (r *resumer) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		o := r.stream(ctx, fmt.Sprintf("%s-%d", r.name, n))
		if ctx.Err() == nil {
			r.judge.RecordStream(o)
		}
	}
}

// stream sends requests until the stream is whole or maxTries were sent.
func (r *resumer) stream(ctx context.Context, name string) (o streamOutcome) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	deadline := time.Now().Add(requestTimeout)
	daemon := r.rand.IntN(len(r.urls))
	first := "" // id of the request that brought the first event
	for n, sent := 0, 0; sent < maxTries && ctx.Err() == nil; n++ {
		try := streamTry{ID: fmt.Sprintf("%s-%d", name, n), Daemon: daemon, At: time.Now(), TakesUp: first != ""}
		if try.TakesUp {
			try.Served = r.served(o.Software[0])
		}
		h := r.header(try.ID, time.Until(deadline), "aa:800,bb:660")
		if try.TakesUp {
			standin.SetResumes(h, first, fmt.Sprint(o.LastID))
		}
		before := o.LastID
		whole, err := r.send(ctx, &o, daemon, h)
		if isDialError(err) {
			// Nobody has received the request: the daemon is down.
			wait(ctx.Done(), takeUpDelay)
			daemon = (daemon + 1) % len(r.urls)
			continue
		}
		sent++
		try.Answered = whole || o.LastID > before
		o.Tries = append(o.Tries, try)
		if first == "" && o.LastID > 0 {
			first = try.ID
		}
		if whole || ctx.Err() != nil || o.Fault != "" {
			return o
		}
		if err != nil && !try.Answered {
			wait(ctx.Done(), takeUpDelay)
		}
		wait(ctx.Done(), takeUpDelay)
		daemon = (daemon + 1) % len(r.urls)
	}
	return o
}

// isDialError reports whether no connection could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send sends one request and reads its events, maybe not all.
func (r *resumer) send(ctx context.Context, o *streamOutcome, daemon int, h http.Header) (whole bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.urls[daemon], strings.NewReader("body"))
	if err != nil {
		return false, err
	}
	req.Host, req.Header, req.Close = standin.Host, h, true
	resp, err := r.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, resp.Body)
		return false, err
	}
	limit := events + 1
	if r.rand.Float64() < leaveShare {
		limit = 1 + r.rand.IntN(events-1)
	}
	events := bufio.NewReader(resp.Body)
	for range limit {
		event, err := readEvent(events)
		if err == io.EOF && event == "" {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if err := o.add(event); err != nil {
			return false, err
		}
	}
	return false, nil
}

// readEvent returns the next event with its final blank line.
func readEvent(from *bufio.Reader) (event string, err error) {
	for !strings.HasSuffix(event, "\n\n") {
		line, err := from.ReadString('\n')
		event += line
		if err != nil {
			return event, err
		}
	}
	return event, nil
}

// add adds a received event.
func (o *streamOutcome) add(event string) error {
	id, software, err := standin.ParseEvent(event)
	if err != nil {
		o.Fault = err.Error()
		return err
	}
	if id != o.LastID+1 {
		o.Fault = fmt.Sprintf("event %d after %d", id, o.LastID)
		return fmt.Errorf("soak: %s", o.Fault)
	}
	o.LastID = id
	if !slices.Contains(o.Software, software) {
		o.Software = append(o.Software, software)
	}
	return nil
}

// RecordStream records the outcome of a stream.
func (j *Judge) RecordStream(o streamOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.streams = append(j.streams, o)
}

// checkStreams returns the violations that streams show: events of two software
// versions, missing events, and streams that are taken up and seldom go on. Callers
// hold j.mu.
func (j *Judge) checkStreams() (faults []string) {
	mixed := 0
	var begun, takenUp served
	for _, o := range j.streams {
		if len(o.Software) > 1 {
			mixed++
		}
		if o.Fault != "" {
			faults = append(faults, fmt.Sprintf("stream of request %s: %s", o.Tries[0].ID, o.Fault))
		}
		for _, try := range o.Tries {
			if !j.inTouchAt(try.Daemon, try.At) {
				continue
			}
			switch {
			case !try.TakesUp:
				begun.count(try.Answered)
			case try.Served:
				takenUp.count(try.Answered)
			}
		}
	}
	if mixed > maxMixedStreams {
		faults = append(faults, fmt.Sprintf("%d of %d streams hold events of two software versions, %d allowed", mixed, len(j.streams), maxMixedStreams))
	}
	if takenUp.all >= minTakeUps && takenUp.share() < begun.share()/2 {
		faults = append(faults, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d began", takenUp.good, takenUp.all, begun.good, begun.all))
	}
	return faults
}

// inTouchAt reports whether the daemon had no disruption in the stableWindow before.
// Callers hold j.mu.
func (j *Judge) inTouchAt(daemon int, at time.Time) bool {
	window := span{at.Add(-stableWindow), at}
	return !j.isDown(daemon, window) && !j.isCutAtAll(daemon, window)
}

func (t *Totals) addStream(o streamOutcome) {
	t.Streams++
	if o.LastID == events {
		t.Whole++
	}
	for _, try := range o.Tries {
		if try.TakesUp {
			t.TakenUp++
		}
		if try.TakesUp && try.Answered {
			t.WentOn++
		}
	}
}
