package reconcile

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/internal/logtest"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

const changeTime = 5 * time.Second

// fakeEngine carries out each order in changeTime and records the accepted
// orders.
type fakeEngine struct {
	port.Engine
	mu          sync.Mutex
	state       port.EngineState
	until       time.Time
	orders      []port.Order // accepted orders without duplicates
	loseAnswers int          // number of responses to lose
	unreachable bool         // orders return ErrUnavailable
}

func (e *fakeEngine) State(context.Context) (port.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.state, nil
}

func (e *fakeEngine) settle() {
	if e.state.Changing && !time.Now().Before(e.until) {
		e.state.Changing, e.state.Spec = false, e.state.NextSpec
	}
}

func (e *fakeEngine) Order(_ context.Context, o port.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	switch {
	case e.unreachable:
		return fmt.Errorf("order: %w", port.ErrUnavailable)
	case e.state.ChecksFence && o.Fence < e.state.LastFence:
		return port.ErrFenced
	case o.ID != e.state.LastOrder && e.state.Changing:
		return port.ErrBusy
	case o.Spec.Version == "bad":
		return errors.New("engine: status 400: no such version")
	}
	e.state.LastFence = max(o.Fence, e.state.LastFence)
	if o.ID != e.state.LastOrder {
		e.state.LastOrder, e.state.Changing, e.state.NextSpec = o.ID, true, o.Spec
		e.until = time.Now().Add(changeTime)
		e.orders = append(e.orders, o)
	}
	if e.loseAnswers > 0 {
		e.loseAnswers--
		return fmt.Errorf("order: %w", port.ErrUnavailable)
	}
	return nil
}

// restart resets the engine to spec and discards its orders and fencing number.
func (e *fakeEngine) restart(spec port.EngineSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = port.EngineState{Spec: spec, ChecksFence: e.state.ChecksFence}
}

// set calls change with the engine's lock held.
func (e *fakeEngine) set(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// versions returns the versions of the accepted orders.
func (e *fakeEngine) versions() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := ""
	for _, o := range e.orders {
		s += o.Spec.Version + " "
	}
	return s
}

func (e *fakeEngine) is(version string) bool {
	s, _ := e.State(context.Background())
	return !s.Changing && s.Spec.Version == version
}

// fleet is a set of daemons and engines that share one log.
type fleet struct {
	t       *testing.T
	log     *logtest.Log
	engines map[string]*fakeEngine
	mu      sync.Mutex
	daemons []*daemon // changed only by the test's goroutine, with mu held
	rate    float64
}

// daemon consists of the control components of one process.
type daemon struct {
	fleet  *fleet
	id     string
	rank   int
	link   *link
	follow *follow.Follower
	lease  *lease.Manager
	rec    *Reconciler
}

// link is a daemon's connection to the log. Tests can cut it.
type link struct {
	*logtest.Log
	mu  sync.Mutex
	cut bool
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return fmt.Errorf("cut: %w", port.ErrUnavailable)
	}
	return nil
}

func (l *link) Append(ctx context.Context, s string, data []byte) (int64, error) {
	if err := l.err(); err != nil {
		return 0, err
	}
	return l.Log.Append(ctx, s, data)
}

func (l *link) Read(ctx context.Context, s string, from int64, n int, wait time.Duration) ([]port.Record, int64, error) {
	recs, newest, err := l.Log.Read(ctx, s, from, n, wait)
	if e := l.err(); e != nil {
		return nil, 0, e
	}
	return recs, newest, err
}

// newFleet returns a fleet with the engines e0, e1 and so on, and no daemons.
func newFleet(t *testing.T, engines int) *fleet {
	f := &fleet{t: t, log: &logtest.Log{}, engines: map[string]*fakeEngine{}, rate: 1e9}
	for i := range engines {
		f.engines[fmt.Sprint("e", i)] = &fakeEngine{}
	}
	return f
}

// members implements lease.Membership for one daemon.
type members struct{ d *daemon }

func (m members) Gone(incarnation string) bool {
	m.d.fleet.mu.Lock()
	defer m.d.fleet.mu.Unlock()
	for _, d := range m.d.fleet.daemons {
		if d.id == incarnation {
			return false
		}
	}
	return true
}

func (m members) Rank(string) (int, bool) { return m.d.rank, true }

type weights struct{ rate float64 }

