package logsvc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

var (
	errOutage     = errors.New("log outage")
	errAnswerLost = errors.New("answer lost")
)

func unavailable(err error) error {
	return fmt.Errorf("log: %w: %w", port.ErrUnavailable, err)
}

// admit waits for the latency, and for the end of a Hang outage. It returns an
// error if another outage makes the call fail.
func (l *Log) admit(ctx context.Context, read bool) error {
	l.mu.Lock()
	latency := l.latency
	l.mu.Unlock()
	if err := pause.For(ctx, latency); err != nil {
		return unavailable(err)
	}
	for {
		l.mu.Lock()
		outage, changed := l.outage, l.changed
		if outage == Refuse || (read && outage == NoReads) {
			l.counters.Refused++
			l.mu.Unlock()
			return unavailable(errOutage)
		}
		l.mu.Unlock()
		if outage != Hang {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return unavailable(ctx.Err())
		}
	}
}

// Apply sets a fault by its kind:
//   - "latency" (ms) sets the latency.
//   - "refuse", "hang" and "no_reads" start an outage, and "up" ends it.
//   - "lose" (count) loses the answers to the next appends.
//   - "delay" (count, ms) delays the next appends.
//   - "rate" (value) limits the appends per second.
func (l *Log) Apply(_ context.Context, f standin.Fault) error {
	d := time.Duration(f.MS) * time.Millisecond
	switch f.Kind {
	case "latency":
		l.SetLatency(d)
	case "refuse":
		l.SetOutage(Refuse)
	case "hang":
		l.SetOutage(Hang)
	case "no_reads":
		l.SetOutage(NoReads)
	case "up":
		l.SetOutage(Up)
	case "lose":
		l.LoseAnswers(f.Count)
	case "delay":
		l.DelayAppends(f.Count, d)
	case "rate":
		l.SetRate(f.Value)
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, f.Kind)
	}
	return nil
}
