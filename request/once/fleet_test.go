package once

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

// TestMain hides the log lines that the provoked faults cause, and sets the
// number of random histories. Flags of the command line override it.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// fleet is a set of daemons that share one log and call each other in process,
// and one target that counts the calls it runs.
type fleet struct {
	t       testing.TB
	log     *logsvc.Log
	mu      sync.Mutex
	daemons []*daemon
	runs    map[string]int
	opts    Options // overrides of the defaults
}

// daemon is one simulated process. It implements port.Log and forwards to the
// log of the fleet.
type daemon struct {
	f            *fleet
	name         string
	l            *LogDeduplicator
	running      chan struct{} // closed while the process is not paused
	dead         bool          // killed
	reportedDead bool          // not live in the member list
	unlisted     bool          // missing from the member list
}

func newFleet(t testing.TB, n int, o logsvc.Options) *fleet {
	f := &fleet{t: t, log: logsvc.New(o), runs: make(map[string]int)}
	for range n {
		f.start()
	}
	return f
}

func (f *fleet) start() *daemon {
	f.mu.Lock()
	d := &daemon{f: f, name: fmt.Sprintf("daemon-%d", len(f.daemons)), running: make(chan struct{})}
	close(d.running)
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	o := f.opts
	o.Self, o.Log, o.Members, o.Client = d.name, d, f.members, d.client
	d.l = New(o)
	d.l.Start()
	return d
}

func (f *fleet) members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Member
	for _, d := range f.daemons {
		if d.unlisted {
			continue
		}
		out = append(out, Member{Incarnation: d.name, Addr: d.name, Live: !d.reportedDead})
	}
	return out
}

func (f *fleet) daemonAt(addr string) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		if d.name == addr {
			return d
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.resume()
		_ = d.l.Stop()
	}
}

func (d *daemon) update(change func()) {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	change()
}

// kill ends the process and marks it as dead in the member list.
func (d *daemon) kill() {
	d.update(func() { d.dead, d.reportedDead = true, true })
	_ = d.l.Stop()
}

// pause blocks the process at its next call to the log or from a peer.
func (d *daemon) pause() { d.update(func() { d.running = make(chan struct{}) }) }

func (d *daemon) resume() {
	d.update(func() {
		select {
		case <-d.running:
		default:
			close(d.running)
		}
	})
}

var errDead = errors.New("no such process")

// waitWhilePaused blocks while the process is paused. It returns errDead if the
// process was killed.
func (d *daemon) waitWhilePaused(ctx context.Context) error {
	d.f.mu.Lock()
	running, dead := d.running, d.dead
	d.f.mu.Unlock()
	if dead {
		return errDead
	}
	select {
	case <-running:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements port.Log. It blocks while the process is paused, both before
// and after the append.
func (d *daemon) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := d.waitWhilePaused(context.Background()); err != nil {
		return 0, fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	}
	offset, err := d.f.log.Append(ctx, stream, data)
	_ = d.waitWhilePaused(context.Background())
	return offset, err
}

// Read implements port.Log.
func (d *daemon) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]port.Record, int64, error) {
	_ = d.waitWhilePaused(context.Background())
	return d.f.log.Read(ctx, stream, from, limit, wait)
}

// Earliest implements port.Log.
func (d *daemon) Earliest(ctx context.Context, stream string) (int64, error) {
	return d.f.log.Earliest(ctx, stream)
}

// client returns a client of another daemon.
func (d *daemon) client(addr string) (peerpb.PeerClient, error) {
	return &peerClient{to: d.f.daemonAt(addr)}, nil
}

type peerClient struct {
	peerpb.PeerClient
	to *daemon
}

func (c *peerClient) Propose(ctx context.Context, r *peerpb.ProposeRequest, _ ...grpc.CallOption) (*peerpb.ProposeReply, error) {
	if err := c.to.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	return c.to.l.HandlePropose(ctx, r)
}

func (c *peerClient) Lookup(ctx context.Context, r *peerpb.LookupRequest, _ ...grpc.CallOption) (*peerpb.LookupReply, error) {
	if err := c.to.waitWhilePaused(ctx); err != nil {
		return nil, err
	}
	return c.to.l.HandleLookup(ctx, r)
}

// call returns the call that the tests send for a key.
func call(key string) Call { return Call{Service: "app", Key: key, Digest: 1} }

// run counts a run of the key on the target and returns its answer.
func (f *fleet) run(key string) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return Answer{Status: 201, Type: "text/plain", Body: []byte("held " + key)}
}

// send handles a request of a caller as request/entry does, and returns the body
// of the answer or the number of the result code.
func (d *daemon) send(c Call) string { return d.sendWithContext(context.Background(), c) }

func (d *daemon) sendWithContext(ctx context.Context, c Call) string {
	ticket, answer, err := d.l.Begin(ctx, c)
	switch {
	case err != nil:
		return codeNumber(err)
	case answer != nil:
		return string(answer.Body)
	}
	a := d.f.run(c.Key)
	ticket.Done(a)
	return string(a.Body)
}

func codeNumber(err error) string { return fmt.Sprint(int(code.Of(err))) }

// begin returns a ticket for a key, which the test itself ends.
func (d *daemon) begin(key string) Ticket {
	ticket, _, err := d.l.Begin(context.Background(), call(key))
	if err != nil || ticket == nil {
		d.f.t.Errorf("%s: no ticket for %s: %v", d.name, key, err)
	}
	return ticket
}

// batcherOf returns the daemon that batches the shard of a key.
func (f *fleet) batcherOf(key string) *daemon {
	l := f.daemons[0].l
	addr := l.batchers(newKeyID("app", key).shardOf(l.o.Shards))[0]
	if addr == "" {
		return f.daemons[0]
	}
	return f.daemonAt(addr)
}

// other returns a live daemon that is not in exclude.
func (f *fleet) other(exclude ...*daemon) *daemon {
	for _, d := range f.daemons {
		ok := !d.dead
		for _, x := range exclude {
			ok = ok && d != x
		}
		if ok {
			return d
		}
	}
	f.t.Fatal("no other daemon")
	return nil
}

// expectRuns checks how often the target ran a key.
func (f *fleet) expectRuns(key string, want int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[key] != want {
		f.t.Errorf("the target ran %s %d times, want %d", key, f.runs[key], want)
	}
}

// expect compares what a caller received with what it should receive.
func (f *fleet) expect(what, got, want string) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("%s: the caller saw %q, want %q", what, got, want)
	}
}

// advance moves the virtual clock of the synctest bubble forward.
func advance(d time.Duration) { <-time.After(d) }

// runFleet runs a test with a fleet of n daemons in virtual time.
func runFleet(t *testing.T, n int, o logsvc.Options, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, o)
		advance(2 * membershipSettleTime)
		test(f)
		f.stop()
	})
}
