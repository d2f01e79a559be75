// Package relay lets few daemons of a large fleet read the store and pass its
// records on to the others. Every call to the store is paid for: at 90 daemons
// reads were the dearest item, 0.05 of worth. A daemon whose reader fails reads
// the store itself. A daemon that starts while the store is away takes from
// another one what that has read.
package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	// keep is the number of records of a topic that a reader holds for others:
	// some seconds of the targets' heartbeats. Whoever wants older ones reads
	// the store.
	keep = 2048
	// hopTimeout is added to a read's wait for the way between daemons.
	hopTimeout = 500 * time.Millisecond
	// distrust is how long a daemon reads the store itself after its reader
	// failed.
	distrust = 3 * time.Second
	// maxAnswer bounds a reader's answer, in bytes.
	maxAnswer = 8 << 20
)

// Tail is the newest records of one topic as this daemon has read them. It is
// the topic.Sink before another one, and safe for concurrent use.
type Tail struct {
	next topic.Sink

	mu      sync.Mutex
	newest  map[string]port.KeyedRecord // of each key
	records []port.KeyedRecord          // without gaps
	end     int64                       // offset after the newest; -1: not known
	changed chan struct{}
	lost    bool
}

// NewTail returns a Tail that hands all on to next.
func NewTail(next topic.Sink) *Tail {
	return &Tail{next: next, end: -1, changed: make(chan struct{}), newest: make(map[string]port.KeyedRecord)}
}

// Reset implements topic.Sink. A listing lacks the records that newer ones of
// their keys replaced, so only what follows it is held.
func (t *Tail) Reset(records []port.KeyedRecord, next int64) {
	t.mu.Lock()
	t.records, t.end = nil, next
	clear(t.newest)
	t.note(records)
	t.mu.Unlock()
	t.next.Reset(records, next)
}

