package duration

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// callOf returns a call that arrives now, of a route with a timeout of 15 s.
func callOf(name string, output int) Call {
	return Call{Route: name, Output: output, Arrived: time.Now(), Timeout: 15 * time.Second}
}

// play runs answers of a route that begin gap apart, from now on for the given
// time, and returns at its end. Answers then go on, as callers' do.
func play(d *Tracker, name string, output int, span, gap time.Duration, takes func(n int) time.Duration) {
	for n := 0; time.Duration(n)*gap < span; n++ {
		end := d.Begin(callOf(name, output))
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
func accepts(d *Tracker, c Call, left time.Duration) bool {
	return !d.Outlasts(c, c.Arrived.Add(left))
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
		before func(d *Tracker)
		output int
		left   time.Duration
		want   bool
	}{
		{"no answer is known", func(*Tracker) {}, 10, 4 * time.Second, false},
		{"the daemon began 4 s ago and has completed the short streams only", func(d *Tracker) {
			play(d, "r", 10, 4*time.Second, 20*time.Millisecond, upTo)
		}, 10, 4 * time.Second, false},
		{"the daemon began 2 s ago and all its streams are open", func(d *Tracker) {
			play(d, "r", 10, 2*time.Second, 20*time.Millisecond, constant(6*time.Second))
		}, 10, 4 * time.Second, false},
		{"some short streams ended while long ones are open", func(d *Tracker) {
			play(d, "r", 10, 2*time.Second, 10*time.Millisecond, oneIn(5, 120, 50*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"the daemon has seen streams of all lengths", func(d *Tracker) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, upTo)
		}, 10, 4 * time.Second, false},
		{"streams that have become long within seconds are all open", func(d *Tracker) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, constant(time.Second))
			play(d, "r", 10, 2*time.Second, 50*time.Millisecond, constant(6*time.Second))
		}, 10, 4 * time.Second, false},
		{"streams that become longer and longer, of which the last were complete", func(d *Tracker) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, constant(time.Second))
			play(d, "r", 10, 3500*time.Millisecond, 50*time.Millisecond, func(n int) time.Duration { return time.Second + time.Duration(n)*70*time.Millisecond })
		}, 10, 4 * time.Second, false},
		{"one stream in twenty is ten times as long", func(d *Tracker) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, oneIn(20, 10, 600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"one stream in twenty is ten times as long, and none was for 8 s", func(d *Tracker) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, oneIn(20, 10, 600*time.Millisecond))
			play(d, "r", 10, 8*time.Second, 5*time.Millisecond, constant(600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"fewer answers are known than show one in twenty", func(d *Tracker) {
			play(d, "r", 10, 20*time.Second, time.Second, constant(600*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"a stream has been open for longer than answers are followed", func(d *Tracker) {
			d.Begin(callOf("r", 10))
			play(d, "r", 10, 20*time.Second, 20*time.Millisecond, constant(60*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"all answers are short", func(d *Tracker) {
			play(d, "r", 0, 8*time.Second, 20*time.Millisecond, constant(60*time.Millisecond))
		}, 0, 4 * time.Second, true},
		{"all answers are short, and a stream has waited a little longer", func(d *Tracker) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(2*time.Second))
			play(d, "r", 10, 2200*time.Millisecond, 50*time.Millisecond, constant(2200*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"streams end in time", func(d *Tracker) {
			play(d, "r", 10, 30*time.Second, 50*time.Millisecond, upTo)
		}, 10, 6*time.Second + 1600*time.Millisecond, true},
		{"long ones state a larger maximum", func(d *Tracker) {
			play(d, "r", 1000, 20*time.Second, 50*time.Millisecond, constant(6*time.Second))
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"short ones state a smaller maximum", func(d *Tracker) {
			play(d, "r", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 1000, 4 * time.Second, false},
		{"those with a larger maximum are short, too", func(d *Tracker) {
			play(d, "r", 1000, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, true},
		{"answers of another route are short", func(d *Tracker) {
			play(d, "other", 10, 20*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		}, 10, 4 * time.Second, false},
		{"the timeout ends each answer in time", func(*Tracker) {}, 10, 15 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(8 * time.Second)
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
		d := New(8 * time.Second)
		for range 1000 {
			end := d.Begin(callOf("r", 10))
			time.Sleep(10 * time.Millisecond)
			end(false)
		}
		if accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("accepted")
		}
	})
}

// Guards against a crash by an answer that arrived before its Tracker was made, or at
// the very end of the horizon.
func TestAnswersOfAnyAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(8 * time.Second)
		time.Sleep(time.Minute)
		for age := time.Duration(0); age <= 2*time.Minute; age += 100 * time.Millisecond {
			c := callOf("r", 10)
			c.Arrived = c.Arrived.Add(-age)
			d.Begin(c)(true)
		}
		if d.rows(); d.byKey[callOf("r", 10).group()].overdue != 0 {
			t.Error("answers count as open")
		}
	})
}

// Guards against an answer of one bad moment that makes a daemon refuse others for ever.
func TestOldAnswersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(8 * time.Second)
		play(d, "r", 10, time.Second, 50*time.Millisecond, constant(6*time.Second))
		play(d, "r", 10, time.Minute, 200*time.Millisecond, constant(100*time.Millisecond))
		if accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("accepted after a minute")
		}
		play(d, "r", 10, 2*period, 200*time.Millisecond, constant(100*time.Millisecond))
		if !accepts(d, callOf("r", 10), 4*time.Second) {
			t.Error("refused after two periods")
		}
		time.Sleep(3 * period)
		if d.rows(); len(d.byKey) > 0 {
			t.Error("an unused route is kept")
		}
	})
}

// exchange sends the rows of each daemon to the others.
func exchangeRows(t *testing.T, all ...*Tracker) {
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
				old := New(8 * time.Second)
				play(old, "r", 10, 30*time.Second, 50*time.Millisecond, tc.takes)
				play(old, "r", 10, 3*time.Second, 50*time.Millisecond, constant(tc.then))
				young := New(8 * time.Second)
				play(young, "r", 10, 200*time.Millisecond, 20*time.Millisecond, constant(50*time.Millisecond))
				if accepts(young, callOf("r", 10), 4*time.Second) {
					t.Error("accepted without knowledge")
				}
				time.Sleep(refreshInterval)
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
		var all []*Tracker
		for range 3 {
			all = append(all, New(8*time.Second))
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
func TestRowsAdd(t *testing.T) {
	r := Row{Count: 1 << 31, Longest: 3, Recent: 9}.Add(Row{Count: 1<<31 + 5, Longest: 7, Recent: 2})
	if r.Count != 1<<32-1 || r.Longest != 7 || r.Recent != 9 {
		t.Errorf("%+v", r)
	}
	rows := make([]Row, 2*maxRows)
	for i := range rows {
		rows[i].Count = uint32(i)
	}
	if got := limitRows(rows); len(got) != maxRows || got[0].Count != 2*maxRows-1 {
		t.Errorf("%d rows, the first %+v", len(got), got[0])
	}
}

// Guards against daemons that forget received rows when their senders are replaced
// one after the other, as by a release: all that are left are young then.
func TestKnowledgeOutlivesItsDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, young := New(8*time.Second), New(8*time.Second)
		play(old, "r", 10, 30*time.Second, 50*time.Millisecond, constant(500*time.Millisecond))
		time.Sleep(10 * time.Second)
		exchangeRows(t, old, young)
		for range 30 {
			time.Sleep(time.Second)
			exchangeRows(t, young)
		}
		if !accepts(young, callOf("r", 10), 4*time.Second) {
			t.Error("refused after 30 s")
		}
		time.Sleep(2 * period)
		if accepts(young, callOf("r", 10), 4*time.Second) {
			t.Error("accepted after two periods")
		}
	})
}

// BenchmarkFollow measures what following an answer costs each request.
func BenchmarkFollow(b *testing.B) {
	d := New(8 * time.Second)
	for b.Loop() {
		d.Begin(callOf("r", 10))(true)
	}
}
