// Package logtest provides an in-memory log service with fault injection for
// tests of the control state.
package logtest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Log implements port.Log. The zero value is an empty log.
type Log struct {
	mu          sync.Mutex
	records     []port.Record
	dropped     int64 // number of expired records
	appends     int
	reads       int
	down        bool
	lostAnswers int // remaining appends whose answer is dropped
	appended    chan struct{}
}

// SetDown makes the log unavailable, or available again.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n appends take effect but return an error.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostAnswers = n
}

// Drop expires the records before earliest.
func (l *Log) Drop(earliest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := earliest - 1 - l.dropped
	l.records, l.dropped = l.records[n:], earliest-1
}

// Counts returns the number of attempted appends and reads, including those
// while the log was down.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Records returns all records that haven't expired.
func (l *Log) Records() []port.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]port.Record(nil), l.records...)
}

// Append adds data. It ignores the stream's name.
func (l *Log) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, fmt.Errorf("append: %w", port.ErrUnavailable)
	}
	offset := l.newest() + 1
	l.records = append(l.records, port.Record{Offset: offset, Data: data})
	if l.appended != nil {
		close(l.appended)
		l.appended = nil
	}
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, fmt.Errorf("append: answer lost: %w", port.ErrUnavailable)
	}
	return offset, nil
}

// Read returns records from offset from on. It waits up to wait for the first.
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
	i := min(from-1-l.dropped, int64(len(l.records)))
	j := min(i+int64(n), int64(len(l.records)))
	return append([]port.Record(nil), l.records[i:j]...), l.newest(), nil
}

// waitFor returns a channel that the next append closes, or nil if a read from
// the offset can return immediately.
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

// Earliest returns the lowest offset that hasn't expired.
func (l *Log) Earliest(context.Context, string) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, fmt.Errorf("earliest: %w", port.ErrUnavailable)
	}
	return l.dropped + 1, nil
}

func (l *Log) newest() int64 { return l.dropped + int64(len(l.records)) }