// note keeps the newest record of each key. Callers hold t.mu.
func (t *Tail) note(records []port.KeyedRecord) {
	for _, r := range records {
		if r.Value == nil {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
}

// listing is the topic as this daemon knows it; false: it never read it whole.
func (t *Tail) listing() (port.KeyedPage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := port.KeyedPage{End: t.end, Relayed: true}
	for _, r := range t.newest {
		page.Records = append(page.Records, r)
	}
	return page, t.end >= 0
}

// Apply implements topic.Sink.
func (t *Tail) Apply(records []port.KeyedRecord) {
	t.next.Apply(records)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != records[0].Offset {
		t.records = nil
	}
	t.note(records)
	t.records = append(t.records, records...)
	if over := len(t.records) - keep; over > 0 {
		t.records = append([]port.KeyedRecord(nil), t.records[over:]...)
	}
	t.end = records[len(records)-1].Offset + 1
	close(t.changed)
	t.changed = make(chan struct{})
}

// Lost implements topic.Sink.
func (t *Tail) Lost(err error) {
	t.setLost(true)
	t.next.Lost(err)
}

// Back implements topic.Sink.
func (t *Tail) Back() {
	t.setLost(false)
	t.next.Back()
}

func (t *Tail) setLost(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = on
}

// read returns the records from an offset on, waiting for some; false when
// this daemon can't say.
func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) ([]port.KeyedRecord, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		t.mu.Lock()
		changed, lost, end := t.changed, t.lost, t.end
		first := end - int64(len(t.records))
		var out []port.KeyedRecord
		if from >= first && from < end {
			out = append(out, t.records[from-first:]...)
		}
		t.mu.Unlock()
		if lost || end < 0 || from < first || from > end {
			return nil, false
		}
		if len(out) > 0 {
			return out, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
}

// Handler answers the other daemons' reads.
func Handler(tails map[port.Topic]*Tail) http.Handler {
	r := bunrouter.New()
	r.GET("/listing", func(w http.ResponseWriter, req bunrouter.Request) error {
		name, err := strconv.Atoi(req.URL.Query().Get("topic"))
		tail := tails[port.Topic(name)]
		if err != nil || tail == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		page, ok := tail.listing()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return writeCBOR(w, page)
	})
	r.GET("/records", func(w http.ResponseWriter, req bunrouter.Request) error {
		q := req.URL.Query()
		name, err1 := strconv.Atoi(q.Get("topic"))
		from, err2 := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, err3 := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		tail := tails[port.Topic(name)]
		if err1 != nil || err2 != nil || err3 != nil || tail == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		records, ok := tail.read(req.Context(), from, time.Duration(wait)*time.Millisecond)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return writeCBOR(w, records)
	})
	return r
}

func writeCBOR(w http.ResponseWriter, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	_, err = w.Write(data)
	return err
}

// Store is a port.Store whose reads of some topics go to a reader while there
// is one.
type Store struct {
	port.Store
	topics map[port.Topic]bool
	reader func() string   // address of this daemon's reader, empty: itself
	peers  func() []string // addresses of the other daemons that take requests
	client *http.Client
	now    func() time.Time

	mu    sync.Mutex
	until time.Time // the store is read directly until then
}

// Direct tells whether reads go to the store although there is a reader.
func (s *Store) Direct() bool { return s.reader() != "" && s.distrusted() }

// NewStore returns a Store over s. reader names the daemon to ask for the
// topics, empty for none; peers those that may be asked while the store is away.
func NewStore(s port.Store, reader func() string, peers func() []string, topics ...port.Topic) *Store {
	out := &Store{Store: s, topics: make(map[port.Topic]bool), reader: reader, peers: peers, client: &http.Client{}, now: time.Now}
	for _, t := range topics {
		out.topics[t] = true
	}
	return out
}

// Read returns records from the reader, or from the store.
func (s *Store) Read(ctx context.Context, t port.Topic, from int64, wait time.Duration) ([]port.KeyedRecord, error) {
	addr := s.reader()
	if addr == "" || !s.topics[t] || s.distrusted() {
		return s.Store.Read(ctx, t, from, wait)
	}
	records, err := s.ask(ctx, addr, t, from, wait)
	if err == nil {
		return records, nil
	}
	s.mu.Lock()
	s.until = s.now().Add(distrust)
	s.mu.Unlock()
	return s.Store.Read(ctx, t, from, 0)
}

const (
	// maxAsked is the number of daemons that are asked for one listing.
	maxAsked = 2
	// askAfter is how long the store may take before others are asked too. It
	// answers in 4 ms; a silent one is given up after 1.5 s.
	askAfter = 250 * time.Millisecond
)

// listed is the result of a listing.
type listed struct {
	page port.KeyedPage
	err  error
}

// Newest returns newest records from the store, or from another daemon while
// the store is away.
//
// The failure it stops: daemons are started again one after the other while
// the store is away, and none of them serves until it is back. Those that run
// know all that is needed.
func (s *Store) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	if !s.topics[t] || after != "" {
		return s.Store.Newest(ctx, t, after)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan listed, 1)
	go func() {
		page, err := s.Store.Newest(ctx, t, after)
		answered <- listed{page: page, err: err}
	}()
	first, soon := within(askAfter, answered)
	if soon && first.err == nil {
		return first.page, nil
	}
	if page, ok := s.askOthers(ctx, t); ok {
		return page, nil
	}
	if !soon {
		first = <-answered
	}
	return first.page, first.err
}

// within waits for a listing for so long at most.
func within(d time.Duration, answered <-chan listed) (l listed, soon bool) {
	patience := time.NewTimer(d)
	defer patience.Stop()
	select {
	case l = <-answered:
		return l, true
	case <-patience.C:
		return l, false
	}
}

// askOthers asks some daemons for a topic's listing, one after the other.
func (s *Store) askOthers(ctx context.Context, t port.Topic) (port.KeyedPage, bool) {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxAsked)] {
		page, err := s.listing(ctx, addr, t)
		if err == nil {
			log.WithFields(log.Fields{"topic": int(t), "from": addr, "next": page.End}).Info("relay: listed by another daemon")
			return page, true
		}
		log.WithError(err).WithField("from", addr).Debug("relay: no listing")
	}
	return port.KeyedPage{}, false
}

func (s *Store) listing(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	var page port.KeyedPage
	err := s.get(ctx, fmt.Sprintf("http://%s/listing?topic=%d", addr, t), &page)
	return page, err
}

func (s *Store) distrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.until)
}

func (s *Store) ask(ctx context.Context, addr string, t port.Topic, from int64, wait time.Duration) ([]port.KeyedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+hopTimeout)
	defer cancel()
	var out []port.KeyedRecord
	err := s.get(ctx, fmt.Sprintf("http://%s/records?topic=%d&from=%d&wait_ms=%d", addr, t, from, wait.Milliseconds()), &out)
	return out, err
}

// get reads another daemon's answer into out.
func (s *Store) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("relay: status %d", resp.StatusCode)
	}
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}
