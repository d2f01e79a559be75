package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/roster"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// claimStore is a store that holds only the topic of claims.
type claimStore struct {
	records    []port.KeyedRecord
	newest     map[string]port.KeyedRecord
	loseAnswer bool
	beforePut  func() // called by PutAt before the write
}

func (s *claimStore) Newest(context.Context, port.Topic, string) (port.KeyedPage, error) {
	page := port.KeyedPage{End: int64(len(s.records))}
	for _, r := range s.newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *claimStore) PutAt(_ context.Context, _ port.Topic, key string, value []byte, at int64) (int64, error) {
	if s.beforePut != nil {
		s.beforePut()
	}
	if at != int64(len(s.records)) {
		return 0, port.ErrConflict
	}
	r := port.KeyedRecord{Key: key, Value: value, Offset: at}
	s.records = append(s.records, r)
	if s.newest == nil {
		s.newest = make(map[string]port.KeyedRecord)
	}
	s.newest[key] = r
	if s.loseAnswer {
		return 0, port.ErrUnavailable
	}
	return at, nil
}

func (s *claimStore) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, errors.New("not used")
}

func (s *claimStore) Put(context.Context, port.Topic, string, []byte) (int64, error) {
	return 0, errors.New("not used")
}

const lease = 3 * time.Second

func newClaims(self string, s port.Store, now *time.Duration) *Claims {
	c := clockFunc(func() time.Duration { return *now })
	return New(Options{Self: self, Store: s, Lease: lease, Clock: c, Ages: NewAgeTracker(c)})
}

// clockFunc is a clock.Clock that tests control.
type clockFunc func() time.Duration

// Now implements clock.Clock.
func (f clockFunc) Now() time.Duration { return f() }

// Guards against a takeover that waits a whole lease for a claim that is minutes
// old, because the new daemon reads it for the first time. Other daemons report
// its age.
func TestReportedAgeShortensWait(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := newClaims("a", s, &now), newClaims("b", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	now = lease
	b.o.Ages.Merge(a.o.Ages.Report())
	if _, err := b.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("claimed within the margin: %v", err)
	}
	now += waitMargin
	if _, err := b.Get(t.Context(), "svc"); err != nil {
		t.Errorf("still waiting after the lease expired: %v", err)
	}
	// The age of the previous claim must not be applied to the new one.
	a.o.Ages.Merge([]roster.Claim{{Subject: "svc", Offset: 0, AgeMs: time.Hour.Milliseconds()}})
	if _, err := a.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("claimed right after another holder: %v", err)
	}
}

// Guards against a new leader that starts to wait for the previous lease only
// when it first needs a claim.
func TestObserveStartsWait(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := newClaims("a", s, &now), newClaims("b", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	if err := b.Observe(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	now = lease + waitMargin
	if _, err := b.Get(t.Context(), "svc"); err != nil {
		t.Errorf("waited from its second read of the claim: %v", err)
	}
}

// Guards against two daemons that alternately send orders to the same engines,
// because the second one claimed before the first one's lease expired.
func TestSecondHolderWaitsForTheLease(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := newClaims("a", s, &now), newClaims("b", s, &now)
	first, err := a.Get(t.Context(), "svc")
	if err != nil || first.Fence != 0 {
		t.Fatal(first, err)
	}
	for ; now < lease; now += 250 * time.Millisecond {
		if _, err := b.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
			t.Fatalf("at %v: %v", now, err)
		}
	}
	if now < first.Until {
		t.Fatal("the claim outlasts the test's wait")
	}
	now += waitMargin
	second, err := b.Get(t.Context(), "svc")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
	if _, err := a.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("the first holder claimed again at once: %v", err)
	}
}

// Other daemons can't claim while the holder keeps taking new claims.
func TestWaitRestartsWithEachClaim(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := newClaims("a", s, &now), newClaims("b", s, &now)
	for ; now < 5*lease; now += lease / 2 {
		if _, err := a.Get(t.Context(), "svc"); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
			t.Fatalf("at %v: %v", now, err)
		}
	}
}

// Guards against a holder that was paused and acts after its lease. It must take
// a new claim before the next order.
func TestClaimEndsBeforeTheLease(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a := newClaims("a", s, &now)
	first, err := a.Get(t.Context(), "svc")
	if err != nil {
		t.Fatal(err)
	}
	if first.Until >= lease {
		t.Errorf("claim is valid until %v, with a lease of %v", first.Until, lease)
	}
	now = first.Until
	second, err := a.Get(t.Context(), "svc")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
}

// Two daemons read the same end of the topic. Only the first write succeeds.
func TestConcurrentClaimsConflict(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := newClaims("a", s, &now), newClaims("b", s, &now)
	s.beforePut = func() {
		s.beforePut = nil
		if _, err := b.Get(t.Context(), "svc"); err != nil {
			t.Error(err)
		}
	}
	if got, err := a.Get(t.Context(), "svc"); !errors.Is(err, port.ErrConflict) {
		t.Errorf("both daemons hold a claim: %+v, %v", got, err)
	}
}

// The store wrote the claim, but the response was lost. The claim is not used,
// and the next call takes a new one.
func TestLostResponseGivesNoClaim(t *testing.T) {
	s, now := &claimStore{loseAnswer: true}, time.Duration(0)
	a := newClaims("a", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err == nil {
		t.Fatal("got a claim although the response was lost")
	}
	s.loseAnswer = false
	got, err := a.Get(t.Context(), "svc")
	if err != nil || got.Fence != 1 {
		t.Errorf("claim %+v, %v", got, err)
	}
}

func TestDropEndsClaim(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a := newClaims("a", s, &now)
	first, _ := a.Get(t.Context(), "svc")
	a.Drop("svc")
	second, err := a.Get(t.Context(), "svc")
	if err != nil || second.Fence == first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
}

// Guards against a subject that nobody acts on any more, since another writer has left a
// claim that can't be decoded.
func TestClaimThatCannotBeDecodedExpires(t *testing.T) {
	for name, value := range map[string]string{"nonsense": "\xff{", "list": `["b"]`, "number": `{"holder":1e400}`} {
		t.Run(name, func(t *testing.T) {
			s, now := &claimStore{}, time.Duration(0)
			a := newClaims("a", s, &now)
			odd := port.KeyedRecord{Key: "svc", Value: []byte(value), Offset: 0}
			s.records, s.newest = []port.KeyedRecord{odd}, map[string]port.KeyedRecord{"svc": odd}
			for ; now < lease+waitMargin; now += 100 * time.Millisecond {
				if _, err := a.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
					t.Fatalf("at %v: %v", now, err)
				}
			}
			if got, err := a.Get(t.Context(), "svc"); err != nil || got.Fence != 1 {
				t.Errorf("claim %+v, %v", got, err)
			}
		})
	}
}
