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

// recorder is a log.Handler that records its entries.
type recorder struct {
	mu      sync.Mutex
	entries []*log.Entry
}

func (r *recorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	return nil
}

// count returns the number of lines with the given message.
func (r *recorder) count(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.Message == message {
			n++
		}
	}
	return n
}

// dropped returns the number of dropped lines that were reported for a message.
func (r *recorder) dropped(message string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.Message == DroppedMessage && e.Fields["message"] == message {
			n += e.Fields["count"].(int)
		}
	}
	return n
}

func advance(d time.Duration) { <-time.After(d) }

// Guards against a log line that is hidden among many repeated ones. 2,000
// attempts fail each second for ten seconds, and one other line reports a lost
// lease. Of the repeated lines a burst and the rate pass, and all others are
// counted. The other line must pass.
func TestRepeatedMessagesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, each = 10, 2000
		out := &recorder{}
		l := NewLimiter(out, Options{})
		logger := &log.Logger{Handler: l, Level: log.InfoLevel}
		for i := range seconds * each {
			logger.WithField("request", i).Info("attempt: failed")
			if i == seconds*each/2 {
				logger.Warn("lease: lost or out of date")
			}
			advance(time.Second / each)
		}
		advance(reportDelay)
		passed := out.count("attempt: failed")
		t.Logf("%d lines a second in, %.1f out, %d reports", each, float64(passed)/seconds, out.count(DroppedMessage))
		if limit := DefaultBurst + seconds*int(DefaultRate); passed > limit {
			t.Errorf("%d lines passed, at most %d may", passed, limit)
		}
		if n := out.dropped("attempt: failed"); passed+n != seconds*each {
			t.Errorf("%d passed and %d counted, of %d", passed, n, seconds*each)
		}
		if n := out.count(DroppedMessage); n > seconds+1 {
			t.Errorf("%d reports in %d seconds", n, seconds)
		}
		if out.count("lease: lost or out of date") != 1 {
			t.Error("the line of another component is missing")
		}
	})
}

// Checks which lines pass, and their order.
func TestBudgets(t *testing.T) {
	cases := []struct {
		name string
		run  func(log.Interface, *Limiter)
		want []string
	}{
		{"a burst, then the rate", func(lg log.Interface, _ *Limiter) {
			for range 3 {
				lg.Info("a")
			}
			advance(time.Second)
			synctest.Wait() // for the report
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
				out := &recorder{}
				l := NewLimiter(out, Options{Rate: 1, Burst: 2, Keys: 2})
				tc.run(&log.Logger{Handler: l, Level: log.InfoLevel}, l)
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

// A panic that net/http reports to the standard library's logger is logged as one
// line with a limited length.
func TestStdlibWriter(t *testing.T) {
	out := &recorder{}
	stdlog.New(StdlibWriter{Next: out}, "", 0).Print("http: panic serving: " + strings.Repeat("x", maxLibraryText))
	if len(out.entries) != 1 || out.entries[0].Level != log.WarnLevel {
		t.Fatalf("got %d lines", len(out.entries))
	}
	text := out.entries[0].Fields["text"].(string)
	if !strings.HasPrefix(text, "http: panic serving: x") || len(text) != maxLibraryText {
		t.Errorf("got %d bytes: %.30s", len(text), text)
	}
}
