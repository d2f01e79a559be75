package standin

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Witness records which requests targets work on, and whether any begins after its caller
// has left. It is safe for concurrent use.
type Witness struct {
	id func(http.Header) string

	mu    sync.Mutex
	open  map[string]int
	begun map[string]time.Time // the last begin
	ended map[string]time.Time // the last end
	left  map[string]time.Time // when the caller left
}

// Departure is a request that reached a target and whose caller has left.
type Departure struct {
	ID    string
	Begun time.Time // when it last reached a target
	Left  time.Time
	Ended time.Time // when a target last ended it; zero: it goes on
}

// Departures returns the requests that reached targets and whose callers have left.
func (w *Witness) Departures() []Departure {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Departure
	for id, left := range w.left {
		begun, reached := w.begun[id]
		if !reached {
			continue
		}
		d := Departure{ID: id, Begun: begun, Left: left}
		if w.open[id] == 0 {
			d.Ended = w.ended[id]
		}
		out = append(out, d)
	}
	return out
}

// NewWitness returns a Witness. id returns the id of a request, or "" for other calls, which
// aren't recorded.
func NewWitness(id func(http.Header) string) *Witness {
	return &Witness{id: id, open: make(map[string]int), begun: make(map[string]time.Time), ended: make(map[string]time.Time), left: make(map[string]time.Time)}
}

// Wrap returns a target's handler with its requests recorded.
func (w *Witness) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if id := w.id(req.Header); id != "" {
			w.begin(id)
			defer w.end(id)
		}
		h.ServeHTTP(rw, req)
	})
}

func (w *Witness) begin(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[id]++
	w.begun[id] = time.Now()
}

func (w *Witness) end(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended[id] = time.Now()
	if w.open[id]--; w.open[id] == 0 {
		delete(w.open, id)
	}
}

// Working returns the ids of the requests that targets work on, in order.
func (w *Witness) Working() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]string, 0, len(w.open))
	for id := range w.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// WorksOn reports whether a target works on a request.
func (w *Witness) WorksOn(id string) bool { return slices.Contains(w.Working(), id) }

// Leave records that the callers of some requests leave now.
func (w *Witness) Leave(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.left[id] = time.Now()
	}
}

// AwaitNone waits until targets work on no request. It returns an error if they still do
// after the limit.
func (w *Witness) AwaitNone(limit time.Duration) error {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	end := time.After(limit)
	for {
		ids := w.Working()
		if len(ids) == 0 {
			return nil
		}
		select {
		case <-tick.C:
		case <-end:
			return fmt.Errorf("standin: targets work on %v after %v", ids, limit)
		}
	}
}

// BegunLate returns the ids of the requests that began after their callers had left, in
// order.
func (w *Witness) BegunLate() []string {
	var ids []string
	for _, d := range w.Departures() {
		if d.Begun.After(d.Left) {
			ids = append(ids, d.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// CheckDepartures waits until targets work on no request. It returns an error if they still
// do after the limit, or if a request began after its caller had left.
func (w *Witness) CheckDepartures(limit time.Duration) error {
	if err := w.AwaitNone(limit); err != nil {
		return err
	}
	if late := w.BegunLate(); len(late) > 0 {
		return fmt.Errorf("standin: %d requests began after the close: %v", len(late), late)
	}
	return nil
}

const (
	// runTries is the number of requests of which a target has to work on one.
	runTries = 20
	// runTime is the time in which a request has to run or to be refused.
	runTime = 20 * time.Second
)

// SendUntilRuns sends requests, one after the other, until a target works on one, and
// returns its id: a daemon that gets its processor late may refuse some. send returns a
// channel that is closed once the request is answered.
func (w *Witness) SendUntilRuns(name string, send func(id string) (answered <-chan struct{})) (string, error) {
	for n := range runTries {
		id := fmt.Sprintf("%s-%d", name, n)
		runs, err := w.awaitRun(id, send(id))
		if runs || err != nil {
			return id, err
		}
	}
	return "", fmt.Errorf("standin: %s was refused %d times", name, runTries)
}

// awaitRun waits until a target works on a request or the request is answered, and reports
// whether a target works on it.
func (w *Witness) awaitRun(id string, answered <-chan struct{}) (runs bool, err error) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	end := time.After(runTime)
	for !w.WorksOn(id) {
		select {
		case <-tick.C:
		case <-answered:
			return w.WorksOn(id), nil
		case <-end:
			return false, fmt.Errorf("standin: %s neither runs nor is answered", id)
		}
	}
	return true, nil
}

// Answered returns a channel that is closed once bytes, or the end, arrive on a connection.
func Answered(c net.Conn) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		defer close(out)
		_, _ = c.Read(make([]byte, 1))
	}()
	return out
}

// DepartureCount counts what targets did for callers that have left.
type DepartureCount struct {
	Reached   int           // requests that reached a target and whose callers have left
	BegunLate int           // of these, begun at a target more than the limit after
	AtWork    int           // of these, still worked on when the limit had passed
	Longest   time.Duration // of the work after a caller had left
}

// String describes the count for a log line.
func (c DepartureCount) String() string {
	return fmt.Sprintf("of %d requests whose callers left, %d began late and %d were at work late, the longest for %v", c.Reached, c.BegunLate, c.AtWork, c.Longest.Round(time.Millisecond))
}

// CountDepartures counts what targets did for callers that have left, later than the limit
// after they had.
func (w *Witness) CountDepartures(limit time.Duration) (c DepartureCount) {
	for _, d := range w.Departures() {
		c.Reached++
		ended := d.Ended
		if ended.IsZero() {
			ended = time.Now()
		}
		worked := ended.Sub(d.Left)
		c.Longest = max(c.Longest, worked)
		if d.Begun.Sub(d.Left) > limit {
			c.BegunLate++
		} else if worked > limit {
			c.AtWork++
		}
	}
	return c
}
