package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc/test/bufconn"

	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/membership"
)

// pipeBuffer is the size of an in-memory connection's buffer.
const pipeBuffer = 16 << 10

// fleet runs n members in this process over in-memory connections.
type fleet struct {
	vms   []port.VM
	nodes map[string]*fleetNode
}

type fleetNode struct {
	m      *membership.Membership
	server *peer.Server
	dialer *peer.Dialer
	l      *bufconn.Listener
	wire   wire
}

// List implements port.VMs.
func (f *fleet) List(context.Context) ([]port.VM, error) { return f.vms, nil }

func newFleet(n int) *fleet {
	f := &fleet{nodes: make(map[string]*fleetNode)}
	for i := range n {
		id := fmt.Sprintf("vm-%03d", i)
		f.vms = append(f.vms, port.VM{ID: id, Addr: id})
		f.nodes[id] = &fleetNode{l: bufconn.Listen(pipeBuffer)}
	}
	for i, v := range f.vms {
		f.start(v.ID, uint64(i+1))
	}
	return f
}

func (f *fleet) start(id string, seed uint64) {
	n := f.nodes[id]
	n.dialer = peer.NewDialer(peer.DialerOptions{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := f.nodes[addr].l.DialContext(ctx)
		if err != nil {
			return nil, err
		}
		return n.wire.count(c), nil
	}})
	began := time.Now()
	n.m = membership.New(membership.Options{
		Self: &peerpb.Member{
			Id: id, Incarnation: id + "/11111111-2222-3333-4444-555555555555", StartedMs: seed,
			PeerAddr: id, CallerAddr: "127.127.127.127:7000", Zone: "zg-dubrava",
		},
		Prober:    n.dialer,
		VMs:       f,
		PeerAddr:  func(v port.VM) string { return v.Addr },
		Now:       func() time.Duration { return time.Since(began) },
		Period:    heartbeat,
		DeadAfter: deadAfter,
		Seed:      seed,
	})
	n.server = peer.NewServer(peer.Handlers{Heartbeat: n.m.HandleHeartbeat}, nil)
	go n.server.Serve(&countedListener{Listener: n.l, w: &n.wire})
	n.m.Start()
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		_ = n.m.Stop()
		n.server.Stop()
		n.dialer.Close()
	}
}

// live returns the least number of live members that any node sees.
func (f *fleet) live() int {
	least := len(f.nodes)
	for _, n := range f.nodes {
		live, _ := n.m.View().Reachable()
		least = min(least, live)
	}
	return least
}

func (f *fleet) sent() float64 {
	var sum float64
	for _, n := range f.nodes {
		sum += n.wire.total()
	}
	return sum
}

// Membership is what heartbeats cost one daemon of a fleet of each size.
type Membership struct {
	Bytes  Slope // bytes/s sent, headers included
	CPU    Slope // percent of a core
	Memory Slope // bytes, at the connections open by then
	// Seconds until every member saw all others live, by size.
	Settled []Point
}

// MeasureMembership runs fleets of the given sizes, each for the given time
// after all members see each other.
func MeasureMembership(sizes []int, run time.Duration, say func(string)) (Membership, error) {
	var bytes, cpu, memory, settled []Point
	for _, size := range sizes {
		say(fmt.Sprintf("membership of %d daemons", size))
		before := heap()
		f := newFleet(size)
		began := time.Now()
		for f.live() < size-1 {
			if time.Since(began) > time.Minute {
				f.stop()
				return Membership{}, fmt.Errorf("%d members: the least that one sees live is %d after a minute", size, f.live())
			}
			<-time.After(heartbeat / 4)
		}
		x, n := float64(size), float64(size)
		settled = append(settled, Point{x, time.Since(began).Seconds()})
		<-time.After(settleTime)
		sent, used, at := f.sent(), cpuTime(), time.Now()
		<-time.After(run)
		seconds := time.Since(at).Seconds()
		bytes = append(bytes, Point{x, (f.sent() - sent) / n / seconds})
		cpu = append(cpu, Point{x, 100 * (cpuTime() - used).Seconds() / n / seconds})
		memory = append(memory, Point{x, (heap() - before) / n})
		f.stop()
	}
	return Membership{
		Bytes:   Fit("heartbeats sent by a daemon", "daemons", "B/s", bytes...),
		CPU:     Fit("processor time of heartbeats", "daemons", "% of a core", cpu...),
		Memory:  Fit("memory of membership", "daemons", "B", memory...),
		Settled: settled,
	}, nil
}

// settleTime lets the news of the start die out before the measurement.
const settleTime = time.Minute
