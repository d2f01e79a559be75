// Package relay lets few daemons of a large fleet read the store and pass its
// records on to the others. Every call to the store is paid for: at 90 daemons
// reads were the dearest item, 0.05 of worth. A daemon whose reader fails reads
// the store itself. A daemon that starts while the store is away takes from
// another one what that has read.
package relay

import (
	"expvar"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
)

// counts are of what daemons read from each other and from the store.
var counts = expvar.NewMap("relay")

// answer is a reader's answer to a read, or its listing of a topic that may be
// taken for the store's.
type answer struct {
	Pack pack
	// End is the offset after the newest record that the reader has read.
	End int64
	// ReadAt is when the reader last read the store, counted from the
	// moment at which it was asked: negative for before. Clocks of two daemons
	// don't compare, spans do.
	ReadAt time.Duration
}

// Handler answers the other daemons' reads.
func Handler(tails map[port.Topic]*Tail) http.Handler {
	r := bunrouter.New()
	r.GET("/listing", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		tail := tails[port.Topic(p.number("topic"))]
		if p.bad || tail == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		l, known := tail.listing()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return tail.write(w, l.key(), l.page.Records, answer{End: l.page.End})
	})
	r.GET("/current", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		tail, wait, maxAge := tails[port.Topic(p.number("topic"))], p.ms("wait_ms"), p.ms("max_age_ms")
		if p.bad || tail == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		tail.await(req.Context(), wait)
		l, fresh := tail.current(maxAge)
		if !fresh {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		counts.Add("listings_served", 1)
		return tail.write(w, l.key(), l.page.Records, answer{End: l.page.End, ReadAt: l.readAt})
	})
	r.GET("/records", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		tail, from, wait, maxAge := tails[port.Topic(p.number("topic"))], p.number("from"), p.ms("wait_ms"), p.ms("max_age_ms")
		if p.bad || tail == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		b, status := tail.read(req.Context(), from, wait, maxAge)
		switch status {
		case ok:
			counts.Add("reads_served", 1)
			return tail.write(w, b.key(), b.records(), answer{End: b.next, ReadAt: b.readAt})
		case gap:
			w.WriteHeader(http.StatusGone)
		default:
			counts.Add("reads_stale", 1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return r
}

// params reads the numbers of a question.
type params struct {
	values url.Values
	bad    bool // one was missing, or no number
}

func (p *params) number(name string) int64 {
	n, err := strconv.ParseInt(p.values.Get(name), 10, 64)
	p.bad = p.bad || err != nil
	return n
}

func (p *params) ms(name string) time.Duration {
	return time.Duration(p.number(name)) * time.Millisecond
}

// write answers with records of a topic.
func (t *Tail) write(w http.ResponseWriter, key packKey, records []port.KeyedRecord, a answer) error {
	var err error
	if a.Pack, err = t.packer.pack(key, records); err != nil {
		return err
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	_, err = w.Write(data)
	return err
}
