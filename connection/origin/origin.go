// Package origin tracks at which software version of a service's targets each
// stream began. Targets of different versions can serve side by side, and what they
// write doesn't fit together: a stream may go on only at the version that began it.
//
// While a service has had a single version for longer than any stream lasts, that
// version is the origin of all its streams. Otherwise each daemon records the streams
// that begin at it and sends the records to a few other daemons before the caller
// receives the first event: what only one daemon knows is lost when that daemon dies,
// which is when callers take up its streams. A second version may appear after the
// daemon's death, so while there is one, the records of streams that stay open are
// sent, too. They are also saved outside the fleet, for the loss of all daemons.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLifetime and MaxLifetime bound the time that streams are assumed to last,
	// from the first event to the last request that takes them up.
	minLifetime = time.Minute
	MaxLifetime = time.Hour
	// lifetimeFactor times the longest time limit of one request is that time.
	// Callers take a stream up with a new request a few times.
	lifetimeFactor = 4
	// shareInterval is the interval at which the records of streams that haven't
	// ended whole are sent again, since daemons that have them may have been
	// restarted.
	shareInterval = 3 * time.Second
	// askTimeout bounds the wait for the answers of other daemons. It covers a
	// repetition after a lost datagram.
	askTimeout = 120 * time.Millisecond
	// vetoTimeout bounds the wait for objections if this daemon knows the origin by the
	// service's only version and another daemon has answered.
	vetoTimeout = 20 * time.Millisecond
)

// Lifetime returns the time that streams are assumed to last if one request may take
// as long as limit.
func Lifetime(limit time.Duration) time.Duration {
	return min(max(lifetimeFactor*limit, minLifetime), MaxLifetime)
}

// Key identifies a stream by the request that brought its first event.
type Key [16]byte

// KeyOf returns the key of a stream. The organisation that owns the request is part
// of it, so that nobody learns of another organisation's streams. It returns false
// if the request has no id.
func KeyOf(service, organisation, request string) (Key, bool) {
	if request == "" {
		return Key{}, false
	}
	var b []byte
	for _, part := range []string{service, organisation, request} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return Key(sum[:len(Key{})]), true
}

// OwnerOf returns the owner of an organisation's records.
func OwnerOf(organisation string) uint64 { return xxhash.Sum64String(organisation) }

// Record states at which software version a stream began.
type Record struct {
	_        struct{} `cbor:",toarray"`
	Key      Key
	Owner    uint64 // see OwnerOf
	Software string
	LeftMs   uint32 // milliseconds for which the record is kept
}

func (r Record) withTimeLeft(d time.Duration) Record {
	r.LeftMs = uint32(d.Milliseconds())
	return r
}

// Query asks another daemon for the origin of a stream. With a zero key it asks only
// for the service's versions.
type Query struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Service string
	SpanMs  uint32 // time that streams of the service last
}

// Reply is the answer to a Query.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	Known    bool     // the daemon has a record of the stream
	Software string   // its version if Known, else the only version if Sole
	Sole     bool     // all targets of the service had that version in the query's span
	Mixed    bool     // they had several versions
}

// Peers exchanges records with other daemons.
type Peers interface {
	// ShareOrigins sends records to the daemons that keep them. It doesn't block.
	ShareOrigins(records []Record)
	// AskOrigins queries the daemons that may have the record of q. It calls handle
	// for each reply until handle returns true, all have replied or ctx is done.
	AskOrigins(ctx context.Context, q Query, handle func(Reply) (done bool))
	// AskVersions is AskOrigins for a query without a key, to a few daemons.
	AskVersions(ctx context.Context, q Query, handle func(Reply) (done bool))
}

// Source states how an origin was found.
type Source string

// The sources.
const (
	FromRecord      Source = "record" // this daemon has a record
	FromPeer        Source = "peer's record"
	FromOnlyVersion Source = "only version" // the service has had a single version
	Unknown         Source = "unknown"
)

// Stream identifies a stream or one of the requests that carry it.
type Stream struct {
	Service      string
	Organisation string
	Request      string // id of the request that brought the first event
}

// Options configures a Tracker.
type Options struct {
	History *History
	Peers   Peers // nil: there are no other daemons
	// Lifetime returns how long streams of a service last, see the function Lifetime,
	// or 0 if they aren't taken up. If it is nil, that is the minimum.
	Lifetime func(service string) time.Duration
	// Confirm reports whether the list of targets is complete as of now. It is called
	// if no other daemon answers. If it is nil, the list is always complete.
	Confirm func(ctx context.Context) bool
	// Now is the clock of the records. By default it is that of package time.
	Now func() time.Duration
}

// Tracker finds the origins of streams. It is safe for concurrent use.
type Tracker struct {
	o       Options
	records *table
	unsent  unsent
}

// New returns a Tracker without records.
func New(o Options) *Tracker {
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Lifetime == nil {
		o.Lifetime = func(string) time.Duration { return minLifetime }
	}
	if o.History == nil {
		o.History = NewHistory(HistoryOptions{})
	}
	return &Tracker{o: o, records: newTable(o.Now, maxRecords), unsent: unsent{saved: make(map[Key]bool)}}
}

// Begin records that a stream begins, or goes on, at a target of a software version.
// It has to be called before the caller receives an event. It doesn't block.
func (t *Tracker) Begin(s Stream, software string) {
	key, ok := KeyOf(s.Service, s.Organisation, s.Request)
	if !ok {
		return
	}
	lifetime := t.o.Lifetime(s.Service)
	r := Record{Key: key, Owner: OwnerOf(s.Organisation), Software: software}
	t.records.put(r, s.Service, lifetime)
	if lifetime > 0 {
		t.unsent.addToSave(key)
	}
	if t.o.Peers == nil {
		return
	}
	if t.isSole(s.Service) {
		if lifetime > 0 && t.unsent.addToShare(key) {
			time.AfterFunc(shareDelay, t.shareOpen)
		}
		return
	}
	t.records.setShared(key)
	t.o.Peers.ShareOrigins([]Record{r.withTimeLeft(lifetime)})
}

