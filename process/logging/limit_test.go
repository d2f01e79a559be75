package logging

import (
	"fmt"
	stdlog "log"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

// kept is a handler that keeps what it gets.
type kept struct {
	mu      sync.Mutex
	entries []*log.Entry
}

func (k *kept) HandleLog(e *log.Entry) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.entries = append(k.entries, e)
	return nil
}

// lines returns how often message was logged.
func (k *kept) lines(message string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, e := range k.entries {
		if e.Message == message {
			n++
		}
	}
	return n
}

// leftOut returns the sum of the counts reported for message.
func (k *kept) leftOut(message string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, e := range k.entries {
		if e.Message == DroppedMessage && e.Fields["message"] == message {
			n += e.Fields["count"].(int)
		}
	}
	return n
}

func advance(d time.Duration) { <-time.After(d) }

// TestStorm: all engines fail at ten times the load the fleet carries, and
// 2,000 attempts a second fail for ten seconds. Each would write a line; the
// one line on the lost lease would drown in 20,000. What passes is a burst and
// the rate, every other line is counted, and the lost lease stands there.
func TestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, each = 10, 2000
		out := &kept{}
		l := NewLimiter(out, Options{})
		logger := &log.Logger{Handler: l, Level: log.InfoLevel}
		for i := range seconds * each {
			logger.WithField("request", i).Info("attempt: failed")
			if i == seconds*each/2 {
				logger.Warn("lease: lost or out of date")
			}
			advance(time.Second / each)
		}
		advance(reportAfter)
		passed := out.lines("attempt: failed")
		t.Logf("%d lines a second in, %.1f out, %d reports", each, float64(passed)/seconds, out.lines(DroppedMessage))
		if most := DefaultBurst + seconds*int(DefaultRate); passed > most {
			t.Errorf("%d lines passed, at most %d may", passed, most)
		}
		if n := out.leftOut("attempt: failed"); passed+n != seconds*each {
			t.Errorf("%d passed and %d counted, of %d", passed, n, seconds*each)
		}
		if n := out.lines(DroppedMessage); n > seconds+1 {
			t.Errorf("%d reports in %d seconds", n, seconds)
		}
		if out.lines("lease: lost or out of date") != 1 {
			t.Error("the line of another part is lost")
		}
	})
}

// TestBudgets: what passes in which order.
func TestBudgets(t *testing.T) {
	cases := []struct {
		name string
		play func(log.Interface, *Limiter)
		want []string
	}{
		{"a burst, then the rate", func(lg log.Interface, _ *Limiter) {
			for range 3 {
				lg.Info("a")
			}
			advance(time.Second)
			synctest.Wait() // until the report is out
			lg.Info("a")
			lg.Info("a")
		}, []string{"a", "a", DroppedMessage + " 1", "a"}},
		{"levels have budgets of their own", func(lg log.Interface, _ *Limiter) {
			for range 2 {
				lg.Info("a")
				lg.Warn("a")
			}
		}, []string{"a", "a", "a", "a"}},
		{"too many messages share a budget", func(lg log.Interface, _ *Limiter) {
			for i := range 6 {
				lg.Info(fmt.Sprint("m", i))
			}
		}, []string{"m0", "m1", "m2", "m3"}},
		{"old messages make room", func(lg log.Interface, _ *Limiter) {
			lg.Info("a")
			lg.Info("b")
			advance(time.Minute)
			for range 2 {
				lg.Info("c")
				lg.Info("d")
			}
		}, []string{"a", "b", "c", "d", "c", "d"}},
		{"a report on demand", func(lg log.Interface, l *Limiter) {
			for range 4 {
				lg.Info("a")
			}
			l.Report()
			l.Report()
		}, []string{"a", "a", DroppedMessage + " 2"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &kept{}
				l := NewLimiter(out, Options{Rate: 1, Burst: 2, Keys: 2})
				tc.play(&log.Logger{Handler: l, Level: log.InfoLevel}, l)
				var got []string
				for _, e := range out.entries {
					s := e.Message
					if n, ok := e.Fields["count"]; ok {
						s += fmt.Sprint(" ", n)
					}
					got = append(got, s)
				}
				if fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("got %q, want %q", got, tc.want)
				}
				if len(l.budgets) > 3 {
					t.Errorf("%d budgets", len(l.budgets))
				}
			})
		})
	}
}

// TestLibrary: net/http reports a panic by the standard library's logger; it
// comes out as one line of ours, cut to a bound.
func TestLibrary(t *testing.T) {
	out := &kept{}
	stdlog.New(StdlibWriter{Next: out}, "", 0).Print("http: panic serving: " + strings.Repeat("x", maxLibraryText))
	if len(out.entries) != 1 || out.entries[0].Level != log.WarnLevel {
		t.Fatalf("got %d lines", len(out.entries))
	}
	text := out.entries[0].Fields["text"].(string)
	if !strings.HasPrefix(text, "http: panic serving: x") || len(text) != maxLibraryText {
		t.Errorf("got %d bytes: %.30s", len(text), text)
	}
}
