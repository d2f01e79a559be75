package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/version/route"
)

// stopTime is the time from the signal to the stop in these tests.
const stopTime = 7 * time.Second

// callOf returns a call that arrives now, of a route with a timeout of 15 s.
func callOf(name string, output int) *dispatch.Call {
	return &dispatch.Call{Route: &route.Route{Name: name, Timeout: 15 * time.Second}, Arrived: time.Now(), Meta: port.RequestMeta{MaxOutputTokens: output}}
}

// play runs answers of a route that begin gap apart, from now on for the given
// time, and returns at its end. Answers then go on, as callers' do.
func play(d *Durations, name string, output int, span, gap time.Duration, takes func(n int) time.Duration) {
	for n := 0; time.Duration(n)*gap < span; n++ {
		end := d.begin(callOf(name, output))
		time.AfterFunc(takes(n), func() { end(true) })
		time.Sleep(gap)
	}
}

func constant(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// oneIn returns takes with one answer in n that takes x times as long.
func oneIn(n, x int, usual time.Duration) func(int) time.Duration {
	return func(i int) time.Duration {
		if i%n == n-1 {
			return time.Duration(x) * usual
		}
		return usual
	}
}

// accepts reports whether a daemon that stops after left accepts a call.
func accepts(d *Durations, c *dispatch.Call, left time.Duration) bool {
	return d.predict(c, left) <= left
}

// upTo returns streams of 50 ms to 6 s.
func upTo(n int) time.Duration {
	return 50*time.Millisecond + time.Duration(n*37%120)*50*time.Millisecond
}

// Guards against streams that are cut as their daemon stops, since it had only
// completed short ones until then, and against answers that are refused though they
// are known to end in time.
func TestAnswersThatOutlastAStop(t *testing.T) {
	cases := []struct {
		name   string
		before func(d *Durations)
		output int
		left   time.Duration
		want   bool
	}{
		{"no answer is known", func(*Durations) {}, 10, 4 * time.Second, false},
		{"the daemon began 4 s ago and has completed the short streams only", func(d *Durations) {
			play(d, "r", 10, 4*time.Second, 20*time.Millisecond, upTo)
		}, 10, 4 * time.Second, false},
		{"the daemon began 2 s ago and all its streams are open", func(d *Durations) {
			play(d, "r", 10, 2*time.Second, 20*time.Millisecond, constant(6*time.Second))
		}, 10, 4 * time.Second, false},
		{"some short streams ended while long ones are open", func(d *Durations) {
			play(d, "r", 10, 2*time.Second, 10*time.Millisecond, oneIn(5, 120, 50*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"the daemon has seen streams of all lengths", func(d *Durations) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, upTo)
		}, 10, 4 * time.Second, false},
		{"streams that have become long within seconds are all open", func(d *Durations) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, constant(time.Second))
			play(d, "r", 10, 2*time.Second, 50*time.Millisecond, constant(6*time.Second))
		}, 10, 4 * time.Second, false},
		{"streams that become longer and longer, of which the last were complete", func(d *Durations) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, constant(time.Second))
			play(d, "r", 10, 3500*time.Millisecond, 50*time.Millisecond, func(n int) time.Duration { return time.Second + time.Duration(n)*70*time.Millisecond })
		}, 10, 4 * time.Second, false},
		{"one stream in twenty is ten times as long", func(d *Durations) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, oneIn(20, 10, 600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"one stream in twenty is ten times as long, and none was for 8 s", func(d *Durations) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, oneIn(20, 10, 600*time.Millisecond))
			play(d, "r", 10, 8*time.Second, 5*time.Millisecond, constant(600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"fewer answers are known than show one in twenty", func(d *Durations) {
			play(d, "r", 10, 20*time.Second, time.Second, constant(600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"all answers are short", func(d *Durations) {
			play(d, "r", 0, 8*time.Second, 20*time.Millisecond, constant(60*time.Millisecond))
		}, 0, 4 * time.Second, true},
		{"all answers are short, and a stream has waited a little longer", func(d *Durations) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(2*time.Second))
			play(d, "r", 10, 2200*time.Millisecond, 50*time.Millisecond, constant(2200*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"streams end in time", func(d *Durations) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, upTo)
		}, 10, 6*time.Second + 1600*time.Millisecond, true},
		{"long ones state a larger maximum", func(d *Durations) {
			play(d, "r", 1000, 20*time.Second, 50*time.Millisecond, constant(6*time.Second))
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"short ones state a smaller maximum", func(d *Durations) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 1000, 4 * time.Second, false},
		{"those with a larger maximum are short, too", func(d *Durations) {
			play(d, "r", 1000, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"answers of another route are short", func(d *Durations) {
			play(d, "other", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"the timeout ends each answer in time", func(*Durations) {}, 10, 15 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := NewDurations(8 * time.Second)
				tc.before(d)
				if got := accepts(d, callOf("r", tc.output), tc.left); got != tc.want {
					t.Errorf("accepted: %v, predicted %v", got, d.predict(callOf("r", tc.output), tc.left))
				}
				time.Sleep(time.Minute) // all answers end
			})
		})
	}
}

// Guards against answers that failed or were cut, and count as short ones: what they
// would have taken is unknown.
func TestFailedAnswersShowNoDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDurations(8 * time.Second)
		for range 1000 {
			end := d.begin(callOf("r", 10))
			time.Sleep(10 * time.Millisecond)
			end(false)
		}
		if accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("accepted")
		}
	})
}

