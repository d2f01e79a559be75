package lease

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/record"
)

// Follower is what leases need of the control stream.
type Follower interface {
	Tail() Tail
	Changed() <-chan struct{}
	// Write appends a decision once and waits until it is folded here. After
	// an error the record may stand all the same.
	Write(ctx context.Context, id string, kind record.Kind, body any) (int64, error)
}

// Options of a Manager. All but Rule and StartDelay must be set.
type Options struct {
	Rule       Rule
	Clock      clock.Clock
	Follower   Follower
	Membership Membership
	Groups     func() []string // groups that exist now
	Self       string          // incarnation of this process
	Addr       string          // peer address, for the claim
	StartDelay time.Duration   // after the start, before the first claim; Rule.T
}

const (
	tickEvery    = 250 * time.Millisecond
	claimTimeout = 10 * time.Second
)

var counts = expvar.NewMap("lease")

// Manager claims groups, keeps them and gives them back. Held and Check are
// safe for concurrent use and don't block.
type Manager struct {
	o  Options
	t  tomb.Tomb
	mu sync.Mutex
	// guarded by mu
	tracker  *Tracker
	claiming map[string]bool
	held     map[string]bool // for log lines only
	leaving  bool            // Release was called
	start    time.Duration
}

// New returns a Manager that doesn't run yet.
func New(o Options) *Manager {
	o.Rule = o.Rule.WithDefaults()
	if o.StartDelay <= 0 {
		o.StartDelay = o.Rule.Duration
	}
	return &Manager{
		o:        o,
		tracker:  NewTracker(o.Rule, o.Self),
		claiming: map[string]bool{},
		held:     map[string]bool{},
	}
}

// Start begins to claim.
func (m *Manager) Start() {
	m.start = m.o.Clock.Now()
	m.t.Go(m.loop)
}

// Stop ends the goroutines and waits for them. It gives nothing back; call
// Release for that, after the last order was answered.
func (m *Manager) Stop() error {
	m.t.Kill(nil)
	return m.t.Wait()
}

func (m *Manager) loop() error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		changed := m.o.Follower.Changed()
		m.step()
		select {
		case <-changed:
		case <-tick.C:
		case <-m.t.Dying():
			return nil
		}
	}
}

// step notes what stands and claims what is wanted.
func (m *Manager) step() {
	tail := m.o.Follower.Tail()
	now := m.o.Clock.Now()
	groups := m.o.Groups()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Observe(now, tail.State)
	m.report(now, tail, groups)
	if m.leaving || now < m.start+m.o.StartDelay {
		return
	}
	for _, c := range m.tracker.DueClaims(now, tail, groups, m.o.Membership) {
		m.claim(c)
	}
}

// claim appends c on a goroutine of its own, one at a time for each group.
func (m *Manager) claim(c record.Claim) {
	if m.claiming[c.Group] || !m.t.Alive() {
		return
	}
	m.claiming[c.Group] = true
	c.Addr = m.o.Addr
	m.t.Go(func() error {
		defer m.claimed(c.Group)
		counts.Add("claims", 1)
		ctx, cancel := context.WithTimeout(m.t.Context(context.Background()), claimTimeout)
		defer cancel()
		if _, err := m.o.Follower.Write(ctx, "claim-"+uuid.NewString(), record.KindClaim, c); err != nil {
			log.WithError(err).WithField("group", c.Group).Warn("lease: claim not confirmed")
		}
		return nil
	})
}

func (m *Manager) claimed(group string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claiming, group)
}

// report writes a log line for each group that was taken over or lost.
func (m *Manager) report(now time.Duration, tail Tail, groups []string) {
	for _, g := range groups {
		a, ok := m.tracker.Authority(now, tail, g)
		if ok == m.held[g] {
			continue
		}
		m.held[g] = ok
		fields := log.Fields{"group": g, "fence": a.Fence}
		if ok {
			counts.Add("taken", 1)
			log.WithFields(fields).Info("lease: taken over")
			continue
		}
		counts.Add("lost", 1)
		log.WithFields(fields).Warn("lease: lost or out of date")
	}
}

// Held returns the fencing number of the group and until when this process may
// act for it, as of now. It must be asked before each write.
func (m *Manager) Held(group string) (fence int64, until time.Duration, ok bool) {
	tail := m.o.Follower.Tail()
	m.mu.Lock()
	defer m.mu.Unlock()
	a, ok := m.tracker.Authority(m.o.Clock.Now(), tail, group)
	return a.Fence, a.Until, ok
}

// Check returns a function that allows a write only while this process holds
// the group under the given fencing number.
func (m *Manager) Check(group string, fence int64) Check {
	return func() error {
		if f, _, ok := m.Held(group); ok && f == fence {
			return nil
		}
		counts.Add("writes_stopped", 1)
		return code.New(code.LeaseLost, "group %s, fence %d", group, fence)
	}
}

// Reclaim claims a group again that this process holds, for a higher fencing
// number. It is needed when an engine came from another group whose claim is
// newer and refuses the number of this one.
func (m *Manager) Reclaim(group string) {
	fence, _, ok := m.Held(group)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claim(record.Claim{Group: group, Previous: fence, Holder: m.o.Self})
}

// Release gives back all that this process holds. From its call on the process
// never acts under these claims again, even if the log can't be reached; then
// its successors wait as after a death. It claims nothing more, or it would
// take back what it has just released.
func (m *Manager) Release(ctx context.Context) error {
	var first error
	for g, claim := range m.giveAll() {
		_, err := m.o.Follower.Write(ctx, fmt.Sprintf("release-%d", claim), record.KindRelease, record.Release{Group: g, Claim: claim})
		if err != nil && first == nil {
			first = fmt.Errorf("lease: release %s: %w", g, err)
		}
	}
	return first
}

func (m *Manager) giveAll() map[string]int64 {
	tail := m.o.Follower.Tail()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
	given := map[string]int64{}
	for g, l := range tail.State.Leases {
		if l.Holder == m.o.Self && !l.Released {
			m.tracker.MarkReleased(l.Claim)
			given[g] = l.Claim
		}
	}
	return given
}
