package quota

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

// TestMain suppresses the lines on evictions.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const mb = 1 << 20

// open opens an account that closes itself when it is evicted, and records that.
func open(m *Memory, name string, evicted *[]string) *Account {
	var a *Account
	a = m.Open(func(bool) {
		*evicted = append(*evicted, name)
		a.Close()
	})
	return a
}

func mustGrow(t *testing.T, a *Account, n int64) {
	t.Helper()
	if err := a.Grow(n); err != nil {
		t.Fatal(err)
	}
}

// Guards against a crowd of large bodies that keeps out an ordinary request.
func TestCostliestIsEvictedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(10 * mb)
		var evicted []string
		old := open(m, "old", &evicted)
		mustGrow(t, old, 4*mb)
		time.Sleep(time.Second)
		young := open(m, "young", &evicted)
		mustGrow(t, young, 4*mb)
		time.Sleep(time.Millisecond)
		mustGrow(t, open(m, "large", &evicted), 4*mb)
		if !slices.Equal(evicted, []string{"old"}) {
			t.Errorf("evicted %v", evicted)
		}
		if got := m.Used(); got != 8*mb {
			t.Errorf("%d bytes are used", got)
		}
	})
}

// Guards against a request that is turned away although it runs, so that it isn't known
// whether it ran.
func TestRunningRequestsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(8 * mb)
		var evicted []string
		runs := open(m, "runs", &evicted)
		mustGrow(t, runs, 7*mb)
		if err := runs.Run(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if err := open(m, "large", &evicted).Grow(mb); !errors.Is(err, ErrExhausted) {
			t.Errorf("a large request: %v", err)
		}
		if len(evicted) > 0 {
			t.Errorf("evicted %v", evicted)
		}
		mustGrow(t, open(m, "small", &evicted), smallAccount)
	})
}

// Guards against a request that runs after it was refused as not run.
func TestEvictedRequestDoesNotRun(t *testing.T) {
	m := New(mb)
	a := m.Open(func(bool) {})
	mustGrow(t, a, smallAccount)
	m.EvictCostliest([]*Account{a}, 1)
	if a.Run() == nil || a.Grow(1) == nil {
		t.Error("an evicted request went on")
	}
	a.Readmit()
	if err := a.Run(); err != nil || m.releasing != 0 {
		t.Errorf("readmitted: %v, %d bytes in release", err, m.releasing)
	}
}

// Guards against a connection whose caller sends further requests while one runs, and
// which the process doesn't read from.
func TestUnreadBytesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(mb)
		var evicted []string
		floods := open(m, "floods", &evicted)
		_ = floods.Run() // not evicted
		quiet := open(m, "quiet", &evicted)
		_ = quiet.Run() // not evicted
		time.Sleep(time.Second)
		quiet.SetUnread(maxPipelined)
		floods.SetUnread(2 * mb)
		if !slices.Equal(evicted, []string{"floods"}) {
			t.Errorf("evicted %v", evicted)
		}
		if got := m.Used(); got != maxPipelined {
			t.Errorf("%d bytes are used", got)
		}
	})
}

// Guards against an account of bytes that nobody holds any more, which would turn away
// callers for good.
func TestAllBytesAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(4 * mb)
		for range 20 {
			a := m.Open(func(bool) {})
			mustGrow(t, a, ConnCost)
			a.Receive()
			_, err := ReadBody(a, strings.NewReader(strings.Repeat("x", mb)), -1, 2*mb)
			if err != nil {
				t.Fatal(err)
			}
			_ = a.Run() // not evicted
			a.SetUnread(100)
			a.Send()
			a.Reset(ConnCost)
			if got := m.Used(); got != ConnCost {
				t.Fatalf("%d bytes are used by an idle connection", got)
			}
			a.Close()
			a.Close()
			a.SetUnread(5)
			mustGrow(t, a, 8*mb) // work that outlives its connection
		}
		if m.Used() != 0 || m.releasing != 0 || len(m.accounts) != 0 {
			t.Errorf("%d bytes are used, %d in release, %d accounts", m.Used(), m.releasing, len(m.accounts))
		}
	})
}

// Guards against a wait for bytes that are never released.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(mb)
		stuck := m.Open(func(bool) {})
		mustGrow(t, stuck, 800<<10)
		time.Sleep(time.Second)
		begun := time.Now()
		if err := m.Open(func(bool) {}).Grow(200 << 10); !errors.Is(err, ErrExhausted) || time.Since(begun) != releaseTimeout {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		if err := m.Open(func(bool) {}).Grow(ConnCost); err != nil {
			t.Errorf("a new connection: %v", err)
		}
	})
}