// Complete records that a stream has ended whole.
func (t *Tracker) Complete(s Stream) {
	if key, ok := KeyOf(s.Service, s.Organisation, s.Request); ok {
		t.records.setComplete(key)
	}
}

func (t *Tracker) isSole(service string) bool {
	_, ok := t.o.History.Sole(service, t.o.Lifetime(service))
	return ok
}

// Settled reports whether streams may begin at a version of a service without a
// record: each daemon that trusts its list of targets has seen that version.
func (t *Tracker) Settled(service, software string) bool {
	return t.o.History.Settled(service, software)
}

// Find returns the software version at which a stream began.
func (t *Tracker) Find(ctx context.Context, s Stream) (software string, from Source) {
	key, named := KeyOf(s.Service, s.Organisation, s.Request)
	if software, known := t.records.get(key); named && known {
		return software, FromRecord
	}
	span := max(t.o.Lifetime(s.Service), minLifetime)
	own, sole := t.o.History.Sole(s.Service, span)
	found, answered := t.ask(ctx, Query{Key: key, Service: s.Service, SpanMs: uint32(span.Milliseconds())}, sole)
	switch {
	case !answered && sole && t.o.Confirm != nil && !t.o.Confirm(ctx):
		// A daemon that reaches no other one may lack a version that is so new that
		// only the others know it.
		return "", Unknown
	case found.Known && named:
		return found.Software, FromPeer
	case found.Mixed || t.o.History.Mixed(s.Service, span):
		return "", Unknown
	case sole && (!found.Sole || found.Software == own):
		return own, FromOnlyVersion
	case !sole && found.Sole:
		t.o.History.Inherit(s.Service, found.Software, span)
		return found.Software, FromOnlyVersion
	}
	return "", Unknown
}

// ask combines the replies of other daemons. One that has the record ends the query.
// answered is false if there are other daemons and none replied.
func (t *Tracker) ask(ctx context.Context, q Query, sole bool) (found Reply, answered bool) {
	if t.o.Peers == nil {
		return Reply{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !sole {
		return t.askOnce(ctx, q, func(Reply) bool { return false })
	}
	veto, cancelVeto := context.WithTimeout(ctx, vetoTimeout)
	found, answered = t.askOnce(veto, q, func(Reply) bool { return false })
	cancelVeto()
	if answered {
		return found, true
	}
	return t.askOnce(ctx, q, func(Reply) bool { return true })
}

// askOnce queries other daemons until enough returns true for a reply, all have
// replied or ctx is done.
func (t *Tracker) askOnce(ctx context.Context, q Query, enough func(Reply) bool) (found Reply, answered bool) {
	t.o.Peers.AskOrigins(ctx, q, func(r Reply) bool {
		answered = true
		switch {
		case r.Known:
			found = r
			return true
		case r.Mixed, r.Sole && found.Sole && r.Software != found.Software:
			found = Reply{Mixed: true}
		case r.Sole && !found.Mixed:
			found = r
		}
		return enough(r)
	})
	// A query that ends before its context had nobody to ask.
	return found, answered || ctx.Err() == nil
}

// Store stores the records of another daemon.
func (t *Tracker) Store(records []Record) {
	for _, r := range records {
		t.records.put(r, "", time.Duration(r.LeftMs)*time.Millisecond)
	}
}

// Answer answers the query of another daemon.
func (t *Tracker) Answer(q Query) Reply {
	if software, known := t.records.get(q.Key); known {
		return Reply{Known: true, Software: software}
	}
	span := time.Duration(q.SpanMs) * time.Millisecond
	if software, sole := t.o.History.Sole(q.Service, span); sole {
		return Reply{Sole: true, Software: software}
	}
	return Reply{Mixed: t.o.History.Mixed(q.Service, span)}
}

// Tick has to be called about once a second. It removes expired records, sends the
// records that other daemons need and, while this daemon doesn't know a service's
// versions for long enough, asks others for them.
func (t *Tracker) Tick(ctx context.Context) {
	t.o.History.Tick()
	t.records.expire()
	if t.o.Peers == nil {
		return
	}
	t.share()
	for _, service := range t.o.History.Services() {
		span := t.o.Lifetime(service)
		if span == 0 || t.isSole(service) || t.o.History.Mixed(service, span) {
			continue
		}
		t.inherit(ctx, service, span)
	}
}

// Observe is History.Observe. If the versions of a service have changed, it sends
// the records of streams that began before.
func (t *Tracker) Observe(software map[string][]string) {
	if t.o.History.Observe(software) && t.o.Peers != nil {
		t.share()
	}
}

// share sends the records of streams that may be taken up, if the service's targets
// can't be assumed to have a single version. It includes streams that began while
// they had.
func (t *Tracker) share() {
	services := slices.DeleteFunc(t.o.History.Services(), t.isSole)
	if len(services) == 0 {
		return
	}
	selected := func(service string) bool { return slices.Contains(services, service) }
	if records := t.records.takeUnshared(selected, t.o.Now()-shareInterval); len(records) > 0 {
		t.o.Peers.ShareOrigins(records)
	}
}

// inherit asks other daemons for the history of a service.
func (t *Tracker) inherit(ctx context.Context, service string, span time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t.o.Peers.AskVersions(ctx, Query{Service: service, SpanMs: uint32(span.Milliseconds())}, func(r Reply) bool {
		if r.Sole {
			t.o.History.Inherit(service, r.Software, span)
		}
		return r.Sole
	})
}
