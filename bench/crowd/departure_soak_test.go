package crowd

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	targets "github.com/pomelospool/pomelospool/standin"
)

var (
	departureSeed   = flag.Uint64("crowd.seed", 1, "first seed of trials with callers that leave")
	departureSeeds  = flag.Int("crowd.seeds", 1, "number of such trials")
	departureLength = flag.Duration("crowd.length", 6*time.Second, "length of such a trial")
)

const (
	leavers = 24 // callers that send requests and leave
	// maxStay is the longest time that a caller waits before it leaves, and maxStop that a
	// process stands still.
	maxStay = 300 * time.Millisecond
	maxStop = 1200 * time.Millisecond
	// wakeTime is the time in which a process that stood still gets on.
	wakeTime = 50 * time.Millisecond
)

// pauses are the times in which a daemon stood still.
type pauses struct {
	mu   sync.Mutex
	list [][2]time.Time
}

func (p *pauses) add(from, to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, [2]time.Time{from, to.Add(wakeTime)})
}

// within returns for how long the daemon stood still between two times.
func (p *pauses) within(from, to time.Time) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		begin, end := s[0], s[1]
		if begin.Before(from) {
			begin = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(end.Sub(begin), 0)
	}
	return sum
}

// cover reports whether the daemon stood still at a time and for wakeTime before and after.
func (p *pauses) cover(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if at.After(s[0].Add(wakeTime)) && at.Before(s[1].Add(-2*wakeTime)) {
			return true
		}
	}
	return false
}

// departureTrial is a trial in which callers leave while daemons stand still, are stopped as
// planned and reload, and while the store is away.
type departureTrial struct {
	*site
	callers []string   // addresses for callers, by daemon
	rng     *rand.Rand // of the faults
	witness *targets.Witness
	end     time.Time
	pauses  []pauses // by daemon

	mu     sync.Mutex
	daemon map[string]int // by request
}

// Guards against targets that work for callers that have left for longer than half a second,
// beside signals, planned stops and outages of the store in any order.
func TestSiteCallersThatLeaveAtAnyTime(t *testing.T) {
	for i := range *departureSeeds {
		seed := *departureSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := targets.NewWitness(func(h http.Header) string { return h.Get("X-Pomelospool-Request-Id") })
			s := newSiteWith(t, func(s *site, slow *standin.Target) string {
				slow.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
				return s.serve(w.Wrap(slow))
			})
			trial := &departureTrial{
				site: s, callers: s.addrs(len(s.daemons), portCallers), rng: rand.New(rand.NewPCG(seed, 1)), witness: w, end: time.Now().Add(*departureLength),
				pauses: make([]pauses, len(s.daemons)), daemon: make(map[string]int),
			}
			trial.run(seed)
		})
	}
}

func (d *departureTrial) run(seed uint64) {
	var all sync.WaitGroup
	for i := range leavers {
		rng := rand.New(rand.NewPCG(seed, uint64(i+2)))
		all.Go(func() {
			for n := 0; time.Now().Before(d.end); n++ {
				d.leaveOnce(rng, fmt.Sprintf("caller-%d-%d", i, n))
			}
		})
	}
	for time.Now().Before(d.end) {
		d.fault()
	}
	all.Wait()
	d.store.SetMode(standin.Up)
	if err := d.witness.AwaitNone(noticeTime + maxStop); err != nil {
		d.t.Error(err)
	}
	d.judge()
}

// leaveOnce sends a request in some way and leaves.
func (d *departureTrial) leaveOnce(rng *rand.Rand, id string) {
	daemon := rng.IntN(len(d.callers))
	body := []int{0, 100, 60 << 10, 300 << 10}[rng.IntN(4)]
	early := []string{"", "", "\r\n", d.request(id+"-next", 0)}[rng.IntN(4)]
	stay, stayAfter, reset := time.Duration(rng.Int64N(int64(maxStay))), time.Duration(rng.Int64N(int64(segmentTime))), rng.IntN(3) == 0
	c, err := net.DialTimeout("tcp", d.callers[daemon], time.Second)
	if err != nil {
		<-time.After(stay) // it is being restarted
		return
	}
	d.mu.Lock()
	d.daemon[id], d.daemon[id+"-next"] = daemon, daemon
	d.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(stay + stayAfter)) // a process that stands still reads nothing
	_, _ = io.WriteString(c, d.request(id, body))
	<-time.After(stay)
	_, _ = io.WriteString(c, early)
	<-time.After(stayAfter)
	d.witness.Leave(id, id+"-next")
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// fault brings one fault about.
func (d *departureTrial) fault() {
	i := d.rng.IntN(len(d.daemons))
	p, pause := d.daemons[i], time.Duration(d.rng.Int64N(int64(maxStop)))
	switch d.rng.IntN(6) {
	case 0, 1:
		from := time.Now()
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		<-time.After(pause)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		d.pauses[i].add(from, time.Now())
	case 2:
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		<-p.exited
		d.daemons[i] = d.start(i)
		eventually(d.t, "the daemon is back", func() bool { return d.answers(i) })
	case 3:
		_ = p.cmd.Process.Signal(syscall.SIGHUP)
	default:
		d.store.SetMode([]standin.Mode{standin.Unavailable, standin.Hang, standin.Reset, standin.Slow}[d.rng.IntN(4)])
		<-time.After(pause)
		d.store.SetMode(standin.Up)
	}
	<-time.After(pause / 4)
}

// judge checks how long targets worked on after the callers had left.
func (d *departureTrial) judge() {
	all := d.witness.Departures()
	for _, r := range all {
		daemon := d.daemon[r.ID]
		late := r.Begun.Sub(r.Left)
		if late > noticeTime || late > 0 && d.pauses[daemon].cover(r.Left) && !d.pauses[daemon].cover(r.Begun) {
			d.t.Errorf("%s at daemon %d began %v after its caller had left", r.ID, daemon, late)
		}
		if stayed := r.Ended.Sub(r.Left); !r.Ended.IsZero() && stayed-d.pauses[daemon].within(r.Left, r.Ended) > noticeTime {
			d.t.Errorf("%s at daemon %d: a target worked for %v after its caller had left", r.ID, daemon, stayed)
		}
	}
	d.t.Log(d.witness.CountDepartures(noticeTime))
	const fewest = 100 // with fewer the trial shows nothing
	if len(all) < fewest {
		d.t.Errorf("only %d requests reached targets", len(all))
	}
}
