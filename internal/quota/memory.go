// Package quota accounts for the memory that connections to this process and their
// requests hold, and turns some away before the process exceeds the memory of its VM.
//
// Each connection has an Account. It is charged for what the connection costs, for
// headers and bodies as they are read, for answers until they are written, and for bytes
// that the kernel has received and nobody has read. If a charge doesn't fit, accounts are
// evicted by the product of their bytes and the time for which they have made no
// progress. An ordinary request is small and complete within milliseconds, so that it is
// the last to be evicted. Requests that run aren't evicted.
package quota

import (
	"cmp"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

// ErrExhausted is the error of a charge that doesn't fit, and of every charge to an
// account that was evicted. Charges to closed accounts have no effect.
var ErrExhausted = errors.New("quota: the memory for callers is exhausted")

const (
	// smallAccount is the size in bytes up to which an account may use the whole limit.
	smallAccount = 64 << 10
	// smallReserve is the part of the limit that only small accounts may use, so that
	// large requests that run can't keep out ordinary ones.
	smallReserve = 8
	// batchesPerLimit is the number of batches of evicted bytes in the limit.
	batchesPerLimit = 16
	// releaseTimeout bounds the wait of a charge for the memory of evicted accounts.
	releaseTimeout = 250 * time.Millisecond
	// maxWaiting is the number of large accounts that may wait at a time. What their
	// callers send meanwhile stays in the kernel.
	maxWaiting = 16
	// logInterval is the interval between two log lines on evictions.
	logInterval = time.Second
)

// counts are the counters of this package.
var counts = expvar.NewMap("quota")

// phase is what an account's request does.
type phase int8

const (
	receiving phase = iota // its connection is idle, or a part of a request was read
	running                // its request was read whole
	sending                // its answer is being written
)

// Memory is the account of all callers' memory. It is safe for concurrent use. A nil
// *Memory has no limit.
type Memory struct {
	limit int64

	mu        sync.Mutex
	used      int64 // sum of the accounts' bytes
	releasing int64 // the part of used that belongs to evicted accounts
	accounts  map[*Account]struct{}
	freed     chan struct{} // closed when bytes are released; nil: nobody waits for that
	waiting   int           // charges of large accounts that wait
	refused   int           // charges since loggedAt
	evicted   int           // accounts since loggedAt
	loggedAt  time.Time
}

// New returns a Memory with a limit in bytes. It returns nil if the limit is 0 or less.
func New(limit int64) *Memory {
	if limit <= 0 {
		return nil
	}
	return &Memory{limit: limit, accounts: make(map[*Account]struct{})}
}

// Limit returns the limit in bytes, 0 for none.
func (m *Memory) Limit() int64 {
	if m == nil {
		return 0
	}
	return m.limit
}

// Used returns the number of bytes that are accounted for.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Account is the memory of one connection, or of one request of a connection that
// carries several at a time. It is safe for concurrent use. All methods of a nil *Account
// succeed without an effect.
type Account struct {
	m         *Memory
	evict     func(receiving bool)
	setWindow func(bytes int) // nil: the kernel's default

	// Guarded by m.mu.
	bytes   int64
	unread  int64 // the part of bytes that the kernel holds
	phase   phase
	since   time.Time // of the last progress
	evicted bool
	arrived bool // the request was read whole when it was evicted
	refused bool // a charge failed since the last Reset
	closed  bool
	waits   bool // counts in m.waiting
}

// Open opens an account. evict is called when the account is evicted, without locks; it
// must make the reads and writes of the connection fail soon. receiving means that no
// request was read whole, so that a refusal may still be written.
func (m *Memory) Open(evict func(receiving bool)) *Account {
	if m == nil {
		return nil
	}
	a := &Account{m: m, evict: evict, since: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accounts[a] = struct{}{}
	return a
}

// ControlWindow sets a function that limits how many bytes the kernel receives for the
// connection while nobody reads them. Call it before the account is used.
func (a *Account) ControlWindow(set func(bytes int)) {
	if a != nil {
		a.setWindow = set
	}
}

// Close closes the account and releases its bytes.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.closed {
		return
	}
	a.m.release(a, a.bytes)
	a.closed = true
	delete(a.m.accounts, a)
}

