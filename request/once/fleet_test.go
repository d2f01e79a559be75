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

// TestMain keeps the log lines of provoked faults out of the output, and sets
// how many random histories are tried; the command line comes after it.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	_ = flag.Set("rapid.checks", "3000")
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

// fleet is a set of daemons over one log, which call each other in process,
// and one target that counts what it runs.
type fleet struct {
	t     testing.TB
	log   *logsvc.Log
	mu    sync.Mutex
	nodes []*node
	runs  map[string]int
	opts  Options // changes to the defaults
}

// node is one daemon.
type node struct {
	f     *fleet
	name  string
	l     *Log
	awake chan struct{} // closed while the process runs
	dead  bool          // killed
	gone  bool          // held for dead by the members
	old   bool          // not in the members' list any more
}

func newFleet(t testing.TB, n int, o logsvc.Options) *fleet {
	f := &fleet{t: t, log: logsvc.New(o), runs: make(map[string]int)}
	for range n {
		f.start()
	}
	return f
}

func (f *fleet) start() *node {
	f.mu.Lock()
	n := &node{f: f, name: fmt.Sprintf("daemon-%d", len(f.nodes)), awake: make(chan struct{})}
	close(n.awake)
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	o := f.opts
	o.Self, o.Log, o.Members, o.Client = n.name, n, f.members, n.client
	n.l = New(o)
	n.l.Start()
	return n
}

func (f *fleet) members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Member
	for _, n := range f.nodes {
		if n.old {
			continue
		}
		out = append(out, Member{Incarnation: n.name, Addr: n.name, Live: !n.gone})
	}
	return out
}

func (f *fleet) node(addr string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.name == addr {
			return n
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.wake()
		_ = n.l.Stop()
	}
}

func (n *node) set(change func()) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	change()
}

// kill ends the process; the members notice at once.
func (n *node) kill() {
	n.set(func() { n.dead, n.gone = true, true })
	_ = n.l.Stop()
}

// pause stops the process at its next call out or in.
func (n *node) pause() { n.set(func() { n.awake = make(chan struct{}) }) }

func (n *node) wake() {
	n.set(func() {
		select {
		case <-n.awake:
		default:
			close(n.awake)
		}
	})
}

var errDead = errors.New("no such process")

// gate waits while the process is paused.
func (n *node) gate(ctx context.Context) error {
	n.f.mu.Lock()
	awake, dead := n.awake, n.dead
	n.f.mu.Unlock()
	if dead {
		return errDead
	}
	select {
	case <-awake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements port.Log. A pause holds it before and after.
func (n *node) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := n.gate(context.Background()); err != nil {
		return 0, fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	}
	offset, err := n.f.log.Append(ctx, stream, data)
	_ = n.gate(context.Background())
	return offset, err
}

// Read implements port.Log.
func (n *node) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]port.Record, int64, error) {
	_ = n.gate(context.Background())
	return n.f.log.Read(ctx, stream, from, limit, wait)
}

// Earliest implements port.Log.
func (n *node) Earliest(ctx context.Context, stream string) (int64, error) {
	return n.f.log.Earliest(ctx, stream)
}

// client calls another daemon.
func (n *node) client(addr string) (peerpb.PeerClient, error) {
	return &link{to: n.f.node(addr)}, nil
}

type link struct {
	peerpb.PeerClient
	to *node
}

func (k *link) Propose(ctx context.Context, r *peerpb.ProposeRequest, _ ...grpc.CallOption) (*peerpb.ProposeReply, error) {
	if err := k.to.gate(ctx); err != nil {
		return nil, err
	}
	return k.to.l.HandlePropose(ctx, r)
}

func (k *link) Lookup(ctx context.Context, r *peerpb.LookupRequest, _ ...grpc.CallOption) (*peerpb.LookupReply, error) {
	if err := k.to.gate(ctx); err != nil {
		return nil, err
	}
	return k.to.l.HandleLookup(ctx, r)
}

// call is what a caller's key and content stand for in these tests.
func call(key string) Call { return Call{Service: "app", Key: key, Digest: 1} }

// run has the target run a key, and gives its answer.
func (f *fleet) run(key string) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return Answer{Status: 201, Type: "text/plain", Body: []byte("held " + key)}
}

// send does what the entry does with a caller's request, and returns what the
// caller sees: "held k", or the number of a code.
func (n *node) send(c Call) string { return n.sendBefore(context.Background(), c) }

func (n *node) sendBefore(ctx context.Context, c Call) string {
	ticket, answer, err := n.l.Begin(ctx, c)
	switch {
	case err != nil:
		return seen(err)
	case answer != nil:
		return string(answer.Body)
	}
	a := n.f.run(c.Key)
	ticket.Done(a)
	return string(a.Body)
}

func seen(err error) string { return fmt.Sprint(int(code.Of(err))) }

// begin takes the ticket of a key and leaves it to the test.
func (n *node) begin(key string) Ticket {
	ticket, _, err := n.l.Begin(context.Background(), call(key))
	if err != nil || ticket == nil {
		n.f.t.Errorf("%s: no ticket for %s: %v", n.name, key, err)
	}
	return ticket
}

// batcherOf is the daemon that batches a key's shard.
func (f *fleet) batcherOf(key string) *node {
	l := f.nodes[0].l
	addr := l.batchers(newKeyID("app", key).shardOf(l.o.Shards))[0]
	if addr == "" {
		return f.nodes[0]
	}
	return f.node(addr)
}

// other is a live daemon that isn't n.
func (f *fleet) other(not ...*node) *node {
	for _, n := range f.nodes {
		ok := !n.dead
		for _, x := range not {
			ok = ok && n != x
		}
		if ok {
			return n
		}
	}
	f.t.Fatal("no other daemon")
	return nil
}

// ranOnce checks the invariant for a key.
func (f *fleet) ran(key string, want int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[key] != want {
		f.t.Errorf("the target ran %s %d times, want %d", key, f.runs[key], want)
	}
}

// expect compares what a caller saw.
func (f *fleet) expect(what, got, want string) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("%s: the caller saw %q, want %q", what, got, want)
	}
}

// advance lets the virtual clock of the synctest bubble run on.
func advance(d time.Duration) { <-time.After(d) }

// bubble runs a test of a fleet with virtual time.
func bubble(t *testing.T, n int, o logsvc.Options, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n, o)
		advance(2 * settleTime)
		test(f)
		f.stop()
	})
}
