package quota

import "time"

// phase is what an account's request does.
type phase int8

const (
	receiving phase = iota // its connection is idle, or a part of a request was read
	running                // its request was read whole
	sending                // its answer is being written
)

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
	freed, err := a.m.chargeAndEvict(a, n)
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
		freed, err = a.m.chargeAndEvict(a, n)
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
	evictAll(victims)
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
