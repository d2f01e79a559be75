package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// A seat is held twice: the first target ran the call, its answer was lost, and
// the failure was taken for one of which the target saw nothing. Or a call that
// nobody ran ends as "may have run", and its caller never tries again.
func TestSend(t *testing.T) {
	live := context.Background()
	gone, cancel := context.WithCancel(live)
	cancel()
	over, end := context.WithTimeout(live, 0)
	defer end()
	reset := fmt.Errorf("h1: no answer: %w", syscall.ECONNRESET)
	cases := []struct {
		name    string
		ctx     context.Context
		err     error
		class   Class
		ran     bool
		unasked bool // nobody waits for another attempt
	}{
		{"no connection", live, &h1.Error{Err: h1.ErrConnect}, NotWritten, false, false},
		{"reset after the request", live, &h1.Error{Err: reset, Written: true}, NoAnswer, true, false},
		{"silent after the request", live, &h1.Error{Err: h1.ErrSilent, Written: true}, Silent, true, false},
		{"silent before the request", live, &h1.Error{Err: h1.ErrSilent}, NotWritten, false, false},
		{"caller left", gone, &h1.Error{Err: context.Canceled, Written: true}, CallerGone, true, true},
		{"caller left before", gone, &h1.Error{Err: context.Canceled}, CallerGone, false, true},
		{"deadline", over, &h1.Error{Err: context.DeadlineExceeded, Written: true}, Late, true, true},
		{"an error without proof", live, io.EOF, NoAnswer, true, false},
	}
	for _, tc := range cases {
		f := Send(tc.ctx, "t", tc.err)
		if f.Class != tc.class || f.MayHaveRun() != tc.ran || f.Final() != tc.unasked {
			t.Errorf("%s: %s, may have run %v, final %v", tc.name, f.Class, f.MayHaveRun(), f.Final())
		}
	}
}

// The answer of a target that says "not run" breaks off behind that word; the
// class that was read stays. A body that ends early is cut.
func TestRead(t *testing.T) {
	own := &Failure{Class: NotRun, Err: io.ErrUnexpectedEOF}
	if f := Read(context.Background(), "t", fmt.Errorf("x: %w", own)); f.Class != NotRun {
		t.Errorf("class %s", f.Class)
	}
	if f := Read(context.Background(), "t", io.ErrUnexpectedEOF); f.Class != Cut || !f.MayHaveRun() {
		t.Errorf("class %s", f.Class)
	}
}

// An engine quotes the prompt in its error; it must not stand in the log.
func TestCauseQuotesNobody(t *testing.T) {
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
