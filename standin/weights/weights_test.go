package weights

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// loadTime returns the time that n concurrent loaders take for one model version.
func loadTime(t *testing.T, s *Store, n int) time.Duration {
	t.Helper()
	begin := time.Now()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if err := s.Load(t.Context(), "m", "1"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	return time.Since(begin).Round(10 * loadTick)
}

func TestLoadersShareTheRate(t *testing.T) {
	cases := []struct {
		rate    float64
		loaders int
		want    time.Duration
	}{
		{1e6, 1, 10 * time.Second},
		{1e6, 3, 30 * time.Second},
		{2e6, 1, 5 * time.Second},
		{0, 1, 0}, // no limit
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{Rate: c.rate, Size: 1e7})
			if got := loadTime(t, s, c.loaders); got != c.want {
				t.Errorf("%d loaders at %v took %v, want %v", c.loaders, c.rate, got, c.want)
			}
		})
	}
}

func TestOutagePausesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Rate: 1e6, Size: 1e7})
		time.AfterFunc(time.Second, func() { s.SetDown(true) })
		time.AfterFunc(time.Minute, func() { s.SetDown(false) })
		if got := loadTime(t, s, 1); got != 69*time.Second {
			t.Errorf("took %v", got)
		}
	})
}

func TestFetch(t *testing.T) {
	s := New(Options{})
	if err := s.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := Fetch(t.Context(), s.URL(), "m", "1"); err != nil {
		t.Fatal(err)
	}
	s.SetDown(true)
	if Fetch(t.Context(), s.URL(), "m", "1") == nil {
		t.Fatal("fetched in an outage")
	}
	if r := s.Record(); r != (Record{Loads: 1}) {
		t.Fatalf("record %+v", r)
	}
}
