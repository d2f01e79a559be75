// Package logging provides log handlers that limit the cost of logging. They
// limit the rate of repeated messages, report how many lines they dropped, and
// write without blocking the caller.
package logging

import (
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"
)

// metrics counts the lines of all handlers of the process.
var metrics = expvar.NewMap("logging")

// DroppedMessage is the message of the lines that report dropped lines. Its fields
// are message, level and count.
const DroppedMessage = "logging: lines left out"

// Defaults of Options.
const (
	DefaultRate  = 5.0
	DefaultBurst = 20
	DefaultKeys  = 256
)

// reportDelay is the longest time from a dropped line to the line that reports
// it.
const reportDelay = time.Second

// otherMessages is the message under which the messages beyond Options.Keys are
// counted.
const otherMessages = "(other messages)"

// Options configures a Limiter. Zero values select the stated defaults.
type Options struct {
	Rate  float64          // lines per second for each pair of level and message; default 5
	Burst int              // burst of lines for each pair of level and message; default 20
	Keys  int              // number of pairs of level and message with their own budget; default 256
	Now   func() time.Time // default time.Now
	// After calls f once after d, from another goroutine. The default is
	// time.AfterFunc.
	After func(d time.Duration, f func())
}

// Limiter is a log.Handler that limits the lines passed to another handler. It is
// safe for concurrent use.
//
// With a line for each of many failures, thousands of lines a second would load
// the disk and the reader and hide the lines of other components. Each pair of
// level and message has its own budget, so that components don't use up each
// other's lines. Messages are expected to be few constants. The pairs beyond
// Options.Keys share one budget, which bounds the memory if a message contains
// variable data.
type Limiter struct {
	next log.Handler
	opts Options

	mu        sync.Mutex
	budgets   map[key]*budget
	reporting bool // a report is scheduled
}

type key struct {
	level   log.Level
	message string
}

// budget is a token bucket with the number of lines it dropped.
type budget struct {
	tokens     float64 // lines that may pass now
	refilledAt time.Time
	dropped    int // since the last report
	logger     *log.Logger
}

// NewLimiter returns a Limiter in front of next.
func NewLimiter(next log.Handler, o Options) *Limiter {
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.Keys <= 0 {
		o.Keys = DefaultKeys
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	return &Limiter{next: next, opts: o, budgets: make(map[key]*budget)}
}

// HandleLog passes the entry on, or drops and counts it. Fatal entries always
// pass, since the process exits with them.
func (l *Limiter) HandleLog(e *log.Entry) error {
	if e.Level < log.FatalLevel && !l.allow(e) {
		return nil
	}
	return l.next.HandleLog(e)
}

// allow reports whether the entry may pass. Otherwise it counts the entry and
// schedules a report.
func (l *Limiter) allow(e *log.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budget(key{e.Level, e.Message})
	b.refill(l.opts)
	if b.tokens >= 1 {
		b.tokens--
		metrics.Add("passed", 1)
		return true
	}
	metrics.Add("left_out", 1)
	b.dropped++
	b.logger = e.Logger
	if !l.reporting {
		l.reporting = true
		l.opts.After(reportDelay, l.Report)
	}
	return false
}

// budget returns the budget of a pair, or the shared budget if there are too many
// pairs.
func (l *Limiter) budget(k key) *budget {
	if b := l.budgets[k]; b != nil {
		return b
	}
	if len(l.budgets) >= l.opts.Keys {
		l.evict()
	}
	if len(l.budgets) >= l.opts.Keys {
		k = key{log.WarnLevel, otherMessages}
	}
	b := l.budgets[k]
	if b == nil {
		b = &budget{tokens: float64(l.opts.Burst), refilledAt: l.opts.Now()}
		l.budgets[k] = b
	}
	return b
}

// evict removes the budgets that are full and have nothing to report.
func (l *Limiter) evict() {
	for k, b := range l.budgets {
		b.refill(l.opts)
		if b.dropped == 0 && b.tokens >= float64(l.opts.Burst) {
			delete(l.budgets, k)
		}
	}
}

func (b *budget) refill(o Options) {
	now := o.Now()
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*o.Rate, float64(o.Burst))
	}
	b.refilledAt = now
}

// Report immediately logs the number of lines dropped since the last report, one
// line for each pair of level and message. Call it before the process exits.
func (l *Limiter) Report() {
	for _, e := range l.reports() {
		_ = l.next.HandleLog(e)
	}
}

func (l *Limiter) reports() []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reporting = false
	var out []*log.Entry
	for k, b := range l.budgets {
		if b.dropped == 0 {
			continue
		}
		out = append(out, l.report(k, b))
		b.dropped = 0
	}
	return out
}

func (l *Limiter) report(k key, b *budget) *log.Entry {
	return &log.Entry{
		Logger:    b.logger,
		Level:     log.WarnLevel,
		Timestamp: l.opts.Now(),
		Message:   DroppedMessage,
		Fields:    log.Fields{"message": k.message, "level": k.level.String(), "count": b.dropped},
	}
}
