// Package relay lets a few daemons of a large fleet read the store and relay
// its records to the other daemons. Every call to the store is paid for. With
// 90 daemons reads were the most expensive item, 0.05 of the value of the work
// done. A daemon whose reader fails reads the store itself. A daemon that
// starts while the store is unavailable takes the records that another daemon
// has already read.
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

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/port"
)

// metrics counts the reads from other daemons and from the store.
var metrics = expvar.NewMap("relay")

// answer is the CBOR body of a response to a read or to a request for a
// listing.
type answer struct {
	Pack pack
	// End is the offset after the newest record that the reader has read.
	End int64
	// ReadAt is when the reader last read the store, relative to the time of
	// the request; negative means before it. It is relative because the clocks
	// of two daemons can't be compared.
	ReadAt time.Duration
	// AvailableFor is how long the store is known to have been available up to
	// ReadAt. It is 0 in answers of an earlier version.
	AvailableFor time.Duration
}

// Handler serves the reads of other daemons.
func Handler(caches map[port.Topic]*TopicCache) http.Handler {
	r := bunrouter.New()
	r.GET("/listing", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		cache := caches[port.Topic(p.number("topic"))]
		if p.invalid || cache == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		l, known := cache.listing()
		if !known {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return cache.write(w, req.Request, l.key(), l.page.Records, answer{End: l.page.End})
	})
	r.GET("/current", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		cache, wait, maxAge := caches[port.Topic(p.number("topic"))], p.ms("wait_ms"), p.ms("max_age_ms")
		if p.invalid || cache == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		cache.awaitFirstRead(req.Context(), wait)
		l, fresh := cache.current(maxAge)
		if !fresh {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		metrics.Add("listings_served", 1)
		return cache.write(w, req.Request, l.key(), l.page.Records, answer{End: l.page.End, ReadAt: l.readAt, AvailableFor: l.availableFor})
	})
	r.GET("/records", func(w http.ResponseWriter, req bunrouter.Request) error {
		p := params{values: req.URL.Query()}
		cache, from, wait, maxAge := caches[port.Topic(p.number("topic"))], p.number("from"), p.ms("wait_ms"), p.ms("max_age_ms")
		settle := wait
		if p.values.Has("settle_ms") { // not sent by earlier versions
			settle = p.ms("settle_ms")
		}
		if p.invalid || cache == nil {
			w.WriteHeader(http.StatusBadRequest)
			return nil
		}
		b, status := cache.read(req.Context(), from, wait, settle, maxAge)
		switch status {
		case ok:
			metrics.Add("reads_served", 1)
			return cache.write(w, req.Request, b.key(), b.records(), answer{End: b.next, ReadAt: b.readAt, AvailableFor: b.availableFor})
		case gap:
			w.WriteHeader(http.StatusGone)
		default:
			metrics.Add("reads_stale", 1)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return r
}

// params parses the numeric parameters of a query.
type params struct {
	values  url.Values
	invalid bool // a parameter was missing or not a number
}

func (p *params) number(name string) int64 {
	n, err := strconv.ParseInt(p.values.Get(name), 10, 64)
	p.invalid = p.invalid || err != nil
	return n
}

func (p *params) ms(name string) time.Duration {
	return time.Duration(p.number(name)) * time.Millisecond
}

// write sends records of the topic as the response to req.
func (t *TopicCache) write(w http.ResponseWriter, req *http.Request, key packKey, records []port.KeyedRecord, a answer) error {
	var err error
	if a.Pack, err = t.packer.pack(key, records); err != nil {
		return err
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	// The packed records are shared by all responses, their encoding isn't.
	account := quota.FromContext(req.Context())
	if account.Grow(int64(len(data))) != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil
	}
	account.Send()
	_, err = w.Write(data)
	return err
}
