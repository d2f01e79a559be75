// Package logsvc is the stand-in for the log service: an in-memory append-only
// log with offsets, limited retention and faults that can be set at run time. It
// implements port.Log in process and serves it over HTTP.
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

// Options are the settings of a Log. The zero value retains all records.
type Options struct {
	MaxRecords int              // retained in each stream; 0 is without limit
	MaxAge     time.Duration    // retention time of a record; 0 is without limit
	Latency    time.Duration    // delay of each call
	Rate       float64          // appends per second; 0 is without limit
	Now        func() time.Time // clock for the times of records and for MaxAge
}

// Outage is the way in which the log fails.
type Outage int

// Values of Outage.
const (
	Up      Outage = iota // no outage
	Refuse                // every call fails immediately
	Hang                  // every call waits until the outage ends
	NoReads               // reads fail immediately, appends work
)

// Counters counts the calls of the log.
type Counters struct {
	Appends int `json:"appends"` // appends that took effect
	Reads   int `json:"reads"`   // reads of a stream, also repeated ones of a waiting call
	Refused int `json:"refused"` // calls that an outage made fail
	Lost    int `json:"lost"`    // appends that took effect but whose answer was lost
	Late    int `json:"late"`    // appends that failed and take effect later
	Bytes   int `json:"bytes"`   // size of all appended records
}

// Log is the stand-in log service. It is safe for concurrent use.
type Log struct {
	standin.Host
	opts    Options
	limiter *rate.Limiter

	mu          sync.Mutex
	streams     map[string]*stream
	changed     chan struct{} // closed and replaced at every change
	outage      Outage
	latency     time.Duration
	loseCount   int // appends whose answer will be lost; negative is all
	delayCount  int // appends to delay; negative is all
	appendDelay time.Duration
	counters    Counters
}

type stream struct {
	first   int64 // offset of records[0]
	records []port.Record
}

func (s *stream) newest() int64 { return s.first + int64(len(s.records)) - 1 }

// New returns an empty log. It needs no Close unless Run is called.
func New(o Options) *Log {
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Log{opts: o, latency: o.Latency, limiter: rate.NewLimiter(rate.Inf, 1)}
	l.streams = make(map[string]*stream)
	l.changed = make(chan struct{})
	l.SetRate(o.Rate)
	return l
}

// Run serves the log over HTTP on addr.
func (l *Log) Run(addr string) error { return l.Start(l.Handler(), addr) }

// Close stops the server. The records remain available in process.
func (l *Log) Close() error { return l.Stop() }

// SetLatency sets the delay of each call.
func (l *Log) SetLatency(d time.Duration) { l.update(func() { l.latency = d }) }

// SetOutage starts an outage, or ends it with Up. Calls that hang continue when
// the Hang outage ends.
func (l *Log) SetOutage(o Outage) { l.update(func() { l.outage = o }) }

// LoseAnswers makes the next n appends return an error although they take
// effect. A negative n applies to all appends.
func (l *Log) LoseAnswers(n int) { l.update(func() { l.loseCount = n }) }

// DelayAppends makes the next n appends fail immediately and take effect after d,
// as when a request is still queued after its caller has timed out.
func (l *Log) DelayAppends(n int, d time.Duration) {
	l.update(func() { l.delayCount, l.appendDelay = n, d })
}

// SetRate limits the appends per second; 0 is without limit.
func (l *Log) SetRate(perSecond float64) {
	if perSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetLimit(rate.Limit(perSecond))
}

// Counters returns the current counters.
func (l *Log) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// Append appends a record to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := l.admit(ctx, false); err != nil {
		return 0, err
	}
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, unavailable(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if standin.ConsumeFault(&l.delayCount) {
		l.counters.Late++
		time.AfterFunc(l.appendDelay, func() { l.update(func() { l.append(name, data) }) })
		return 0, unavailable(errAnswerLost)
	}
	offset := l.append(name, data)
	if standin.ConsumeFault(&l.loseCount) {
		l.counters.Lost++
		return 0, unavailable(errAnswerLost)
	}
	return offset, nil
}

// Read returns up to limit records from an offset on, and the newest offset. It
// waits up to wait for a first record. An offset below 1 is treated as 1.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) ([]port.Record, int64, error) {
	if err := l.admit(ctx, true); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	from = max(from, 1)
	for {
		records, newest, changed, err := l.readOnce(name, from, limit)
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

// Earliest returns the lowest retained offset.
func (l *Log) Earliest(ctx context.Context, name string) (int64, error) {
	if err := l.admit(ctx, true); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).first, nil
}

// readOnce reads without waiting. It also returns a channel that is closed at the
// next change.
func (l *Log) readOnce(name string, from int64, limit int) ([]port.Record, int64, chan struct{}, error) {
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

// stream returns a stream after dropping its expired records. For an unknown name
// it returns an empty stream.
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

// Expire drops the records of a stream before an offset.
func (l *Log) Expire(name string, before int64) {
	l.update(func() {
		if s := l.streams[name]; s != nil && before > s.first {
			s.drop(int(min(before-s.first, int64(len(s.records)))))
		}
	})
}

// update runs f with mu held and notifies the waiting calls.
func (l *Log) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.notify()
}

// notify wakes the calls that wait for a change. The caller must hold mu.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
