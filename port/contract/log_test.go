// Package contract holds contract tests for the interfaces Log, VMs, Engine and
// WeightStore of package port. Each runs against the stand-in, in process and
// through the HTTP adapter.
package contract

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/standin/logsvc"
)

// longWait is a wait that doesn't run out in a passing case.
const longWait = 30 * time.Second

// clock is a manually advanced clock.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(1e9, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// logEnv is the log under test and the controls of its stand-in.
type logEnv struct {
	port.Log
	svc   *logsvc.Log
	clock *clock
}

func (e logEnv) append(t *testing.T, n int) {
	t.Helper()
	for range n {
		if _, err := e.Append(t.Context(), "s", []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
}

func wantErr(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

var logCases = []struct {
	name string
	opts logsvc.Options
	run  func(*testing.T, logEnv)
}{
	{name: "offsets from 1 without gaps", run: func(t *testing.T, l logEnv) {
		for i := range 5 {
			offset, err := l.Append(t.Context(), "s", fmt.Appendf(nil, "r%d", i+1))
			wantErr(t, err, nil)
			want(t, "offset", offset, int64(i+1))
		}
		got, newest, err := l.Read(t.Context(), "s", 2, 3, 0)
		wantErr(t, err, nil)
		want(t, "newest", newest, 5)
		want(t, "records", len(got), 3)
		want(t, "first", got[0].Offset, 2)
		want(t, "data", string(got[2].Data), "r4")
	}},
	{name: "streams are apart", run: func(t *testing.T, l logEnv) {
		l.append(t, 2)
		_, newest, err := l.Read(t.Context(), "other/../s", 1, 10, 0)
		wantErr(t, err, nil)
		want(t, "newest", newest, 0)
		earliest, err := l.Earliest(t.Context(), "other")
		wantErr(t, err, nil)
		want(t, "earliest", earliest, 1)
	}},
	{name: "a read waits for an append", run: func(t *testing.T, l logEnv) {
		l.append(t, 1)
		read := make(chan int64, 1)
		go func() {
			got, _, err := l.Read(t.Context(), "s", 2, 10, longWait)
			if err != nil || len(got) != 1 {
				read <- 0
				return
			}
			read <- got[0].Offset
		}()
		l.append(t, 1)
		want(t, "offset", <-read, 2)
	}},
	{name: "a wait in vain gives the newest", run: func(t *testing.T, l logEnv) {
		l.append(t, 3)
		got, newest, err := l.Read(t.Context(), "s", 4, 10, time.Millisecond)
		wantErr(t, err, nil)
		want(t, "records", len(got), 0)
		want(t, "newest", newest, 3)
	}},
	{name: "expired by count", opts: logsvc.Options{MaxRecords: 2}, run: func(t *testing.T, l logEnv) {
		l.append(t, 5)
		_, _, err := l.Read(t.Context(), "s", 3, 10, longWait)
		wantErr(t, err, port.ErrExpired)
		earliest, err := l.Earliest(t.Context(), "s")
		wantErr(t, err, nil)
		want(t, "earliest", earliest, 4)
	}},
	{name: "expired by age", opts: logsvc.Options{MaxAge: time.Minute}, run: func(t *testing.T, l logEnv) {
		l.append(t, 2)
		l.clock.advance(2 * time.Minute)
		l.append(t, 1)
		_, _, err := l.Read(t.Context(), "s", 2, 10, 0)
		wantErr(t, err, port.ErrExpired)
		got, _, err := l.Read(t.Context(), "s", 3, 10, 0)
		wantErr(t, err, nil)
		want(t, "records", len(got), 1)
	}},
	{name: "all expired, offsets go on", opts: logsvc.Options{MaxAge: time.Minute}, run: func(t *testing.T, l logEnv) {
		l.append(t, 2)
		l.clock.advance(2 * time.Minute)
		earliest, err := l.Earliest(t.Context(), "s")
		wantErr(t, err, nil)
		want(t, "earliest", earliest, 3)
		offset, err := l.Append(t.Context(), "s", nil)
		wantErr(t, err, nil)
		want(t, "offset", offset, 3)
	}},
	{name: "outage", run: func(t *testing.T, l logEnv) {
		l.append(t, 1)
		l.svc.SetOutage(logsvc.Refuse)
		_, err := l.Append(t.Context(), "s", nil)
		wantErr(t, err, port.ErrUnavailable)
		_, _, err = l.Read(t.Context(), "s", 1, 1, 0)
		wantErr(t, err, port.ErrUnavailable)
		_, err = l.Earliest(t.Context(), "s")
		wantErr(t, err, port.ErrUnavailable)
		l.svc.SetOutage(logsvc.Up)
		l.append(t, 1)
		want(t, "appends", l.svc.Counters().Appends, 2)
	}},
	{name: "an outage ends a long poll", run: func(t *testing.T, l logEnv) {
		done := make(chan error, 1)
		go func() {
			_, _, err := l.Read(t.Context(), "s", 1, 1, longWait)
			done <- err
		}()
		l.svc.SetOutage(logsvc.Refuse)
		wantErr(t, <-done, port.ErrUnavailable)
	}},
	{name: "hanging, given up by the caller", run: func(t *testing.T, l logEnv) {
		l.svc.SetOutage(logsvc.Hang)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err := l.Append(ctx, "s", nil)
		wantErr(t, err, port.ErrUnavailable)
		wantErr(t, err, context.DeadlineExceeded)
	}},
	// Guards against a confirmation that is sent twice: the append of its record
	// takes effect, the answer is lost, and the writer appends the record again
	// because it takes the error for an append without effect.
	{name: "answer lost after the append", run: func(t *testing.T, l logEnv) {
		l.svc.LoseAnswers(1)
		_, err := l.Append(t.Context(), "s", []byte("once"))
		wantErr(t, err, port.ErrUnavailable)
		got, newest, err := l.Read(t.Context(), "s", 1, 10, longWait)
		wantErr(t, err, nil)
		want(t, "newest", newest, 1)
		want(t, "data", string(got[0].Data), "once")
		want(t, "appends", l.svc.Counters().Appends, 1)
	}},
	{name: "the append takes effect after its failure", run: func(t *testing.T, l logEnv) {
		l.svc.DelayAppends(1, time.Millisecond)
		_, err := l.Append(t.Context(), "s", []byte("late"))
		wantErr(t, err, port.ErrUnavailable)
		got, _, err := l.Read(t.Context(), "s", 1, 10, longWait)
		wantErr(t, err, nil)
		want(t, "data", string(got[0].Data), "late")
	}},
}

// Guards against different behaviour of the log in process and over HTTP when it
// is unavailable, hangs, expires records, loses the answer to an append, or
// executes an append after it has returned an error.
func TestLog(t *testing.T) {
	for _, c := range logCases {
		for _, transport := range []string{"in process", "http"} {
			t.Run(c.name+"/"+transport, func(t *testing.T) {
				clk := &clock{}
				c.opts.Now = clk.now
				svc := logsvc.New(c.opts)
				env := logEnv{Log: svc, svc: svc, clock: clk}
				if transport == "http" {
					startServer(t, svc)
					adapter := httpapi.NewLog(svc.URL(), httpapi.Options{})
					defer adapter.Close()
					env.Log = adapter
				}
				c.run(t, env)
			})
		}
	}
}

// server is implemented by every stand-in.
type server interface {
	Run(addr string) error
	Close() error
}

func startServer(t *testing.T, s server) {
	t.Helper()
	if err := s.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
}
