// Package topic follows a keyed topic of the store: it hands every record over
// in order, and the whole topic anew when the store no longer keeps the
// records in between.
package topic

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// firstBackoff and maxBackoff bound the wait after a failed call. The
	// store counts refused calls too, and allows some hundreds a second.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxPages bounds a listing: 500 records a page.
	maxPages = 1000
)

// Sink takes what a Follower reads. It is called from one goroutine.
type Sink interface {
	// Reset replaces everything by the topic's newest records. next is the
	// offset that is read next.
	Reset(records []port.KeyedRecord, next int64)
	// Apply takes records in their order.
	Apply(records []port.KeyedRecord)
	// StoreLost says that the store can't be read, once for each outage.
	StoreLost(err error)
	// StoreRecovered says that the store was read again, after Reset or Apply.
	StoreRecovered()
}

// Options of a Follower.
type Options struct {
	Store port.Store
	Topic port.Topic
	Name  string // for log lines
	Sink  Sink
	// ReadInterval is the least time between the begins of two reads, since every call
	// is paid for. It is asked before each read.
	ReadInterval func() time.Duration
	// Wait is the longest wait of a read for records. It is asked before each.
	Wait func() time.Duration
	// OnCurrent, if set, is called after each listing of the store or read that
	// succeeded, once its records were handed over: all records before the
	// offset next were.
	OnCurrent func(next int64)
}

// Follower reads one topic until Stop.
type Follower struct {
	o    Options
	tomb tomb.Tomb

	// of the reading goroutine
	next   int64 // offset to read from
	placed bool  // next is known
	lost   bool
}

// New returns a Follower that doesn't run yet.
func New(o Options) *Follower {
	return &Follower{o: o}
}

// Start begins to read.
func (f *Follower) Start() { f.tomb.Go(f.loop) }

// Stop ends the reading.
func (f *Follower) Stop() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Follower) loop() error {
	ctx := f.tomb.Context(context.Background())
	backoff := firstBackoff
	for f.tomb.Alive() {
		begun := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.report(err)
		wait := f.o.ReadInterval() - time.Since(begun)
		if err != nil {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
	}
	return nil
}

// step makes one listing or one read.
func (f *Follower) step(ctx context.Context) error {
	if !f.placed {
		return f.list(ctx)
	}
	batch, err := f.o.Store.Read(ctx, f.o.Topic, f.next, f.o.Wait())
	if errors.Is(err, port.ErrExpired) {
		log.WithFields(log.Fields{"topic": f.o.Name, "from": f.next}).Info("topic: records expired, listing the topic")
		f.placed = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.next = max(f.next, batch.Next)
	if len(batch.Records) > 0 {
		f.o.Sink.Apply(batch.Records)
	}
	f.current()
	return nil
}

func (f *Follower) current() {
	if f.o.OnCurrent != nil {
		f.o.OnCurrent(f.next)
	}
}

// list reads the newest record of each key, and goes on from the end that the
// first page names: a record that is written while later pages are read is
// read again from the log.
//
// The guard is against a listing that is older than what was read before: it
// would bring back targets that have left. The store's answer may be some
// seconds behind, which shows in an end below the offset to read from.
func (f *Follower) list(ctx context.Context) error {
	var all []port.KeyedRecord
	var end int64
	relayed := false
	after := ""
	for n := range maxPages {
		page, err := f.o.Store.Newest(ctx, f.o.Topic, after)
		if err != nil {
			return err
		}
		if n == 0 {
			end, relayed = page.End, page.Relayed
		}
		all = append(all, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	if end < f.next {
		return errStale
	}
	f.next, f.placed = end, true
	log.WithFields(log.Fields{"topic": f.o.Name, "records": len(all), "newest": newest(all), "next": end}).Info("topic: listed")
	f.o.Sink.Reset(all, end)
	if relayed {
		return errRelayed
	}
	f.current()
	return nil
}

// newest is the highest offset of the records, -1 without any.
func newest(records []port.KeyedRecord) int64 {
	top := int64(-1)
	for _, r := range records {
		top = max(top, r.Offset)
	}
	return top
}

var (
	errStale = errors.New("topic: the listing is older than what was read")
	// errRelayed keeps the store noted as lost after a listing that another
	// daemon gave.
	errRelayed = errors.New("topic: listed by another daemon, the store can't be read")
)

func (f *Follower) report(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		log.WithField("topic", f.o.Name).WithError(err).Warn("topic: store lost")
		f.o.Sink.StoreLost(err)
	case err == nil && f.lost:
		f.lost = false
		log.WithFields(log.Fields{"topic": f.o.Name, "next": f.next}).Info("topic: store is back")
		f.o.Sink.StoreRecovered()
	}
}
