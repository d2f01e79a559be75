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

// claimStore is a store with the topic of claims only.
type claimStore struct {
	records []port.KeyedRecord
	newest  map[string]port.KeyedRecord
	lose    bool
	between func() // called between a listing and the write after it
}

func (s *claimStore) Newest(context.Context, port.Topic, string) (port.KeyedPage, error) {
	page := port.KeyedPage{End: int64(len(s.records))}
	for _, r := range s.newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

func (s *claimStore) PutAt(_ context.Context, _ port.Topic, key string, value []byte, at int64) (int64, error) {
	if s.between != nil {
		s.between()
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
	if s.lose {
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

func claimer(self string, s port.Store, now *time.Duration) *Claims {
	c := fixed(func() time.Duration { return *now })
	return New(Options{Self: self, Store: s, Lease: lease, Clock: c, Ages: NewAgeTracker(c)})
}

// fixed is a clock that tests move.
type fixed func() time.Duration

// Now implements clock.Clock.
func (f fixed) Now() time.Duration { return f() }

// All decoding engines are gone. The daemon that takes the duty over sees the
// last claim for the first time, and waits for its lease, though it has stood
// for minutes: the others know.
func TestAgeOfAClaimIsReported(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := claimer("a", s, &now), claimer("b", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	now = lease
	b.o.Ages.Merge(a.o.Ages.Report())
	if _, err := b.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("claims within the margin: %v", err)
	}
	now += waitMargin
	if _, err := b.Get(t.Context(), "svc"); err != nil {
		t.Errorf("waits though the lease is over: %v", err)
	}
	// An age reported of the claim before says nothing of the new one.
	a.o.Ages.Merge([]roster.Claim{{Subject: "svc", Offset: 0, AgeMs: time.Hour.Milliseconds()}})
	if _, err := a.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("claims right after another holder: %v", err)
	}
}

// The daemon that begins to lead reads the claim at once, not when it first
// needs an order.
func TestClaimIsSightedEarly(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := claimer("a", s, &now), claimer("b", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	if err := b.Observe(t.Context(), "svc"); err != nil {
		t.Fatal(err)
	}
	now = lease + waitMargin
	if _, err := b.Get(t.Context(), "svc"); err != nil {
		t.Errorf("waits from its second sight: %v", err)
	}
}

// Two daemons give orders to the same engines in turn, and each undoes what the
// other did. The second one claimed while the first one's lease still ran.
func TestSecondHolderWaitsForTheLease(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := claimer("a", s, &now), claimer("b", s, &now)
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
		t.Fatal("the test ends before the claim does")
	}
	now += waitMargin
	second, err := b.Get(t.Context(), "svc")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
	if _, err := a.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
		t.Errorf("the first holder claims again at once: %v", err)
	}
}

// A holder that goes on claiming keeps the others out.
func TestWaitBeginsAnewWithEachClaim(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := claimer("a", s, &now), claimer("b", s, &now)
	for ; now < 5*lease; now += lease / 2 {
		if _, err := a.Get(t.Context(), "svc"); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Get(t.Context(), "svc"); !errors.Is(err, ErrHeld) {
			t.Fatalf("at %v: %v", now, err)
		}
	}
}

// A holder is paused and wakes after its lease: it must claim again before the
// next order.
func TestClaimEndsBeforeTheLease(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a := claimer("a", s, &now)
	first, err := a.Get(t.Context(), "svc")
	if err != nil {
		t.Fatal(err)
	}
	if first.Until >= lease {
		t.Errorf("acts until %v of %v", first.Until, lease)
	}
	now = first.Until
	second, err := a.Get(t.Context(), "svc")
	if err != nil || second.Fence <= first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
}

// Two daemons read the same end of the topic; the other one's claim is written
// first.
func TestRaceHasOneWinner(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a, b := claimer("a", s, &now), claimer("b", s, &now)
	s.between = func() {
		s.between = nil
		if _, err := b.Get(t.Context(), "svc"); err != nil {
			t.Error(err)
		}
	}
	if got, err := a.Get(t.Context(), "svc"); !errors.Is(err, port.ErrConflict) {
		t.Errorf("both won: %+v, %v", got, err)
	}
}

// The store did the write and its answer was lost. Nothing is done under that
// claim, and a new one takes its place.
func TestLostAnswerGivesNoClaim(t *testing.T) {
	s, now := &claimStore{lose: true}, time.Duration(0)
	a := claimer("a", s, &now)
	if _, err := a.Get(t.Context(), "svc"); err == nil {
		t.Fatal("a claim without an answer")
	}
	s.lose = false
	got, err := a.Get(t.Context(), "svc")
	if err != nil || got.Fence != 1 {
		t.Errorf("claim %+v, %v", got, err)
	}
}

func TestDropEndsAClaim(t *testing.T) {
	s, now := &claimStore{}, time.Duration(0)
	a := claimer("a", s, &now)
	first, _ := a.Get(t.Context(), "svc")
	a.Drop("svc")
	second, err := a.Get(t.Context(), "svc")
	if err != nil || second.Fence == first.Fence {
		t.Errorf("claim %+v, %v", second, err)
	}
}
