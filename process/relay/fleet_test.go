package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/internal/packetnet"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	fleetZones = 5
	// fleetWait and fleetReadInterval are the wait and the interval of reads of the
	// targets.
	fleetWait         = 900 * time.Millisecond
	fleetReadInterval = MaxReadInterval
	// storeLatency is the time that the store takes for an answer. appendTime
	// is the time it takes for each write; writes are serialized.
	storeLatency = 4 * time.Millisecond
	appendTime   = 2 * time.Millisecond
	// targetHeartbeatInterval is the time between two heartbeats of a target.
	targetHeartbeatInterval = 5 * time.Second
	pageSize                = 500
)

// fleetStore is a store of a large fleet that counts the calls to it.
type fleetStore struct {
	mu          sync.Mutex
	logs        map[port.Topic][]port.KeyedRecord
	newest      map[port.Topic]map[string]port.KeyedRecord
	changed     chan struct{}
	unavailable bool
	writable    time.Time // when the last write ends
	calls       int
	records     int // number of records read
}

func newFleetStore() *fleetStore {
	return &fleetStore{
		logs: make(map[port.Topic][]port.KeyedRecord), newest: make(map[port.Topic]map[string]port.KeyedRecord),
		changed: make(chan struct{}),
	}
}

// begin counts a call and waits for the latency of the store.
func (s *fleetStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	unavailable := s.unavailable
	s.mu.Unlock()
	if err := pause.For(ctx, storeLatency); err != nil {
		return err
	}
	if unavailable {
		return port.ErrUnavailable
	}
	return nil
}

func (s *fleetStore) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	if err := s.begin(ctx); err != nil {
		return port.KeyedPage{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := port.KeyedPage{End: int64(len(s.logs[t]))}
	var keys []string
	for key := range s.newest[t] {
		if key > after {
			keys = append(keys, key)
		}
	}
	for _, key := range firstKeys(keys, pageSize) {
		page.Records = append(page.Records, s.newest[t][key])
	}
	page.More = len(keys) > pageSize
	s.records += len(page.Records)
	return page, nil
}

func (s *fleetStore) Read(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	if err := s.begin(ctx); err != nil {
		return port.KeyedBatch{}, err
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		out := append([]port.KeyedRecord(nil), s.logs[t][from:]...)
		changed := s.changed
		s.records += len(out)
		s.mu.Unlock()
		if len(out) > 0 {
			return port.KeyedBatch{Records: out, Next: from + int64(len(out))}, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			return port.KeyedBatch{Next: from}, nil
		case <-ctx.Done():
			return port.KeyedBatch{}, ctx.Err()
		}
	}
}

func (s *fleetStore) Put(ctx context.Context, t port.Topic, key string, value []byte) (int64, error) {
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	now := time.Now()
	if s.writable.Before(now) {
		s.writable = now
	}
	s.writable = s.writable.Add(appendTime)
	wait := s.writable.Sub(now)
	s.mu.Unlock()
	if err := pause.For(ctx, wait); err != nil {
		return 0, err
	}
	return s.write(t, port.KeyedRecord{Key: key, Value: value}), nil
}

func (s *fleetStore) PutAt(context.Context, port.Topic, string, []byte, int64) (int64, error) {
	return 0, port.ErrConflict
}

// write appends records without latency.
func (s *fleetStore) write(t port.Topic, records ...port.KeyedRecord) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		r.Offset = int64(len(s.logs[t]))
		s.logs[t] = append(s.logs[t], r)
		if s.newest[t] == nil {
			s.newest[t] = make(map[string]port.KeyedRecord)
		}
		s.newest[t][r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.logs[t])) - 1
}

func (s *fleetStore) setUnavailable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = on
}

func (s *fleetStore) count() (calls, records int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.records
}

// fleet is a set of daemons that read the targets from the store or from each
// other.
type fleet struct {
	store   *fleetStore
	packets *packetnet.Net
	http    *countingTransport
	now     func() time.Duration
	daemons []*fleetDaemon
	targets int
}

type fleetDaemon struct {
	addr      string
	end       *packetnet.Conn
	roster    *roster.Roster
	registry  *discovery.Registry
	follower  *topic.Follower
	storeLost bool // guarded by mu
	mu        sync.Mutex
}

// fleetSink tracks whether the daemon has lost the store.
type fleetSink struct {
	topic.Sink
	d *fleetDaemon
}

func (s *fleetSink) StoreLost(err error) { s.set(true); s.Sink.StoreLost(err) }
func (s *fleetSink) StoreRecovered()     { s.set(false); s.Sink.StoreRecovered() }
func (s *fleetSink) set(on bool) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.d.storeLost = on
}

