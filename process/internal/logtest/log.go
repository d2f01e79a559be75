// Package logtest is a log service in memory for the tests of the control
// state, with the faults that they need.
package logtest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Log is a port.Log. The zero value is empty and works.
type Log struct {
	mu       sync.Mutex
	recs     []port.Record
	dropped  int64 // records before the first kept
	appends  int
	reads    int
	down     bool
	lost     int // answers still to lose
	appended chan struct{}
}

// Down cuts the log off, or brings it back.
func (l *Log) Down(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n appends take effect without an answer.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = n
}

// Drop lets the records before earliest expire.
func (l *Log) Drop(earliest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := earliest - 1 - l.dropped
	l.recs, l.dropped = l.recs[n:], earliest-1
}

// Counts returns how many appends and reads were tried, also while down.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Records returns all records that are kept.
func (l *Log) Records() []port.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]port.Record(nil), l.recs...)
}

// Append adds data; the stream's name is not looked at.
func (l *Log) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, fmt.Errorf("append: %w", port.ErrUnavailable)
	}
	offset := l.newest() + 1
	l.recs = append(l.recs, port.Record{Offset: offset, Data: data})
	if l.appended != nil {
		close(l.appended)
		l.appended = nil
	}
	if l.lost > 0 {
		l.lost--
		return 0, fmt.Errorf("append: answer lost: %w", port.ErrUnavailable)
	}
	return offset, nil
}

// Read returns records from offset from on, after at most wait.
func (l *Log) Read(ctx context.Context, _ string, from int64, n int, wait time.Duration) ([]port.Record, int64, error) {
	if ch := l.waitFor(from); ch != nil && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ch:
		case <-t.C:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	switch {
	case l.down || ctx.Err() != nil:
		return nil, 0, fmt.Errorf("read: %w", port.ErrUnavailable)
	case from <= l.dropped:
		return nil, 0, fmt.Errorf("read %d: %w", from, port.ErrExpired)
	}
	i := min(from-1-l.dropped, int64(len(l.recs)))
	j := min(i+int64(n), int64(len(l.recs)))
	return append([]port.Record(nil), l.recs[i:j]...), l.newest(), nil
}

// waitFor returns a channel that the next append closes, or nil when there is
// something to answer at once.
func (l *Log) waitFor(from int64) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || from <= l.newest() {
		return nil
	}
	if l.appended == nil {
		l.appended = make(chan struct{})
	}
	return l.appended
}

// Earliest returns the lowest offset kept.
func (l *Log) Earliest(context.Context, string) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, fmt.Errorf("earliest: %w", port.ErrUnavailable)
	}
	return l.dropped + 1, nil
}

func (l *Log) newest() int64 { return l.dropped + int64(len(l.recs)) }