// Guards against new connections that exceed the limit while evicted ones still hold
// their bytes.
func TestNewConnectionsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(mb)
		for range mb / (64 << 10) {
			var a *Account
			a = m.Open(func(bool) { time.AfterFunc(10*time.Millisecond, a.Close) })
			mustGrow(t, a, 64<<10)
		}
		time.Sleep(time.Second)
		for range 20 {
			mustGrow(t, m.Open(func(bool) {}), ConnCost)
			if m.Used() > mb {
				t.Fatalf("%d bytes of %d are used", m.Used(), mb)
			}
		}
	})
}

func TestReadBody(t *testing.T) {
	const max = 10_000
	for _, tc := range []struct {
		name         string
		size, length int
		want         int
	}{
		{"empty", 0, -1, 0},
		{"empty with a length", 0, 0, 0},
		{"chunks", 9_999, -1, 9_999},
		{"the limit", max, -1, max},
		{"the limit with a length", max, max, max},
		{"over the limit", max + 500, -1, max + 1},
		{"a length that isn't reached", 5, 100, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(mb)
			a := m.Open(func(bool) {})
			body, err := ReadBody(a, strings.NewReader(strings.Repeat("x", tc.size)), int64(tc.length), max)
			if err != nil || len(body) != tc.want {
				t.Errorf("%d bytes, %v", len(body), err)
			}
			if m.Used() != int64(cap(body)) {
				t.Errorf("%d bytes are charged for a buffer of %d", m.Used(), cap(body))
			}
		})
	}
}

// Guards against a large buffer for a body that is announced and doesn't come.
func TestAnnouncedLengthCostsNothing(t *testing.T) {
	m := New(mb)
	a := m.Open(func(bool) {})
	body, err := ReadBody(a, io.MultiReader(strings.NewReader("x"), failing{}), 4<<20, 4<<20)
	if !errors.Is(err, io.ErrUnexpectedEOF) || cap(body) > minBuffer {
		t.Errorf("a buffer of %d bytes, %v", cap(body), err)
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against limits that turn away callers where none are set.
func TestNoLimit(t *testing.T) {
	m := New(0)
	a := m.Open(nil)
	mustGrow(t, a, 1<<40)
	a.Receive()
	a.SetUnread(1 << 40)
	a.Send()
	if a.Run() != nil || a.Refused() || m.Used() != 0 || m.Limit() != 0 {
		t.Error("an account without a limit")
	}
	a.Close()
}

// Guards against answers to callers who don't read them that keep out others.
func TestAnswersAreCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cost = 600 << 10
		m := New(mb)
		var evicted []string
		serve := func(name string) int {
			a := open(m, name, &evicted)
			w := httptest.NewRecorder()
			req := httptest.NewRequest(http.MethodGet, "/", nil)
			Answers(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusOK)
			}), cost).ServeHTTP(w, req.WithContext(WithAccount(req.Context(), a)))
			return w.Code
		}
		first := serve("first")
		time.Sleep(time.Second)
		second := serve("second")
		if first != http.StatusOK || second != http.StatusOK || !slices.Equal(evicted, []string{"first"}) {
			t.Errorf("status %d and %d, evicted %v", first, second, evicted)
		}
	})
}

// Guards against a kernel that receives more and more for bodies, and against a small
// body that costs calls of the system.
func TestWindowIsChargedBeforeItIsWidened(t *testing.T) {
	for _, tc := range []struct {
		name         string
		size, length int
		want         []int
	}{
		{"small", 1000, 1000, nil},
		{"small, in chunks", 1000, -1, []int{smallWindow}},
		{"large", 100_000, 100_000, []int{smallWindow, largeWindow}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := New(mb)
			a := m.Open(func(bool) {})
			var windows []int
			a.ControlWindow(func(n int) { windows = append(windows, n) })
			body, err := ReadBody(a, strings.NewReader(strings.Repeat("x", tc.size)), int64(tc.length), mb)
			if err != nil || !slices.Equal(windows, tc.want) {
				t.Errorf("windows %v, %v", windows, err)
			}
			if charged := m.Used() - int64(cap(body)); charged != 0 && len(tc.want) < 2 || charged != largeWindow && len(tc.want) == 2 {
				t.Errorf("%d bytes are charged for the window", charged)
			}
		})
	}
}