func (d *fleetDaemon) isStoreLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeLost
}

// countingTransport carries requests between daemons and counts the bytes of
// answers.
type countingTransport struct {
	mu    sync.Mutex
	to    map[string]http.Handler
	bytes map[string]int // by the answering daemon
}

func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	h := t.to[req.URL.Host]
	t.mu.Unlock()
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.ServeHTTP(rec, req)
	}()
	select {
	case <-done:
		t.mu.Lock()
		t.bytes[req.URL.Host] += rec.Body.Len()
		t.mu.Unlock()
		return rec.Result(), nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func decodeFleetTarget(r port.KeyedRecord) (port.TargetEntry, bool, error) {
	if r.Value == nil {
		return port.TargetEntry{ID: r.Key}, false, nil
	}
	// The value is the state followed by the number of the heartbeat.
	return port.TargetEntry{ID: r.Key, Service: "llm", Leaving: r.Value[0] == 'l'}, true, nil
}

func targetRecord(n, heartbeat int, state byte) port.KeyedRecord {
	return port.KeyedRecord{Key: fmt.Sprintf("t-%06d", n), Value: fmt.Appendf(nil, "%c %d", state, heartbeat)}
}

func (f *fleet) add(n int) {
	d := &fleetDaemon{addr: fmt.Sprintf("10.%d.%d.%d:7002", 1+n/62_500, n/250%250, n%250)}
	d.end = f.packets.Open(d.addr)
	link := uint32(20)
	if n%50 < fleetZones {
		link = 1000
	}
	var s *Store
	var monitored *MonitoredStore
	s = NewStore(f.store, func() []string { return d.roster.Upstream().Peers }, func() []string { return d.roster.ReadyPeers() }, port.TopicTargets)
	s.now, s.client = f.now, &http.Client{Transport: f.http}
	monitored = NewMonitoredStore(s)
	r, err := roster.New(roster.Options{
		Self: roster.Member{
			VM: fmt.Sprintf("vm%05d", n), Incarnation: 1, Zone: fmt.Sprint("z", n%fleetZones),
			CallerAddr: d.addr, PeerAddr: d.addr, LinkMbps: link,
		},
		Claims: noClaims{}, Speeds: speed.NewTracker(), Demand: demand.New(time.Now),
		Engines: engines.New(time.Now, func(engines.Work) {}),
		Store:   f.store, TTL: time.Second, Conn: d.end, SingleReader: true,
		StoreUnavailable: func() bool { return d.isStoreLost() || monitored.Unavailable() },
		StoreFails:       func() bool { return d.isStoreLost() && s.HasNoReader() || s.UsesFallback() || monitored.Unavailable() },
	})
	if err != nil {
		panic(err)
	}
	d.roster = r
	s.ReadersKnown, s.OnReadError, s.PeersWithStore = r.ContactsListed(), monitored.ReportError, r.PeersWithStore
	s.Depth = func() int { return r.Upstream().Depth }
	s.RetryDelay = func(answer bool) time.Duration {
		if answer {
			return fleetReadInterval * time.Duration(r.KnownDaemons()) / 16
		}
		return 2 * time.Second
	}
	d.registry = discovery.New(discovery.Options{Decode: decodeFleetTarget})
	cache := NewTopicCache(&fleetSink{Sink: d.registry, d: d}, d.registry.Same)
	cache.now = f.now
	d.follower = topic.New(topic.Options{
		Store: s, Topic: port.TopicTargets, Name: "targets", Sink: cache,
		Wait: func() time.Duration { return fleetWait }, ReadInterval: func() time.Duration { return fleetReadInterval },
		OnCurrent: func(next int64) { cache.Confirm(s.AsOf(port.TopicTargets), s.AsOf(port.TopicTargets), next) },
	})
	f.http.mu.Lock()
	f.http.to[d.addr] = Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})
	f.http.mu.Unlock()
	r.Start()
	r.SetState(roster.Ready)
	d.follower.Start()
	f.daemons = append(f.daemons, d)
}

type noClaims struct{}

func (noClaims) Report() []roster.Claim { return nil }
func (noClaims) Merge([]roster.Claim)   {}

// heartbeats rewrites the entry of each target every targetHeartbeatInterval.
func (f *fleet) heartbeats(ctx context.Context) {
	const step = 100 * time.Millisecond
	for heartbeat := 0; pause.For(ctx, step) == nil; heartbeat++ {
		var records []port.KeyedRecord
		for n := heartbeat % int(targetHeartbeatInterval/step); n < f.targets; n += int(targetHeartbeatInterval / step) {
			records = append(records, targetRecord(n, heartbeat, 'r'))
		}
		f.store.write(port.TopicTargets, records...)
	}
}

