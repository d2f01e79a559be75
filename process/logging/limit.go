// Package logging keeps the log readable and cheap in a storm: of lines that
// say the same it lets a bounded number through and counts the others.
package logging

import (
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"
)

// counts are the metrics of all limiters of the process.
var counts = expvar.NewMap("logging")

// DroppedMessage is the message of the lines that say what was left out. Its fields
// are message, level and count.
const DroppedMessage = "logging: lines left out"

// The defaults of Options.
const (
	DefaultRate  = 5.0
	DefaultBurst = 20
	DefaultKeys  = 256
)

// reportAfter is the longest time from a line that is left out to the line
// that says so.
const reportAfter = time.Second

// otherMessages stands for the messages beyond Options.Keys.
const otherMessages = "(other messages)"

// Options of a Limiter. Zero values take the defaults.
type Options struct {
	Rate  float64          // lines a second of one level and message; 5
	Burst int              // lines of one level and message at once; 20
	Keys  int              // pairs of level and message told apart; 256
	Now   func() time.Time // time.Now
	// After calls f once after d, from another goroutine; time.AfterFunc.
	After func(d time.Duration, f func())
}

// Limiter is a log.Handler before another one. It is safe for concurrent use.
//
// The guard is against a storm of failures: with a line for each, the disk and
// the reader get thousands a second and the lines of other parts drown. Every
// pair of level and message has a budget of its own, so the parts can't take
// each other's lines. Messages are constants and few; should one be made up of
// data, the pairs beyond Options.Keys share one budget, so memory is bounded.
type Limiter struct {
	next log.Handler
	opts Options

	mu        sync.Mutex
	budgets   map[key]*budget
	reporting bool // a report is due within reportAfter
}

type key struct {
	level   log.Level
	message string
}

// budget is a token bucket and what it refused.
type budget struct {
	lines   float64 // that may pass now
	at      time.Time
	leftOut int // since the last report
	logger  *log.Logger
}

// NewLimiter returns a Limiter that hands what may pass to next.
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

// HandleLog passes the entry on or counts it. Fatal lines always pass: the
// process ends with them.
func (l *Limiter) HandleLog(e *log.Entry) error {
	if e.Level < log.FatalLevel && !l.take(e) {
		return nil
	}
	return l.next.HandleLog(e)
}

func (l *Limiter) take(e *log.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.budget(key{e.Level, e.Message})
	b.refill(l.opts)
	if b.lines >= 1 {
		b.lines--
		counts.Add("passed", 1)
		return true
	}
	counts.Add("left_out", 1)
	b.leftOut++
	b.logger = e.Logger
	if !l.reporting {
		l.reporting = true
		l.opts.After(reportAfter, l.Report)
	}
	return false
}

// budget returns the pair's own budget, or the shared one when there are too
// many pairs.
func (l *Limiter) budget(k key) *budget {
	if b := l.budgets[k]; b != nil {
		return b
	}
	if len(l.budgets) >= l.opts.Keys {
		l.forget()
	}
	if len(l.budgets) >= l.opts.Keys {
		k = key{log.WarnLevel, otherMessages}
	}
	b := l.budgets[k]
	if b == nil {
		b = &budget{lines: float64(l.opts.Burst), at: l.opts.Now()}
		l.budgets[k] = b
	}
	return b
}

// forget drops the budgets that are as good as new.
func (l *Limiter) forget() {
	for k, b := range l.budgets {
		b.refill(l.opts)
		if b.leftOut == 0 && b.lines >= float64(l.opts.Burst) {
			delete(l.budgets, k)
		}
	}
}

func (b *budget) refill(o Options) {
	now := o.Now()
	if passed := now.Sub(b.at); passed > 0 {
		b.lines = min(b.lines+passed.Seconds()*o.Rate, float64(o.Burst))
	}
	b.at = now
}

// Report says at once what was left out since the last report, one line for
// each level and message. Call it before the process ends.
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
		if b.leftOut == 0 {
			continue
		}
		out = append(out, l.report(k, b))
		b.leftOut = 0
	}
	return out
}

func (l *Limiter) report(k key, b *budget) *log.Entry {
	return &log.Entry{
		Logger:    b.logger,
		Level:     log.WarnLevel,
		Timestamp: l.opts.Now(),
		Message:   DroppedMessage,
		Fields:    log.Fields{"message": k.message, "level": k.level.String(), "count": b.leftOut},
	}
}
