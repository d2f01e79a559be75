package follow

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/internal/logtest"
	"github.com/pomelospool/pomelospool/process/record"
)

// peer serves what another follower has.
type peer struct{ f *Follower }

func (p peer) Fetch(_ context.Context, from int64) (Batch, error) { return p.f.Serve(from, 512) }

// behind is a log whose answers come from a copy that stands still.
type behind struct {
	*logtest.Log
	newest atomic.Int64
}

func (b *behind) Read(ctx context.Context, s string, from int64, n int, wait time.Duration) ([]port.Record, int64, error) {
	recs, newest, err := b.Log.Read(ctx, s, from, n, wait)
	if n := b.newest.Load(); n > 0 && err == nil {
		return nil, n, nil
	}
	return recs, newest, err
}

func accept(yaml string) (code.Code, string) {
	if yaml == "crash" {
		panic("checks crashed")
	}
	return code.OK, ""
}

func start(t *testing.T, l port.Log, o Options) *Follower {
	t.Helper()
	o.Log, o.Clock = l, clock.NewRuntime()
	if o.Validate == nil {
		o.Validate = accept
	}
	f := New(o)
	f.Start()
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func publish(t *testing.T, l port.Log, yaml string, base int64) {
	t.Helper()
	e, err := NewEnvelope("doc-"+yaml, record.KindDocument, "operator", record.Document{Service: "s", Base: base, YAML: yaml})
	if err == nil {
		_, err = NewAppender(l, func() int64 { return 0 }, 100).Append(context.Background(), e)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func count(l *logtest.Log, kind record.Kind) int {
	n := 0
	for _, r := range l.Records() {
		if strings.Contains(string(r.Data), fmt.Sprintf(`"kind":%q`, kind)) {
			n++
		}
	}
	return n
}

func version(f *Follower) int64 { return f.State().Services["s"].Version }

// An operator publishes to three daemons, one of which has stricter rules, and
// one file crashes the checks. Each file gets one verdict, and a daemon that
// starts later with stricter rules keeps what was accepted.
func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &logtest.Log{}
		strict := func(string) (code.Code, string) { return code.DocOutOfRange, "stricter" }
		fs := []*Follower{start(t, l, Options{Self: "a"}), start(t, l, Options{Self: "b", Rank: func() int { return 1 }, Validate: strict})}
		publish(t, l, "v1", 0)
		advance(time.Minute)
		publish(t, l, "crash", version(fs[0]))
		advance(time.Minute)
		late := start(t, l, Options{Self: "c", Rank: func() int { return 2 }, Validate: strict})
		advance(time.Minute)
		for _, f := range append(fs, late) {
			if o, _ := f.State().Outcome("s", "doc-crash"); version(f) != 1 || o.Code != code.Internal {
				t.Errorf("version %d in force at %s, crashing file: %+v", version(f), f.o.Self, o)
			}
		}
		if n := count(l, record.KindVerdict); n != 2 {
			t.Errorf("%d verdicts for two documents", n)
		}
	})
}

// The log is away for minutes, or only its answers are. On its return each
// daemon's records stand once, and the daemons don't rush it.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &logtest.Log{}
		var fs []*Follower
		for i := range 20 {
			fs = append(fs, start(t, l, Options{Self: fmt.Sprint(i), Rank: func() int { return i }}))
		}
		advance(time.Second)
		l.Down(true)
		done := make(chan error, len(fs))
		for i, f := range fs {
			go func() {
				_, err := f.Write(context.Background(), fmt.Sprint("w", i), record.KindBurn, i)
				done <- err
			}()
		}
		advance(3 * time.Minute)
		if !fs[0].LogDown() {
			t.Error("the outage was not noticed")
		}
		l.Down(false)
		rush := 0
		for range 60 {
			before, _ := l.Counts()
			advance(500 * time.Millisecond)
			after, _ := l.Counts()
			rush = max(rush, after-before)
		}
		for range fs {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if rush > len(fs)/2 {
			t.Errorf("%d of %d daemons appended in the same half second", rush, len(fs))
		}
		l.LoseAnswers(3)
		if _, err := fs[0].Write(context.Background(), "lost", record.KindBurn, 0); err != nil {
			t.Error(err)
		}
		advance(30 * time.Second)
		if n := count(l, record.KindBurn); n != len(fs)+1 {
			t.Errorf("%d records of %d decisions stand", n, len(fs)+1)
		}
	})
}

