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

func (m *Memory) chargeAndEvict(a *Account, n int64) (freed <-chan struct{}, err error) {
	victims, freed, err := m.charge(a, n)
	evictAll(victims)
	return freed, err
}

// evictAll ends the connections of accounts that markEvicted has marked. Callers don't hold
// m.mu.
func evictAll(victims []*Account) {
	for _, v := range victims {
		v.evict(!v.arrived)
	}
}

// charge charges n bytes to a, or selects accounts to evict. If freed isn't nil, the
// charge must be repeated after freed is closed.
func (m *Memory) charge(a *Account, n int64) (victims []*Account, freed <-chan struct{}, err error) {
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
	var victims []*Account
	for _, c := range all[:min(n, len(all))] {
		m.markEvicted(c.a)
		victims = append(victims, c.a)
	}
	m.logEvictions()
	m.mu.Unlock()
	evictAll(victims)
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
