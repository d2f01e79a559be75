package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
)

// stuck is a reader of the log that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// RequestBypass stand still, one after the other: whoever reads the daemon's
// standard output stopped, the pipe filled up, and each log line waits.
func TestStuckReaderHoldsNobody(t *testing.T) {
	s := &stuck{}
	s.mu.Lock()
	a := NewAsync(s, 10)
	logger := &log.Logger{Handler: a, Level: log.InfoLevel}
	for range 1000 {
		logger.Info("line")
	}
	s.mu.Unlock()
	logger.Info("last")
	a.Close()
	text := s.buf.String()
	if n := strings.Count(text, `"line"`); n > 12 {
		t.Errorf("%d lines were queued", n)
	}
	logger.Info("after the end")
}

func TestLostLinesAreSaid(t *testing.T) {
	s := &stuck{}
	s.mu.Lock()
	a := NewAsync(s, 4)
	logger := &log.Logger{Handler: a, Level: log.InfoLevel}
	for range 50 {
		logger.Info("line")
	}
	s.mu.Unlock()
	for len(a.lines) > 0 {
		logger.Debug("below the level")
	}
	logger.Info("next")
	a.Close()
	if text := s.buf.String(); !strings.Contains(text, DroppedMessage) {
		t.Errorf("nothing says that lines were lost: %s", text)
	}
}

// An engineer has a failed request's id, and its lines were left out.
func TestLinesOfFailedRequestsPass(t *testing.T) {
	k := &kept{}
	r := RequestBypass{Unlimited: k, Limited: NewLimiter(k, Options{Rate: 1, Burst: 1})}
	logger := &log.Logger{Handler: r, Level: log.InfoLevel}
	for range 100 {
		logger.WithFields(log.Fields{FieldRequest: "r", FieldFailed: true}).Info("bad")
		logger.WithFields(log.Fields{FieldRequest: "r", FieldFailed: false}).Info("good")
		logger.WithFields(log.Fields{FieldRequest: "r"}).Info("step")
		logger.Info("else")
	}
	if k.lines("bad") != 100 || k.lines("step") != 100 || k.lines("good") != 1 || k.lines("else") != 1 {
		t.Errorf("bad %d, step %d, good %d, else %d", k.lines("bad"), k.lines("step"), k.lines("good"), k.lines("else"))
	}
}
