// Package logsvc is the stand-in for the log service: an append-only log in
// memory with offsets, limited retention and faults that can be switched
// while it runs. It implements port.Log in process and over HTTP.
package logsvc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

// Options are the settings of a Log. The zero value keeps everything.
type Options struct {
	MaxRecords int              // kept in each stream; 0 is without limit
	MaxAge     time.Duration    // how long a record is kept; 0 is for good
	Latency    time.Duration    // before each answer
	Rate       float64          // appends a second; 0 is without limit
	Now        func() time.Time // clock of the records and of MaxAge
}

// Outage says how the log fails.
type Outage int

// The outages.
const (
	Up      Outage = iota
	Refuse         // every call fails at once
	Hang           // every call waits until the outage ends
	NoReads        // reads fail at once, appends work
)

// Counters counts what was asked of the log.
type Counters struct {
	Appends int `json:"appends"` // that took effect
	Reads   int `json:"reads"`   // that were answered
	Refused int `json:"refused"` // by an outage
	Lost    int `json:"lost"`    // appends whose answer was lost
	Late    int `json:"late"`    // appends that took effect after their failure
	Bytes   int `json:"bytes"`   // of all records appended
}

// Log is the log service. It is safe for concurrent use.
type Log struct {
	standin.Host
	opts Options
	lim  *rate.Limiter

	mu       sync.Mutex
	streams  map[string]*stream
	changed  chan struct{} // closed and replaced at every change
	outage   Outage
	latency  time.Duration
	lose     int // answers still to lose; negative is all
	late     int // appends still to delay
	lateBy   time.Duration
	counters Counters
}

type stream struct {
	first   int64 // offset of records[0]
	records []port.Record
}

func (s *stream) newest() int64 { return s.first + int64(len(s.records)) - 1 }

// New returns an empty log. Nothing has to be closed unless Run is called.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Log{opts: o, latency: o.Latency, lim: rate.NewLimiter(rate.Inf, 1)}
	l.streams = make(map[string]*stream)
	l.changed = make(chan struct{})
	l.SetRate(o.Rate)
	return l
}

// Run serves the log over HTTP on addr.
func (l *Log) Run(addr string) error { return l.Start(l.Handler(), addr) }

// Close ends the server; the records stay.
func (l *Log) Close() error { return l.Stop() }

// SetLatency sets the time before each answer.
func (l *Log) SetLatency(d time.Duration) { l.set(func() { l.latency = d }) }

// SetOutage starts or ends an outage. Calls that hang go on when it ends.
func (l *Log) SetOutage(o Outage) { l.set(func() { l.outage = o }) }

// LoseAnswers makes the next n appends take effect but fail, all with n < 0.
func (l *Log) LoseAnswers(n int) { l.set(func() { l.lose = n }) }

// DelayAppends makes the next n appends fail at once and take effect after d,
// as when a request sits in a queue while its caller gives up.
func (l *Log) DelayAppends(n int, d time.Duration) {
	l.set(func() { l.late, l.lateBy = n, d })
}

// SetRate limits the appends a second; 0 is without limit.
func (l *Log) SetRate(perSecond float64) {
	if perSecond <= 0 {
		l.lim.SetLimit(rate.Inf)
		return
	}
	l.lim.SetLimit(rate.Limit(perSecond))
}

// Counters returns what was counted so far.
func (l *Log) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Append adds data to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := l.enter(ctx, false); err != nil {
		return 0, err
	}
	if err := l.lim.Wait(ctx); err != nil {
		return 0, unavailable(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if standin.ConsumeFault(&l.late) {
		l.counters.Late++
		time.AfterFunc(l.lateBy, func() { l.set(func() { l.append(name, data) }) })
		return 0, unavailable(errLost)
	}
	offset := l.append(name, data)
	if standin.ConsumeFault(&l.lose) {
		l.counters.Lost++
		return 0, unavailable(errLost)
	}
	return offset, nil
}

// Read returns records from an offset on; an offset under 1 stands for 1.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) ([]port.Record, int64, error) {
	if err := l.enter(ctx, true); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	from = max(from, 1)
	for {
		records, newest, changed, err := l.look(name, from, limit)
		if err != nil || len(records) > 0 || wait <= 0 || limit <= 0 {
			return records, newest, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, newest, nil
		case <-ctx.Done():
			return nil, 0, unavailable(ctx.Err())
		}
	}
}

// Earliest returns the lowest offset still kept.
func (l *Log) Earliest(ctx context.Context, name string) (int64, error) {
	if err := l.enter(ctx, true); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first, nil
}

// look reads once and returns the channel that tells of the next change.
func (l *Log) look(name string, from int64, limit int) ([]port.Record, int64, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Reads++
	if l.outage == Refuse || l.outage == NoReads {
		return nil, 0, nil, unavailable(errOutage)
	}
	s := l.stream(name)
	if from < s.first {
		return nil, s.newest(), nil, fmt.Errorf("%w: %s before %d", port.ErrExpired, name, s.first)
	}
	skip := min(int(from-s.first), len(s.records))
	n := min(limit, len(s.records)-skip)
	records := append([]port.Record(nil), s.records[skip:skip+n]...)
	return records, s.newest(), l.changed, nil
}

// stream returns the stream after dropping what is past its age.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		return &stream{first: 1}
	}
	if l.opts.MaxAge > 0 {
		oldest := l.opts.Now().Add(-l.opts.MaxAge)
		for len(s.records) > 0 && s.records[0].Time.Before(oldest) {
			s.drop(1)
		}
	}
	return s
}

func (l *Log) append(name string, data []byte) int64 {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	r := port.Record{Offset: s.newest() + 1, Time: l.opts.Now()}
	r.Data = append([]byte(nil), data...)
	s.records = append(s.records, r)
	if l.opts.MaxRecords > 0 && len(s.records) > l.opts.MaxRecords {
		s.drop(len(s.records) - l.opts.MaxRecords)
	}
	l.counters.Appends++
	l.counters.Bytes += len(data)
	l.notify()
	return r.Offset
}

func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.first += int64(n)
}

// Expire drops all records of a stream before an offset.
func (l *Log) Expire(name string, before int64) {
	l.set(func() {
		if s := l.streams[name]; s != nil && before > s.first {
			s.drop(int(min(before-s.first, int64(len(s.records)))))
		}
	})
}

func (l *Log) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.notify()
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