// release takes n bytes from the account. Callers hold m.mu.
func (m *Memory) release(a *Account, n int64) {
	if n <= 0 {
		return
	}
	a.bytes -= n
	m.used -= n
	if a.evicted {
		m.releasing -= n
	}
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// Grow charges n bytes to the account. If they don't fit, it evicts others and waits for
// their bytes. It fails with ErrExhausted if the account itself is the one to be evicted,
// or if there is nothing left to evict.
func (a *Account) Grow(n int64) error {
	if a == nil {
		return nil
	}
	err := a.grow(n)
	if err != nil {
		a.m.mu.Lock()
		a.refused = true
		a.m.mu.Unlock()
	}
	return err
}

func (a *Account) grow(n int64) error {
	freed, err := a.m.chargeAndEvict(a, n, true)
	if freed == nil {
		return err
	}
	if !a.beginWait(n) {
		return ErrExhausted
	}
	defer a.endWait()
	expired := time.After(releaseTimeout)
	for freed != nil {
		select {
		case <-freed:
		case <-expired:
			a.m.refuse()
			return ErrExhausted
		}
		freed, err = a.m.chargeAndEvict(a, n, true)
	}
	return err
}

// beginWait reports whether the account may wait to grow by n bytes.
func (a *Account) beginWait(n int64) bool {
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.bytes+n <= smallAccount {
		return true
	}
	if a.m.waiting >= maxWaiting {
		a.m.countRefusal()
		a.m.logEvictions()
		return false
	}
	a.m.waiting++
	a.waits = true
	return true
}

func (a *Account) endWait() {
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.waits {
		a.m.waiting--
		a.waits = false
	}
}

// Admit is Grow for a new connection. It doesn't wait until those that were evicted have
// released their bytes.
func (a *Account) Admit(n int64) error {
	if a == nil {
		return nil
	}
	_, err := a.m.chargeAndEvict(a, n, false)
	return err
}

func (m *Memory) chargeAndEvict(a *Account, n int64, wait bool) (freed <-chan struct{}, err error) {
	victims, freed, err := m.charge(a, n, wait)
	for _, v := range victims {
		v.evict(!v.arrived)
	}
	return freed, err
}

// charge charges n bytes to a, or selects accounts to evict. If freed isn't nil, the
// charge must be repeated after freed is closed. Without wait it charges the bytes once
// enough others are evicted.
func (m *Memory) charge(a *Account, n int64, wait bool) (victims []*Account, freed <-chan struct{}, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.closed {
		return nil, nil, nil // work that outlives its connection
	}
	if a.evicted {
		return nil, nil, ErrExhausted
	}
	limit := m.limit
	if a.bytes+n > smallAccount {
		limit -= m.limit / smallReserve
	}
	if m.used+n <= limit {
		m.used += n
		a.bytes += n
		return nil, nil, nil
	}
	victims, enough := m.selectVictims(m.used-m.releasing+n-limit, a, n)
	if !enough {
		m.countRefusal()
		m.logEvictions()
		return victims, nil, ErrExhausted
	}
	m.logEvictions()
	if !wait {
		m.used += n
		a.bytes += n
		return victims, nil, nil
	}
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return victims, m.freed, nil
}

// selectVictims marks accounts as evicted until n bytes, and a batch more, will be
// released. It stops at the account self, which asks for more bytes, and reports whether
// n bytes will be released then.
func (m *Memory) selectVictims(n int64, self *Account, more int64) (victims []*Account, enough bool) {
	if n <= 0 {
		return nil, true
	}
	now := time.Now()
	var all []candidate
	for a := range m.accounts {
		if a.evicted || !a.evictable() {
			continue
		}
		asked := int64(0)
		if a == self {
			asked = more
		}
		all = append(all, candidate{a, a.cost(asked, now)})
	}
	sortByCost(all)
	sum, target := int64(0), n+m.limit/batchesPerLimit
	for _, c := range all {
		if sum >= target || c.a == self {
			break
		}
		sum += c.a.bytes
		m.markEvicted(c.a)
		victims = append(victims, c.a)
	}
	return victims, sum >= n
}

// maxPipelined is the number of unread bytes up to which a running request isn't evicted.
const maxPipelined = 16 << 10

// evictable reports whether the account may be evicted. Callers hold m.mu.
func (a *Account) evictable() bool { return a.phase != running || a.unread > maxPipelined }

// markEvicted marks an account as evicted. Callers hold m.mu and call a.evict later.
func (m *Memory) markEvicted(a *Account) {
	a.evicted, a.arrived = true, a.phase != receiving
	m.releasing += a.bytes
	m.evicted++
	counts.Add("evicted", 1)
}

func (m *Memory) refuse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countRefusal()
	m.logEvictions()
}

func (m *Memory) countRefusal() {
	m.refused++
	counts.Add("refused", 1)
}

