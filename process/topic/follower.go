// Package topic follows a keyed topic of the store. It delivers the records in
// order, and lists the whole topic again if the store no longer keeps the
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
	// minBackoff and maxBackoff bound the delay after a failed call. The store
	// counts rejected calls against its rate limit, which is some hundreds a
	// second.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxPages bounds a listing. A page has 500 records.
	maxPages = 1000
)

// Sink receives the records that a Follower reads. Its methods are called from
// one goroutine.
type Sink interface {
	// Reset replaces the whole content by the topic's newest records. next is
	// the offset that is read next.
	Reset(records []port.KeyedRecord, next int64)
	// Apply applies records in order.
	Apply(records []port.KeyedRecord)
	// StoreLost reports that the store can't be read, once for each outage and
	// before the Reset with each listing from another daemon.
	StoreLost(err error)
	// StoreRecovered reports the end of an outage, after the Reset or Apply of
	// the read that succeeded.
	StoreRecovered()
}

// Options configures a Follower.
type Options struct {
	Store port.Store
	Topic port.Topic
	Name  string // for log lines
	Sink  Sink
	// ReadInterval returns the minimum time between the starts of two reads,
	// since every call is paid for. It is called after each read.
	ReadInterval func() time.Duration
	// Wait returns how long a read may wait for records. It is called before
	// each read.
	Wait func() time.Duration
	// OnCurrent, if set, is called after each successful read and each listing
	// from the store, once the records were passed to Sink. All records before
	// the offset next have been passed on.
	OnCurrent func(next int64)
	// StoreWasAvailable, if set, reports whether the store is known to have been
	// available since the last successful read. It is called after each read
	// that follows an outage, but not after a listing from another daemon.
	StoreWasAvailable func() bool
	// OnAvailable is called before the Reset or Apply that follows an outage in
	// which the store was available: only this process couldn't read it, and
	// what is missing in it was removed by its writers.
	OnAvailable func()
}

// Follower reads one topic until Stop is called.
type Follower struct {
	o    Options
	tomb tomb.Tomb

	// used by the reading goroutine only
	next      int64 // offset to read from
	nextKnown bool  // next is valid
	lost      bool
}

// New returns a Follower that isn't started yet.
func New(o Options) *Follower {
	return &Follower{o: o}
}

// Start starts reading.
func (f *Follower) Start() { f.tomb.Go(f.run) }

// Stop stops reading and waits for the goroutine to end.
func (f *Follower) Stop() error {
	f.tomb.Kill(nil)
	return f.tomb.Wait()
}

func (f *Follower) run() error {
	ctx := f.tomb.Context(context.Background())
	backoff := minBackoff
	for f.tomb.Alive() {
		begun := time.Now()
		err := f.readOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.reportOutage(err)
		wait := f.o.ReadInterval() - time.Since(begun)
		if err != nil {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
	}
	return nil
}

// readOnce makes one listing or one read.
func (f *Follower) readOnce(ctx context.Context) error {
	if !f.nextKnown {
		return f.list(ctx)
	}
	batch, err := f.o.Store.Read(ctx, f.o.Topic, f.next, f.o.Wait())
	if errors.Is(err, port.ErrExpired) {
		log.WithFields(log.Fields{"topic": f.o.Name, "from": f.next}).Info("topic: records expired; listing the topic again")
		f.nextKnown = false
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.next = max(f.next, batch.Next)
	f.reportAvailable()
	if len(batch.Records) > 0 {
		f.o.Sink.Apply(batch.Records)
	}
	f.reportProgress()
	return nil
}

// reportAvailable calls OnAvailable if this read follows an outage in which the
// store was available.
func (f *Follower) reportAvailable() {
	if !f.lost || f.o.StoreWasAvailable == nil || !f.o.StoreWasAvailable() {
		return
	}
	log.WithFields(log.Fields{"topic": f.o.Name, "next": f.next}).Info("topic: the store was available during the outage")
	f.o.OnAvailable()
}

func (f *Follower) reportProgress() {
	if f.o.OnCurrent != nil {
		f.o.OnCurrent(f.next)
	}
}

// list reads the newest record of each key and sets the offset to continue from
// to the end given by the first page. A record that is written while later
// pages are read is read again from the log.
//
// A listing that is older than the records already read is rejected, because it
// would restore targets that have left. The store may answer with data that is
// some seconds old; the end of such a listing is below the current offset.
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
	f.next, f.nextKnown = end, true
	log.WithFields(log.Fields{"topic": f.o.Name, "records": len(all), "newest": maxOffset(all), "next": end}).Info("topic: listed")
	if relayed {
		// The time of this listing is unknown, so reads before the outage don't show
		// that the store was available until then.
		f.o.Sink.StoreLost(errRelayed)
		f.o.Sink.Reset(all, end)
		return errRelayed
	}
	f.reportAvailable()
	f.o.Sink.Reset(all, end)
	f.reportProgress()
	return nil
}

// maxOffset returns the highest offset of the records, or -1 if there are none.
func maxOffset(records []port.KeyedRecord) int64 {
	top := int64(-1)
	for _, r := range records {
		top = max(top, r.Offset)
	}
	return top
}

var (
	errStale = errors.New("topic: the listing is older than the records already read")
	// errRelayed keeps the store marked as lost after a listing that came from
	// another daemon.
	errRelayed = errors.New("topic: listed from another daemon because the store can't be read")
)

// reportOutage logs the start and the end of an outage and notifies the sink.
func (f *Follower) reportOutage(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		log.WithField("topic", f.o.Name).WithError(err).Warn("topic: store lost")
		f.o.Sink.StoreLost(err)
	case err == nil && f.lost:
		f.lost = false
		log.WithFields(log.Fields{"topic": f.o.Name, "next": f.next}).Info("topic: store recovered")
		f.o.Sink.StoreRecovered()
	}
}