// Guards against an answer of one bad moment that makes a daemon refuse others for ever.
func TestOldAnswersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDurations(8 * time.Second)
		play(d, "r", 10, time.Second, 50*time.Millisecond, constant(6*time.Second))
		play(d, "r", 10, time.Minute, 200*time.Millisecond, constant(100*time.Millisecond))
		if accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("accepted after a minute")
		}
		play(d, "r", 10, 2*durationPeriod, 200*time.Millisecond, constant(100*time.Millisecond))
		if !accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("refused after two periods")
		}
		time.Sleep(3 * durationPeriod)
		if d.rows(); len(d.byKey) > 0 {
			t.Error("an unused route is kept")
		}
	})
}

// exchange sends the rows of each daemon to the others.
func exchangeRows(t *testing.T, all ...*Durations) {
	t.Helper()
	for i, from := range all {
		pieces, err := from.Table().Report(func(string) bool { return false }, 1000)
		if err != nil {
			t.Fatal(err)
		}
		for j, to := range all {
			for n, data := range pieces {
				if i == j {
					continue
				}
				if err := to.Table().Merge(strconv.Itoa(i), n, len(pieces), data); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// Guards against a young daemon that refuses what others know to be short, and
// against one that accepts what others know to be long, or to have become long.
func TestYoungDaemonUsesWhatOthersKnow(t *testing.T) {
	cases := []struct {
		name  string
		takes func(n int) time.Duration
		then  time.Duration // of the streams in the last 3 s
		want  bool
	}{
		{"short", constant(500 * time.Millisecond), 500 * time.Millisecond, true},
		{"long", upTo, time.Second, false},
		{"one in twenty is long", oneIn(20, 10, 600*time.Millisecond), 600 * time.Millisecond, false},
		{"growing", constant(500 * time.Millisecond), 6 * time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old := NewDurations(8 * time.Second)
				play(old, "r", 10, 30*time.Second, 50*time.Millisecond, tc.takes)
				play(old, "r", 10, 3*time.Second, 50*time.Millisecond, constant(tc.then))
				young := NewDurations(8 * time.Second)
				play(young, "r", 10, 200*time.Millisecond, 20*time.Millisecond, constant(50*time.Millisecond))
				if accepts(young, callOf("r", 10), 4*time.Second) {
					t.Error("accepted without knowledge")
				}
				time.Sleep(durationRefresh)
				exchangeRows(t, old, young)
				if got := accepts(young, callOf("r", 10), 4*time.Second); got != tc.want {
					t.Errorf("accepted: %v", got)
				}
				time.Sleep(time.Minute)
				// The other daemon has ended.
				if got := accepts(young, callOf("r", 10), 4*time.Second); got != tc.want {
					t.Errorf("a minute later, accepted: %v", got)
				}
			})
		})
	}
}

// Guards against cut streams while all daemons are young, after a loss of all or when
// they restart in turns: none of them has seen a long stream end.
func TestAllDaemonsAreYoung(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*Durations
		for range 3 {
			all = append(all, NewDurations(8*time.Second))
		}
		for second := range 8 {
			for _, d := range all {
				go play(d, "r", 10, time.Second, 10*time.Millisecond, oneIn(20, 100, 60*time.Millisecond))
				go play(d, "short", 0, time.Second, 10*time.Millisecond, constant(60*time.Millisecond))
			}
			time.Sleep(time.Second)
			exchangeRows(t, all...)
			for i, d := range all {
				if accepts(d, callOf("r", 10), 4*time.Second) {
					t.Errorf("daemon %d accepts a stream after %d s", i, second+1)
				}
			}
		}
		for i, d := range all {
			if !accepts(d, callOf("short", 0), 4*time.Second) {
				t.Errorf("daemon %d refuses a short answer", i)
			}
		}
		time.Sleep(time.Minute)
	})
}

