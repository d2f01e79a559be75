package logsvc

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Rate: 10})
		begin := time.Now()
		for range 21 {
			if _, err := l.Append(t.Context(), "s", nil); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(begin).Round(time.Millisecond); took != 2*time.Second {
			t.Fatalf("20 appends after the first took %v", took)
		}
	})
}

func TestHungCallContinuesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Options{Latency: time.Second})
		l.SetOutage(Hang)
		time.AfterFunc(time.Minute, func() { l.SetOutage(Up) })
		begin := time.Now()
		offset, err := l.Append(t.Context(), "s", nil)
		if took := time.Since(begin); err != nil || offset != 1 || took != time.Minute {
			t.Fatalf("offset %d, %v after %v", offset, err, took)
		}
	})
}

func TestExpire(t *testing.T) {
	l := New(Options{})
	for range 3 {
		l.Append(t.Context(), "s", nil)
	}
	for _, c := range []struct{ before, earliest int64 }{{2, 2}, {1, 2}, {99, 4}} {
		l.Expire("s", c.before)
		if got, err := l.Earliest(t.Context(), "s"); err != nil || got != c.earliest {
			t.Fatalf("expired before %d: earliest %d, %v", c.before, got, err)
		}
	}
}
