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

// Follower reads and writes the control stream.
type Follower interface {
	Tail() Tail
	Changed() <-chan struct{}
	// Write appends a record once and waits until the local state includes it.
	// After an error the record may be in the log nevertheless.
	Write(ctx context.Context, id string, kind record.Kind, body any) (int64, error)
}

// Options configures a Manager. All fields except Rule and StartDelay are
// required.
type Options struct {
	Rule       Rule
	Clock      clock.Clock
	Follower   Follower
	Membership Membership
	Groups     func() []string // returns the current groups
	Self       string          // incarnation of this process
	Addr       string          // peer address, recorded in the claim
	StartDelay time.Duration   // from Start to the first claim; default Rule.Duration
}

const (
	tickInterval = 250 * time.Millisecond
	claimTimeout = 10 * time.Second
)

var counts = expvar.NewMap("lease")

// Manager acquires, holds and releases the leases of groups. Held and Check
// are safe for concurrent use and don't block.
type Manager struct {
	o  Options
	t  tomb.Tomb
	mu sync.Mutex
	// guarded by mu
	tracker   *Tracker
	claiming  map[string]bool // groups with a claim being appended
	held      map[string]bool // used only to log changes
	releasing bool            // set by Release: no more claims
	start     time.Duration
}

// New returns a Manager that is not started.
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

// Start starts claiming groups, after Options.StartDelay.
func (m *Manager) Start() {
	m.start = m.o.Clock.Now()
	m.t.Go(m.loop)
}

// Stop stops the goroutines and waits for them. It releases no leases; call
// Release for that, after the response to the last order has arrived.
func (m *Manager) Stop() error {
	m.t.Kill(nil)
	return m.t.Wait()
}

func (m *Manager) loop() error {
	tick := time.NewTicker(tickInterval)
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

// step updates the tracker and starts the claims that are due.
func (m *Manager) step() {
	tail := m.o.Follower.Tail()
	now := m.o.Clock.Now()
	groups := m.o.Groups()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tracker.Observe(now, tail.State)
	m.logChanges(now, tail, groups)
	if m.releasing || now < m.start+m.o.StartDelay {
		return
	}
	for _, c := range m.tracker.DueClaims(now, tail, groups, m.o.Membership) {
		m.claim(c)
	}
}

// claim appends c in a new goroutine, at most one at a time for each group.
// The caller holds m.mu.
func (m *Manager) claim(c record.Claim) {
	if m.claiming[c.Group] || !m.t.Alive() {
		return
	}
	m.claiming[c.Group] = true
	c.Addr = m.o.Addr
	m.t.Go(func() error {
		defer m.claimFinished(c.Group)
		counts.Add("claims", 1)
		ctx, cancel := context.WithTimeout(m.t.Context(context.Background()), claimTimeout)
		defer cancel()
		if _, err := m.o.Follower.Write(ctx, "claim-"+uuid.NewString(), record.KindClaim, c); err != nil {
			log.WithError(err).WithField("group", c.Group).Warn("lease: claim not confirmed")
		}
		return nil
	})
}

func (m *Manager) claimFinished(group string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claiming, group)
}

// logChanges logs each group that was acquired or lost.
func (m *Manager) logChanges(now time.Duration, tail Tail, groups []string) {
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

// Held returns the group's fencing number and the time until which this process
// may act for the group. ok is false if it may not act now. Held must be called
// before each write.
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

// Reclaim claims a group that this process already holds, to get a higher
// fencing number. This is needed when an engine moved here from a group with a
// newer claim and therefore refuses this group's fencing number.
func (m *Manager) Reclaim(group string) {
	fence, _, ok := m.Held(group)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claim(record.Claim{Group: group, Previous: fence, Holder: m.o.Self})
}

// Release releases all leases of this process, which never acts under these
// claims again. If the log is unreachable, the successors wait as they do after
// a crash. Release also stops claiming, as the process would otherwise reclaim
// the groups that it has just released.
func (m *Manager) Release(ctx context.Context) error {
	var first error
	for g, claim := range m.markAllReleased() {
		_, err := m.o.Follower.Write(ctx, fmt.Sprintf("release-%d", claim), record.KindRelease, record.Release{Group: g, Claim: claim})
		if err != nil && first == nil {
			first = fmt.Errorf("lease: release %s: %w", g, err)
		}
	}
	return first
}

func (m *Manager) markAllReleased() map[string]int64 {
	tail := m.o.Follower.Tail()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releasing = true
	released := map[string]int64{}
	for g, l := range tail.State.Leases {
		if l.Holder == m.o.Self && !l.Released {
			m.tracker.MarkReleased(l.Claim)
			released[g] = l.Claim
		}
	}
	return released
}