// withFleet runs a test on a fleet whose daemons all start at once, with the
// targets already in the store.
func withFleet(t *testing.T, daemons, targets int, test func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			store: newFleetStore(), packets: packetnet.New(7), now: clock.NewRuntime().Now, targets: targets,
			http: &countingTransport{to: make(map[string]http.Handler), bytes: make(map[string]int)},
		}
		for n := range targets {
			f.store.write(port.TopicTargets, targetRecord(n, 0, 'r'))
		}
		ctx, stop := context.WithCancel(t.Context())
		go f.heartbeats(ctx)
		for n := range daemons {
			f.add(n)
		}
		test(ctx, f)
		stop()
		var all sync.WaitGroup
		for _, d := range f.daemons {
			all.Go(func() {
				_ = d.follower.Stop()
				_ = d.roster.Stop()
			})
		}
		all.Wait()
	})
}

// daemonsWithTargets returns the number of daemons that know exactly the given
// number of targets.
func (f *fleet) daemonsWithTargets(targets int) int {
	n := 0
	for _, d := range f.daemons {
		if d.registry.Snapshot().Targets["llm"].All().Len() == targets {
			n++
		}
	}
	return n
}

// Guards against a fleet in which each daemon lists and reads the store at the
// start, and against daemons that know no targets for seconds.
func TestFleetStartsWithFewCalls(t *testing.T) {
	const daemons, targets = 200, 2000
	withFleet(t, daemons, targets, func(ctx context.Context, f *fleet) {
		_ = pause.For(ctx, 6*time.Second)
		if n := f.daemonsWithTargets(targets); n != daemons {
			t.Errorf("%d of %d daemons know all targets after 6 s", n, daemons)
		}
		calls, _ := f.store.count()
		if most := 4 * daemons; calls > most {
			t.Errorf("%d calls to the store, want %d", calls, most)
		}
		// From here on only one daemon reads the store.
		_ = pause.For(ctx, 4*time.Second)
		begun, read := f.store.count()
		const rest = 10 * time.Second
		_ = pause.For(ctx, rest)
		ended, all := f.store.count()
		if most := 2 * int(rest/fleetReadInterval); ended-begun > most {
			t.Errorf("%d calls in %v, want %d", ended-begun, rest, most)
		}
		if most := 2 * targets * int(rest/targetHeartbeatInterval); all-read > most {
			t.Errorf("%d records read in %v, want %d", all-read, rest, most)
		}
	})
}

// Guards against thousands of calls to an unavailable store, and against
// daemons that receive the records written after its return late.
func TestOutageCausesFewStoreCalls(t *testing.T) {
	const daemons, targets = 200, 500
	withFleet(t, daemons, targets, func(ctx context.Context, f *fleet) {
		_ = pause.For(ctx, 10*time.Second)
		f.store.setUnavailable(true)
		begun, _ := f.store.count()
		const outage = 9 * time.Second
		_ = pause.For(ctx, outage)
		ended, _ := f.store.count()
		if ended-begun > 2*daemons {
			t.Errorf("%d calls in an outage of %v", ended-begun, outage)
		}
		f.store.setUnavailable(false)
		f.store.write(port.TopicTargets, targetRecord(targets, 0, 'r'))
		_ = pause.For(ctx, 4*time.Second)
		if n := f.daemonsWithTargets(targets + 1); n != daemons {
			t.Errorf("%d of %d daemons know of a new target 4 s after the store recovered", n, daemons)
		}
	})
}

// Guards against requests to a target that has left, sent by daemons that read
// from a frozen daemon or from one that alone is cut off from the store.
func TestLeavingTargetIsKnownInTimeThroughTheTree(t *testing.T) {
	const daemons, targets, bound = 200, 500, 5 * time.Second
	withFleet(t, daemons, targets, func(ctx context.Context, f *fleet) {
		f.store.write(port.TopicTargets, targetRecord(targets, 0, 'r'))
		_ = pause.For(ctx, 10*time.Second)
		var root *fleetDaemon
		for _, d := range f.daemons {
			if len(d.roster.Upstream().Peers) == 0 {
				root = d
			}
		}
		// From now on the root answers no requests.
		f.http.mu.Lock()
		f.http.to[root.addr] = http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
		f.http.mu.Unlock()
		f.packets.SetUnreachable(root.addr, true)
		f.store.write(port.TopicTargets, targetRecord(targets, 0, 'l'))
		_ = pause.For(ctx, bound)
		late := 0
		for _, d := range f.daemons {
			if e, _ := d.registry.Lookup(targetRecord(targets, 0, 0).Key); !e.Leaving && d != root {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of %d daemons don't know after %v that the target leaves", late, daemons, bound)
		}
	})
}