// logEvictions logs what has happened since the last line, at most once in logInterval.
// Callers hold m.mu.
func (m *Memory) logEvictions() {
	now := time.Now()
	if now.Sub(m.loggedAt) < logInterval || m.evicted+m.refused == 0 {
		return
	}
	log.WithFields(log.Fields{
		"limit": m.limit, "used": m.used, "accounts": len(m.accounts), "evicted": m.evicted, "refused": m.refused,
	}).Warn("quota: callers were turned away")
	m.loggedAt, m.evicted, m.refused = now, 0, 0
}

// Shrink releases n of the account's bytes.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if !a.closed {
		a.m.release(a, min(n, a.bytes-a.unread))
	}
}

// Reset releases all bytes above n and starts to wait for the next request.
func (a *Account) Reset(n int64) {
	if a == nil {
		return
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.closed {
		return
	}
	a.m.release(a, a.bytes-n)
	a.unread, a.refused = 0, false
	a.phase, a.since = receiving, time.Now()
}

// Receive states that a request begins to arrive.
func (a *Account) Receive() { a.enter(receiving) }

// Run states that the request was read whole. It returns ErrExhausted if the account was
// evicted before; the request must not run then.
func (a *Account) Run() error {
	if !a.enter(running) {
		return ErrExhausted
	}
	return nil
}

// Send states that a part of the answer is about to be written.
func (a *Account) Send() { a.enter(sending) }

// enter changes the phase. It returns false if the account was evicted.
func (a *Account) enter(p phase) bool {
	if a == nil {
		return true
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.evicted {
		return false
	}
	a.phase, a.since = p, time.Now()
	return true
}

// SetUnread charges the bytes that the kernel has received for the connection and nobody
// has read. They are there already, so that the charge always succeeds, and others are
// evicted if it exceeds the limit.
func (a *Account) SetUnread(n int64) {
	if a == nil {
		return
	}
	m := a.m
	m.mu.Lock()
	var victims []*Account
	if more := n - a.unread; !a.closed && more != 0 {
		a.unread = n
		if more < 0 {
			m.release(a, -more)
		} else {
			a.bytes += more
			m.used += more
			if a.evicted {
				m.releasing += more
			}
			victims, _ = m.selectVictims(m.used-m.releasing-m.limit, nil, 0)
			m.logEvictions()
		}
	}
	m.mu.Unlock()
	for _, v := range victims {
		v.evict(!v.arrived)
	}
}

// Set makes the account hold n bytes besides unread ones, as Grow and Shrink.
func (a *Account) Set(n int64) error {
	if a == nil {
		return nil
	}
	a.m.mu.Lock()
	more := n - (a.bytes - a.unread)
	a.m.mu.Unlock()
	if more <= 0 {
		a.Shrink(-more)
		return nil
	}
	return a.Grow(more)
}

// EvictCostliest evicts up to n of the accounts, by their cost.
func (m *Memory) EvictCostliest(accounts []*Account, n int) {
	if m == nil {
		return
	}
	now := time.Now()
	m.mu.Lock()
	var all []candidate
	for _, a := range accounts {
		if !a.evicted && !a.closed && a.evictable() {
			all = append(all, candidate{a, a.cost(0, now)})
		}
	}
	sortByCost(all)
	all = all[:min(n, len(all))]
	for _, c := range all {
		m.markEvicted(c.a)
	}
	m.logEvictions()
	m.mu.Unlock()
	for _, c := range all {
		c.a.evict(!c.a.arrived)
	}
}

// candidate is an account that may be evicted.
type candidate struct {
	a    *Account
	cost float64
}

// cost returns the product of the account's bytes, with some more, and the time since its
// last progress, in byte-seconds. Callers hold m.mu.
func (a *Account) cost(more int64, now time.Time) float64 {
	return float64(a.bytes+more) * now.Sub(a.since).Seconds()
}

// sortByCost sorts the costliest first.
func sortByCost(all []candidate) {
	slices.SortFunc(all, func(x, y candidate) int { return cmp.Compare(y.cost, x.cost) })
}

// Refused reports whether the account was evicted, or a charge failed since the last Reset.
func (a *Account) Refused() bool {
	if a == nil {
		return false
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	return a.evicted || a.refused
}

// Readmit takes an eviction back.
func (a *Account) Readmit() {
	if a == nil {
		return
	}
	a.m.mu.Lock()
	defer a.m.mu.Unlock()
	if a.evicted && !a.closed {
		a.evicted = false
		a.m.releasing -= a.bytes
	}
}