func (w weights) Size(context.Context, string, string) (int64, error) { return 1, nil }
func (w weights) Rate(context.Context) (float64, error)               { return w.rate, nil }

// add starts a daemon and waits until it has read the log.
func (f *fleet) add(id string) *daemon {
	d := &daemon{fleet: f, id: id, rank: len(f.daemons), link: &link{Log: f.log}}
	c := clock.NewRuntime()
	d.follow = follow.New(follow.Options{Log: d.link, Clock: c, Self: id, Validate: validate, Rank: func() int { return d.rank }})
	d.lease = lease.New(lease.Options{Clock: c, Follower: d.follow, Membership: members{d}, Groups: d.groups, Self: id})
	d.rec = New(Options{Clock: c, Follower: d.follow, Leases: d.lease, Snapshot: d.snapshot, Connect: d.connect, Weights: weights{f.rate}})
	f.mu.Lock()
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	d.follow.Start()
	d.lease.Start()
	d.rec.Start()
	<-d.follow.Ready()
	return d
}

// kill stops a daemon without releasing its leases.
func (f *fleet) kill(d *daemon) {
	for _, err := range []error{d.rec.Stop(), d.lease.Stop(), d.follow.Stop()} {
		if err != nil {
			f.t.Error(err)
		}
	}
	f.markDead(d)
}

// markDead makes the membership of the other daemons report d as dead.
func (f *fleet) markDead(d *daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.daemons {
		if x == d {
			f.daemons = append(f.daemons[:i:i], f.daemons[i+1:]...)
		}
	}
}

func (f *fleet) stop() {
	for len(f.daemons) > 0 {
		f.kill(f.daemons[0])
	}
}

func validate(text string) (code.Code, string) {
	var d document.Document
	if err := yaml.Unmarshal([]byte(text), &d); err != nil {
		return code.DocSyntax, err.Error()
	}
	return code.OK, ""
}

// publish publishes a document that names all engines.
func (f *fleet) publish(version string) { f.publishOf(version, len(f.engines)) }

// publishOf publishes a document that names the first n engines.
func (f *fleet) publishOf(version string, n int) {
	f.t.Helper()
	base := int64(0)
	if len(f.daemons) > 0 {
		base = f.daemons[0].follow.State().Services["s"].Version
	}
	doc := document.Document{Service: "s", Kind: document.KindModel, Models: []document.Model{{Name: "m", Version: version}}}
	for i := range n {
		doc.Targets = append(doc.Targets, document.Target{Addr: fmt.Sprint("e", i), Zone: "z", Model: "m"})
	}
	text, err := yaml.Marshal(doc)
	if err != nil {
		f.t.Fatal(err)
	}
	f.append("doc-"+version, record.KindDocument, record.Document{Service: "s", Base: base, YAML: string(text)})
}

func (f *fleet) append(id string, kind record.Kind, body any) {
	f.t.Helper()
	a := follow.NewAppender(f.log, func() int64 { return 0 }, 1000)
	e, err := follow.NewEnvelope(id, kind, "operator", body)
	if err == nil {
		_, err = a.Append(context.Background(), e)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (d *daemon) snapshot() *view.Snapshot { return snapshotOf(d.follow.State()) }

func snapshotOf(s *fold.State) *view.Snapshot {
	var services []*view.Service
	for _, svc := range s.Services {
		var doc document.Document
		if svc.Version > 0 && yaml.Unmarshal([]byte(svc.YAML), &doc) == nil {
			services = append(services, &view.Service{Doc: &doc, Version: svc.Version})
		}
	}
	return view.NewSnapshot(s.Applied, services, nil)
}

func (d *daemon) groups() []string { return Names(Groups(d.snapshot())) }

func (d *daemon) connect(id string, check lease.Check, _ time.Duration) port.Engine {
	return checkedEngine{d.fleet.engines[id], check}
}

// checkedEngine calls check before each order, as lease.Conn does before each
// write.
type checkedEngine struct {
	*fakeEngine
	check lease.Check
}

func (e checkedEngine) Order(ctx context.Context, o port.Order) error {
	if err := e.check(); err != nil {
		return err
	}
	return e.fakeEngine.Order(ctx, o)
}

// advance advances the virtual clock of the synctest bubble by d.
func advance(d time.Duration) { <-time.After(d) }