// A daemon is cut off from the log but not from its peers, and one peer is
// behind. It must follow what is in force, never go back, and not take a
// peer's word for the right to act.
func TestPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, cut := &logtest.Log{}, &logtest.Log{}
		a := start(t, l, Options{Self: "a", CheckpointRecords: 10})
		old := start(t, l, Options{Self: "old", Rank: func() int { return 9 }})
		cut.Down(true)
		publish(t, l, "v1", 0)
		advance(time.Second)
		b := start(t, cut, Options{Self: "b", Peers: peer{a}})
		<-b.Ready()
		if err := old.Stop(); err != nil {
			t.Fatal(err)
		}
		publish(t, l, "v2", version(a))
		for i := range 3000 {
			publish(t, l, fmt.Sprint("lost", i), 0)
		}
		advance(20 * time.Second)
		if version(b) != version(a) || version(b) == 1 {
			t.Errorf("version %d in force at the daemon cut off, %d elsewhere", version(b), version(a))
		}
		if _, ok := b.LastReadStart(); ok {
			t.Error("a peer's word counted as a read of the log")
		}
		data, _ := old.State().Encode()
		err := b.Stop()
		if err == nil {
			err = b.takeBatch(Batch{Checkpoint: data, Covers: old.Applied(), Applied: old.Applied()}, b.Applied()+1)
		}
		if err != nil || version(b) != version(a) || b.state.Applied != a.Applied() {
			t.Errorf("a peer that is behind took offset %d back to %d: %v", a.Applied(), b.state.Applied, err)
		}
	})
}

// Records expire while a daemon is paused or all daemons are replaced. Both go
// on from a checkpoint with what is in force; without one they say so.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &logtest.Log{}
		a := start(t, l, Options{Self: "a", CheckpointRecords: 50})
		publish(t, l, "v1", 0)
		advance(time.Second)
		for i := range 1000 {
			publish(t, l, fmt.Sprint("lost", i), 7)
		}
		advance(5 * time.Second)
		mark := a.State().Checkpoint
		l.Drop(mark.Covers + 1)
		if s, err := Recover(context.Background(), l); err != nil || s.Services["s"].YAML != "v1" || s.Applied < mark.Covers {
			t.Errorf("start from the checkpoint: %+v, %v", s, err)
		}
		advance(24 * time.Hour) // nothing is written by anyone else
		if late := a.State().Checkpoint; late.At < mark.At+100 {
			t.Errorf("a quiet log got no checkpoints: %+v after %+v", late, mark)
		}
		l.Drop(a.Applied() + 1)
		if _, err := Recover(context.Background(), l); code.Of(err) != code.RecordsExpired {
			t.Errorf("start without any record: %v", err)
		}
		// A follower that lags behind the retention starts anew.
		f := New(Options{Log: l, Clock: clock.NewRuntime(), Peers: peer{a}})
		f.state, _ = Recover(context.Background(), &logtest.Log{})
		if err := f.step(t.Context()); !errors.Is(err, port.ErrExpired) {
			t.Errorf("reading expired records: %v", err)
		}
		f.failed(t.Context(), port.ErrExpired)
		if version(f) != 1 || f.Applied() != a.Applied() {
			t.Errorf("version %d at offset %d after a start from a peer", version(f), f.Applied())
		}
	})
}

// A copy of the log that lags behind answers the reads. They must not renew a
// lease, as a later claim may stand where the copy doesn't reach.
func TestLaggingLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &behind{Log: &logtest.Log{}}
		f := start(t, l, Options{Self: "a"})
		publish(t, l.Log, "v1", 0)
		advance(10 * time.Second)
		began, ok := f.LastReadStart()
		if !ok || version(f) != 1 {
			t.Fatalf("not started: %d", version(f))
		}
		l.newest.Store(1)
		advance(time.Minute)
		if late, _ := f.LastReadStart(); late > began+6*time.Second {
			t.Errorf("a read of the lagging copy counted: %v after %v", late, began)
		}
	})
}

// The newest checkpoint lies in the older half of what the log keeps. Another
// must be written although few records came, or it expires.
func TestCheckpointDue(t *testing.T) {
	for _, c := range []struct {
		name              string
		covers, at, early int64
		age               time.Duration
		want              bool
	}{
		{"young", 90, 91, 1, time.Second, false},
		{"many records", 40, 41, 1, time.Second, true},
		{"quiet for long", 90, 91, 1, time.Hour, true},
		{"older half of the log", 62, 63, 50, time.Second, true},
		{"newer half of the log", 88, 89, 50, time.Second, false},
	} {
		s, _ := Recover(context.Background(), &logtest.Log{})
		s.Applied, s.Checkpoint.At, s.Checkpoint.Covers = 100, c.at, c.covers
		o := &offers{mark: s.Checkpoint, earliest: c.early}
		if got := o.checkpointDue(s, c.age, 0, 50, 10*time.Minute); got != c.want {
			t.Errorf("%s: due %v", c.name, got)
		}
		if c.want && o.checkpointDue(s, c.age, time.Second, 50, 10*time.Minute) {
			t.Errorf("%s: a later rank doesn't wait", c.name)
		}
	}
}

// advance lets the virtual clock of the synctest bubble run on.
func advance(d time.Duration) { <-time.After(d) }