// Guards against rows from other daemons that count an answer for each daemon that
// passes them on, and against sums that overflow.
func TestDurationRowsAdd(t *testing.T) {
	r := DurationRow{Count: 1 << 31, Longest: 3, Recent: 9}.Add(DurationRow{Count: 1<<31 + 5, Longest: 7, Recent: 2})
	if r.Count != 1<<32-1 || r.Longest != 7 || r.Recent != 9 {
		t.Errorf("%+v", r)
	}
	rows := make([]DurationRow, 2*maxDurationRows)
	for i := range rows {
		rows[i].Count = uint32(i)
	}
	if got := limitDurationRows(rows); len(got) != maxDurationRows || got[0].Count != 2*maxDurationRows-1 {
		t.Errorf("%d rows, the first %+v", len(got), got[0])
	}
}

// Guards against a stream that is cut because the daemon stops: a daemon that has
// served only short streams accepted a long one 3.2 s after the signal. A refused
// request must not have run, and its caller is told to try another daemon at once.
func TestStoppingRefusesLongAnswers(t *testing.T) {
	f := start(t, true)
	f.decode.Set(func(b *standin.Behaviour) { b.Gap = time.Millisecond })
	for i := range 2 * minKnownAnswers { // a fast daemon's first second
		f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders(fmt.Sprint("s", i), 30*time.Second, "aa:10"), "")
		<-f.observations
	}
	ran := len(f.decode.Ran())
	f.StopAt(time.Now().Add(4 * time.Second))
	resp, body := f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r1", 30*time.Second, "aa:10"), "")
	var e struct {
		Error struct {
			Code   int  `json:"code"`
			NotRun bool `json:"not_run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("status %d, %v: %q", resp.StatusCode, err, body)
	}
	wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || e.Error.Code != int(code.Draining) || !e.Error.NotRun || err != nil || wait > 0.1 || !resp.Close {
		t.Errorf("status %d, headers %v, %s", resp.StatusCode, resp.Header, body)
	}
	if now := len(f.decode.Ran()); now != ran {
		t.Errorf("%d streams ran after the refusal, %d before", now, ran)
	}
	f.o.Durations.mu.Lock()
	f.o.Durations.byKey[keyOf(callOf("plain", 0))] = &history{width: time.Second, older: [2]durationSample{{count: minKnownAnswers, longest: 60 * time.Millisecond}}}
	f.o.Durations.mu.Unlock()
	if resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r2"), ""); resp.StatusCode != http.StatusOK || resp.Header.Get(answer.HeaderCode) != "" {
		t.Errorf("short answer: status %d", resp.StatusCode)
	}
}
