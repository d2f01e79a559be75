package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
)

// blockedWriter is a log writer that blocks while its mutex is held.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// Guards against requests that block on their log lines, because the reader of
// the daemon's standard output has stopped and the pipe is full.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	a := NewAsync(w, 10)
	logger := &log.Logger{Handler: a, Level: log.InfoLevel}
	for range 1000 {
		logger.Info("line")
	}
	w.mu.Unlock()
	logger.Info("last")
	a.Close()
	text := w.buf.String()
	if n := strings.Count(text, `"line"`); n > 12 {
		t.Errorf("%d lines were queued", n)
	}
	logger.Info("after the end")
}

// Guards against a process that outlives its grace time, since nobody reads its
// standard output any more.
func TestBlockedWriterDoesNotBlockTheExit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		a := NewAsync(w, 10)
		logger := &log.Logger{Handler: a, Level: log.InfoLevel}
		logger.Info("line")
		begun := time.Now()
		a.Close()
		if took := time.Since(begun); took > closeTimeout {
			t.Errorf("took %v", took)
		}
		_ = r.Close()
	})
}

func TestDroppedLinesAreReported(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	a := NewAsync(w, 4)
	logger := &log.Logger{Handler: a, Level: log.InfoLevel}
	for range 50 {
		logger.Info("line")
	}
	w.mu.Unlock()
	for len(a.lines) > 0 {
		logger.Debug("below the level")
	}
	logger.Info("next")
	a.Close()
	if text := w.buf.String(); !strings.Contains(text, DroppedMessage) {
		t.Errorf("no line reports the dropped lines: %s", text)
	}
}

// Guards against a failed request whose log lines were dropped and can't be found
// by its id.
func TestLinesOfFailedRequestsPass(t *testing.T) {
	rec := &recorder{}
	r := RequestBypass{Unlimited: rec, Limited: NewLimiter(rec, Options{Rate: 1, Burst: 1})}
	logger := &log.Logger{Handler: r, Level: log.InfoLevel}
	for range 100 {
		logger.WithFields(log.Fields{FieldRequest: "r", FieldFailed: true}).Info("bad")
		logger.WithFields(log.Fields{FieldRequest: "r", FieldFailed: false}).Info("good")
		logger.WithFields(log.Fields{FieldRequest: "r"}).Info("step")
		logger.Info("else")
	}
	if rec.count("bad") != 100 || rec.count("step") != 100 || rec.count("good") != 1 || rec.count("else") != 1 {
		t.Errorf("bad %d, step %d, good %d, else %d", rec.count("bad"), rec.count("step"), rec.count("good"), rec.count("else"))
	}
}
