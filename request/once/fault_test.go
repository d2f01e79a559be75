package once

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

const (
	key        = "hold-7"
	logLatency = 2 * time.Millisecond
)

// TestFaults sends a call and repeats it while daemons, the target or the log
// fail. In every case the target must run the call at most once, and the caller
// must receive the first answer, a code that says that nothing ran, or a code
// that says that the outcome is unknown or not available yet.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		runs int
		play func(f *fleet, a, b *daemon)
	}{
		{"sent again to another daemon", 1, func(f *fleet, a, b *daemon) {
			f.expect("first", a.send(call(key)), "held "+key)
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"sent again while it runs", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			time.AfterFunc(2*time.Second, func() { ticket.Done(f.run(key)) })
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"sent again while it runs for long", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			f.expect("again", b.send(call(key)), "3002")
			ticket.Done(f.run(key))
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"other content under the key", 1, func(f *fleet, a, b *daemon) {
			a.send(call(key))
			f.expect("other", b.send(Call{Service: "app", Key: key, Digest: 2}), "3005")
		}},
		{"daemon dies before the write", 0, func(f *fleet, a, b *daemon) {
			a.begin(key)
			a.kill()
			f.expect("again", b.send(call(key)), "3003")
			f.expect("once more", f.other(a, b).send(call(key)), "3003")
		}},
		{"daemon dies during the write", 1, func(f *fleet, a, b *daemon) {
			a.begin(key)
			f.run(key)
			a.kill()
			f.expect("again", b.send(call(key)), "3003")
		}},
		{"answer too large for the log, its daemon paused", 1, func(f *fleet, a, b *daemon) {
			large := f.run(key)
			large.Body = make([]byte, 64<<10)
			a.begin(key).Done(large)
			advance(time.Second)
			a.pause()
			f.expect("while it is paused", b.send(call(key)), "3002")
			a.resume()
			f.expect("when it is awake", b.send(call(key)), string(large.Body))
			a.kill()
			f.expect("when it is dead", b.send(call(key)), "3006")
		}},
		{"daemon dies after the answer", 1, func(f *fleet, a, b *daemon) {
			a.send(call(key))
			advance(time.Second)
			a.kill()
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"daemon dies before its result is logged", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			f.log.SetOutage(logsvc.Refuse)
			ticket.Done(f.run(key))
			advance(time.Second)
			a.kill()
			f.log.SetOutage(logsvc.Up)
			advance(time.Minute)
			f.expect("again", b.send(call(key)), "3003")
		}},
		{"target unreachable", 1, func(f *fleet, a, b *daemon) {
			a.begin(key).NotRun(code.TargetUnreachable)
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"target dies", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			f.run(key)
			ticket.Unknown()
			f.expect("again", b.send(call(key)), "3003")
			f.expect("at the same", a.send(call(key)), "3003")
		}},
		{"answer too large for the log", 1, func(f *fleet, a, b *daemon) {
			large := Answer{Status: 200, Body: []byte(strings.Repeat("x", maxLoggedBody+1))}
			ticket := a.begin(key)
			f.run(key)
			ticket.Done(large)
			f.expect("again", b.send(call(key)), string(large.Body))
			advance(time.Second)
			a.kill()
			f.expect("daemon gone", b.send(call(key)), "3006")
		}},
		{"held for dead and alive", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			a.update(func() { a.reportedDead = true })
			f.expect("again", b.send(call(key)), "3003")
			ticket.Done(f.run(key))
			advance(time.Second)
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"held for dead, then not run", 0, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			a.update(func() { a.reportedDead = true })
			f.expect("again", b.send(call(key)), "3003")
			ticket.NotRun(code.TargetUnreachable)
			advance(time.Second)
			f.expect("later", b.send(call(key)), "3003")
		}},
		{"all daemons replaced", 1, func(f *fleet, a, b *daemon) {
			a.send(call(key))
			advance(time.Second)
			for _, d := range f.daemons {
				d.kill()
			}
			d := f.start()
			f.expect("again", d.send(call(key)), "held "+key)
		}},
		{"all daemons replaced while it runs", 1, func(f *fleet, a, b *daemon) {
			a.begin(key)
			f.run(key)
			for _, d := range f.daemons {
				d.kill()
				d.update(func() { d.unlisted = true })
			}
			f.expect("again", f.start().send(call(key)), "3003")
		}},
		{"log keeps records for less than the window", 0, func(f *fleet, a, b *daemon) {
			a.l.o.Retention = DefaultWindow
			f.expect("first", a.send(call(key)), "3004")
		}},
		{"log refuses", 1, func(f *fleet, a, b *daemon) {
			f.log.SetOutage(logsvc.Refuse)
			began := time.Now()
			f.expect("first", a.send(call(key)), "3004")
			f.expect("again", b.send(call(key)), "3004")
			if d := time.Since(began); d > 4*logLatency {
				f.t.Errorf("refused after %v", d)
			}
			f.log.SetOutage(logsvc.Up)
			advance(time.Minute)
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"log hangs", 1, func(f *fleet, a, b *daemon) {
			f.log.SetOutage(logsvc.Hang)
			began := time.Now()
			f.expect("first", a.send(call(key)), "3004")
			f.t.Logf("the first call was refused after %v", time.Since(began))
			advance(time.Second)
			began = time.Now()
			f.expect("at once", a.send(call(key)), "3004")
			if d := time.Since(began); d > 0 {
				f.t.Errorf("refused after %v", d)
			}
			f.log.SetOutage(logsvc.Up)
			advance(time.Minute)
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"log can't be read", 1, func(f *fleet, a, b *daemon) {
			b.send(call("warm"))
			f.log.SetOutage(logsvc.NoReads)
			f.expect("first", a.send(call(key)), "3004")
			f.log.SetOutage(logsvc.Up)
			advance(time.Minute)
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"log down, sent again to the same daemon", 1, func(f *fleet, a, b *daemon) {
			a.send(call(key))
			advance(time.Second)
			f.log.SetOutage(logsvc.Refuse)
			f.expect("again", a.send(call(key)), "held "+key)
		}},
		{"answer of the append lost", 1, func(f *fleet, a, b *daemon) {
			f.log.LoseAnswers(1)
			f.expect("first", a.send(call(key)), "held "+key)
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"every answer of an append lost", 1, func(f *fleet, a, b *daemon) {
			f.log.LoseAnswers(-1)
			f.expect("first", a.send(call(key)), "held "+key)
			advance(time.Minute)
			f.expect("again", b.send(call(key)), "held "+key)
			if appends := f.log.Counters().Appends; appends != 2 {
				f.t.Errorf("%d appends for an intent and a result", appends)
			}
		}},
		{"append takes effect late", 1, func(f *fleet, a, b *daemon) {
			f.log.DelayAppends(1, 5*time.Second)
			f.expect("first", a.send(call(key)), "held "+key)
			advance(10 * time.Second)
			f.expect("again", b.send(call(key)), "held "+key)
		}},
		{"append takes effect after it was given up", 1, func(f *fleet, a, b *daemon) {
			f.log.DelayAppends(3, 5*time.Second)
			f.expect("first", a.send(call(key)), "3004")
			advance(time.Minute)
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"daemon gives up, then dies", 1, func(f *fleet, a, b *daemon) {
			f.log.DelayAppends(3, 5*time.Second)
			f.expect("first", a.send(call(key)), "3004")
			advance(time.Minute)
			a.kill()
			f.expect("later", b.send(call(key)), "held "+key)
		}},
		{"batcher dies", 1, func(f *fleet, a, b *daemon) {
			batcher := f.batcherOf(key)
			batcher.update(func() { batcher.dead = true })
			d := f.other(batcher)
			f.expect("first", d.send(call(key)), "held "+key)
			f.expect("again", f.other(batcher, d).send(call(key)), "held "+key)
		}},
		{"batcher paused and awake again", 1, func(f *fleet, a, b *daemon) {
			batcher := f.batcherOf(key)
			d := f.other(batcher)
			m := f.other(batcher, d)
			batcher.pause()
			f.expect("first", d.send(call(key)), "held "+key)
			batcher.resume()
			advance(time.Second)
			f.expect("again", m.send(call(key)), "held "+key)
			f.expect("at the batcher", batcher.send(call(key)), "held "+key)
		}},
		{"batcher that missed the result", 1, func(f *fleet, a, b *daemon) {
			batcher := f.batcherOf(key)
			d := f.other(batcher)
			ticket := d.begin(key)
			batcher.update(func() { batcher.dead = true })
			ticket.NotRun(code.TargetUnreachable)
			advance(time.Second)
			batcher.update(func() { batcher.dead = false })
			f.expect("again", f.other(batcher, d).send(call(key)), "held "+key)
		}},
		{"winner paused and awake again", 1, func(f *fleet, a, b *daemon) {
			ticket := a.begin(key)
			a.pause()
			f.expect("again", b.send(call(key)), "3002")
			a.update(func() { a.reportedDead = true })
			f.expect("held for dead", b.send(call(key)), "3003")
			a.resume()
			ticket.Done(f.run(key))
			advance(time.Second)
			f.expect("awake", b.send(call(key)), "held "+key)
		}},
		{"caller gone before the log answers", 1, func(f *fleet, a, b *daemon) {
			f.log.SetLatency(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			f.expect("first", a.sendWithContext(ctx, call(key)), "3004")
			f.expect("again", b.send(call(key)), "held "+key)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runFleet(t, 4, logsvc.Options{Latency: logLatency}, func(f *fleet) {
				tc.play(f, f.daemons[0], f.daemons[1])
				f.expectRuns(key, tc.runs)
			})
		})
	}
}
