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

// peer implements Peers with the records of another Follower.
type peer struct{ f *Follower }

func (p peer) Fetch(_ context.Context, from int64) (Batch, error) { return p.f.Serve(from, 512) }

// laggingLog is a log whose reads come from a replica that has stopped
// following, once staleNewest is set.
type laggingLog struct {
	*logtest.Log
	staleNewest atomic.Int64
}

func (l *laggingLog) Read(ctx context.Context, s string, from int64, n int, wait time.Duration) ([]port.Record, int64, error) {
	recs, newest, err := l.Log.Read(ctx, s, from, n, wait)
	if n := l.staleNewest.Load(); n > 0 && err == nil {
		return nil, n, nil
	}
	return recs, newest, err
}

func acceptAll(yaml string) (code.Code, string) {
	if yaml == "crash" {
		panic("checks crashed")
	}
	return code.OK, ""
}

func start(t *testing.T, l port.Log, o Options) *Follower {
	t.Helper()
	o.Log, o.Clock = l, clock.NewRuntime()
	if o.Validate == nil {
		o.Validate = acceptAll
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

// Documents are published to daemons with different rules, and one document
// crashes the checks. Each document gets exactly one verdict. A daemon that
// starts later with stricter rules keeps the accepted document.
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

// The log is unavailable for minutes, or only its responses are lost. When it
// recovers, it must hold each daemon's record once, and the daemons must not
// all append at the same time.
func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &logtest.Log{}
		var fs []*Follower
		for i := range 20 {
			fs = append(fs, start(t, l, Options{Self: fmt.Sprint(i), Rank: func() int { return i }}))
		}
		advance(time.Second)
		l.SetDown(true)
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
		l.SetDown(false)
		peak := 0
		for range 60 {
			before, _ := l.Counts()
			advance(500 * time.Millisecond)
			after, _ := l.Counts()
			peak = max(peak, after-before)
		}
		for range fs {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		if peak > len(fs)/2 {
			t.Errorf("%d of %d daemons appended in the same half second", peak, len(fs))
		}
		l.LoseAnswers(3)
		if _, err := fs[0].Write(context.Background(), "lost", record.KindBurn, 0); err != nil {
			t.Error(err)
		}
		advance(30 * time.Second)
		if n := count(l, record.KindBurn); n != len(fs)+1 {
			t.Errorf("%d records in the log for %d writes", n, len(fs)+1)
		}
	})
}

// A daemon can't reach the log but reaches its peers, one of which lags. It
// must follow the version in force, never move back, and not renew a lease
// from a peer's records.
func TestFollowingThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, cut := &logtest.Log{}, &logtest.Log{}
		a := start(t, l, Options{Self: "a", CheckpointRecords: 10})
		old := start(t, l, Options{Self: "old", Rank: func() int { return 9 }})
		cut.SetDown(true)
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
			t.Error("a peer's response counted as a read of the log")
		}
		data, _ := old.State().Encode()
		err := b.Stop()
		if err == nil {
			err = b.applyBatch(Batch{Checkpoint: data, Covers: old.Applied(), Applied: old.Applied()}, b.Applied()+1)
		}
		if err != nil || version(b) != version(a) || b.state.Applied != a.Applied() {
			t.Errorf("a lagging peer moved the offset from %d back to %d: %v", a.Applied(), b.state.Applied, err)
		}
	})
}

// Records expire while a daemon is paused or all daemons are replaced.
// Recovery must continue from a checkpoint with the version in force, and fail
// with RecordsExpired if there is none.
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
		// A follower whose next records have expired recovers from a peer.
		f := New(Options{Log: l, Clock: clock.NewRuntime(), Peers: peer{a}})
		f.state, _ = Recover(context.Background(), &logtest.Log{})
		if err := f.step(t.Context()); !errors.Is(err, port.ErrExpired) {
			t.Errorf("reading expired records: %v", err)
		}
		f.handleReadError(t.Context(), port.ErrExpired)
		if version(f) != 1 || f.Applied() != a.Applied() {
			t.Errorf("version %d at offset %d after a start from a peer", version(f), f.Applied())
		}
	})
}

// A lagging replica of the log serves the reads. They must not renew a lease,
// because the log may hold a later claim that the replica doesn't have yet.
func TestLaggingLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &laggingLog{Log: &logtest.Log{}}
		f := start(t, l, Options{Self: "a"})
		publish(t, l.Log, "v1", 0)
		advance(10 * time.Second)
		began, ok := f.LastReadStart()
		if !ok || version(f) != 1 {
			t.Fatalf("not started: %d", version(f))
		}
		l.staleNewest.Store(1)
		advance(time.Minute)
		if late, _ := f.LastReadStart(); late > began+6*time.Second {
			t.Errorf("a read of the lagging replica counted: %v after %v", late, began)
		}
	})
}

// If the newest checkpoint lies in the older half of the retained log, another
// one must be written even after few records, before it expires.
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
		d := &dueWrites{lastCheckpoint: s.Checkpoint, earliest: c.early}
		if got := d.checkpointDue(s, c.age, 0, 50, 10*time.Minute); got != c.want {
			t.Errorf("%s: due %v", c.name, got)
		}
		if c.want && d.checkpointDue(s, c.age, time.Second, 50, 10*time.Minute) {
			t.Errorf("%s: a daemon with a higher rank does not wait", c.name)
		}
	}
}

// advance moves the virtual clock of the synctest bubble forward by d.
func advance(d time.Duration) { <-time.After(d) }
