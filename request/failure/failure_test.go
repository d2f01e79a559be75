package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// TestClassifySend checks the classes of send errors. A call that ran, but whose answer
// was lost, must not be classified as not written: it would be repeated, and a
// booking, for example, made twice. A call that didn't run must not be classified
// as possibly run: its caller would not retry it.
func TestClassifySend(t *testing.T) {
	live := context.Background()
	gone, cancel := context.WithCancel(live)
	cancel()
	over, end := context.WithTimeout(live, 0)
	defer end()
	reset := fmt.Errorf("h1: no answer: %w", syscall.ECONNRESET)
	cases := []struct {
		name  string
		ctx   context.Context
		err   error
		class Class
		ran   bool
		final bool
	}{
		{"no connection", live, &h1.Error{Err: h1.ErrConnect}, NotWritten, false, false},
		{"reset after the request", live, &h1.Error{Err: reset, Written: true}, NoAnswer, true, false},
		{"silent after the request", live, &h1.Error{Err: h1.ErrNoProgress, Written: true}, Stalled, true, false},
		{"silent before the request", live, &h1.Error{Err: h1.ErrNoProgress}, NotWritten, false, false},
		{"caller left", gone, &h1.Error{Err: context.Canceled, Written: true}, CallerGone, true, true},
		{"caller left before", gone, &h1.Error{Err: context.Canceled}, CallerGone, false, true},
		{"deadline", over, &h1.Error{Err: context.DeadlineExceeded, Written: true}, Late, true, true},
		{"an error without proof", live, io.EOF, NoAnswer, true, false},
	}
	for _, tc := range cases {
		f := ClassifySend(tc.ctx, "t", tc.err)
		if f.Class != tc.class || f.MayHaveRun() != tc.ran || f.Final() != tc.final {
			t.Errorf("%s: %s, may have run %v, final %v", tc.name, f.Class, f.MayHaveRun(), f.Final())
		}
	}
}

// TestClassifyRead checks that a "not run" answer keeps its class when its body ends
// early, and that any other body that ends early has the class Cut.
func TestClassifyRead(t *testing.T) {
	own := &Failure{Class: NotRun, Err: io.ErrUnexpectedEOF}
	if f := ClassifyRead(context.Background(), "t", fmt.Errorf("x: %w", own)); f.Class != NotRun {
		t.Errorf("class %s", f.Class)
	}
	if f := ClassifyRead(context.Background(), "t", io.ErrUnexpectedEOF); f.Class != Cut || !f.MayHaveRun() {
		t.Errorf("class %s", f.Class)
	}
}

// TestCauseOmitsForeignText checks that a prompt quoted in an engine's error
// doesn't reach the log.
func TestCauseOmitsForeignText(t *testing.T) {
	for text, err := range map[string]error{
		"the connection ended":     fmt.Errorf("%w after \"my prompt\"", io.ErrUnexpectedEOF),
		"connection reset by peer": fmt.Errorf("read my prompt: %w", syscall.ECONNRESET),
		"status 500":               fmt.Errorf("%w: my prompt", Detail("status 500")),
		"*errors.errorString":      errors.New("my prompt"),
	} {
		if got := Cause(err); got != text {
			t.Errorf("got %q, want %q", got, text)
		}
	}
}

// Guards against a send that a stopped target may yet receive counting as
// received, and against one that never will be counting for long.
func TestSettled(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		settled bool
	}{
		{"no answer in time", &h1.Error{Err: h1.ErrNoProgress, Written: true}, false},
		{"the deadline passed", &h1.Error{Err: context.DeadlineExceeded, Written: true}, false},
		{"not acknowledged", &h1.Error{Err: h1.ErrNoProgress, Written: true, Unacknowledged: true}, true},
		{"closed by the target", &h1.Error{Err: fmt.Errorf("no answer: %w", io.EOF), Written: true}, true},
		{"reset by the target", &h1.Error{Err: &net.OpError{Op: "read", Err: syscall.ECONNRESET}, Written: true}, true},
	}
	for _, tc := range cases {
		if f := ClassifySend(context.Background(), "t", tc.err); f.Settled() != tc.settled {
			t.Errorf("%s: %v", tc.name, f.Settled())
		}
	}
}
