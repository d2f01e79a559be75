package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// PathAddresses is where any daemon tells which addresses to use.
const PathAddresses = "/v1/addresses"

const (
	fetchTimeout = 2 * time.Second
	minTTL       = 100 * time.Millisecond
	maxTTL       = time.Minute
)

// Address is one entry of a daemon's answer.
type Address struct {
	Addr string `json:"addr"` // host:port
	Zone string `json:"zone"` // availability zone
}

// Addresses is a daemon's answer.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	TTLMs     int64     `json:"ttl_ms"` // how long they may be kept
}

// Addresses asks for fresh addresses and says which daemon answered.
func (c *Client) Addresses(ctx context.Context) (Addresses, string, error) {
	return c.book.ask(ctx)
}

func (c *Client) fetch(ctx context.Context, addr string) (Addresses, error) {
	if c.opts.SkipDiscovery {
		return c.fixed(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var a Addresses
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme+"://"+addr+PathAddresses+"?zone="+url.QueryEscape(c.opts.Zone), nil)
	if err != nil {
		return a, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("%s answered %s", addr, resp.Status)
	}
	return a, json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&a)
}

// book keeps addresses for as long as they may be kept. An address that failed
// is used only when no other is left, until the next answer.
type book struct {
	seeds []string
	zone  string
	fetch func(ctx context.Context, addr string) (Addresses, error)

	mu      sync.Mutex
	rng     *rand.Rand
	known   []Address
	failed  map[string]bool
	expires time.Time
}

func newBook(o Options, fetch func(context.Context, string) (Addresses, error)) *book {
	return &book{
		seeds:  o.Daemons,
		zone:   o.Zone,
		fetch:  fetch,
		rng:    rand.New(rand.NewPCG(o.Seed, 1)),
		failed: make(map[string]bool),
	}
}

// pick returns an address, other than avoid if there is another, and in the
// caller's zone if there is one.
func (b *book) pick(ctx context.Context, avoid string) (string, error) {
	if b.expired() {
		if _, _, err := b.ask(ctx); err != nil && !b.any() {
			return "", err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, far, rest []string
	for _, a := range b.known {
		switch {
		case a.Addr == avoid || b.failed[a.Addr]:
			rest = append(rest, a.Addr)
		case a.Zone == b.zone:
			near = append(near, a.Addr)
		default:
			far = append(far, a.Addr)
		}
	}
	for _, list := range [][]string{near, far, rest} {
		if len(list) > 0 {
			return list[b.rng.IntN(len(list))], nil
		}
	}
	return "", code.New(code.DaemonUnreachable, "no daemon gave an address")
}

// fail notes that an address refused or failed.
func (b *book) fail(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[addr] = true
}

func (b *book) expired() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !time.Now().Before(b.expires)
}

func (b *book) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.known) > 0
}

// ask gets a fresh list from the first daemon that answers: those known now,
// the failed ones last, and then those named at the start.
func (b *book) ask(ctx context.Context) (Addresses, string, error) {
	var last error
	for _, addr := range b.order() {
		a, err := b.fetch(ctx, addr)
		if err == nil && len(a.Addresses) > 0 {
			b.store(a)
			return a, addr, nil
		}
		if err == nil {
			err = fmt.Errorf("%s knows no address", addr)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return Addresses{}, "", code.Wrap(code.DaemonUnreachable, last, "no daemon gave an address")
}

func (b *book) order() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var good, rest []string
	seen := make(map[string]bool)
	var all []string
	for _, a := range b.known {
		all = append(all, a.Addr)
	}
	for _, a := range append(all, b.seeds...) {
		switch {
		case seen[a]:
		case b.failed[a]:
			rest = append(rest, a)
		default:
			good = append(good, a)
		}
		seen[a] = true
	}
	b.rng.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	return append(good, rest...)
}

func (b *book) store(a Addresses) {
	ttl := time.Duration(a.TTLMs) * time.Millisecond
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = a.Addresses
	clear(b.failed)
	b.expires = time.Now().Add(min(max(ttl, minTTL), maxTTL))
}

// fixed answers with the daemons that the options name.
func (c *Client) fixed() Addresses {
	a := Addresses{TTLMs: maxTTL.Milliseconds()}
	for _, d := range c.opts.Daemons {
		a.Addresses = append(a.Addresses, Address{Addr: d})
	}
	return a
}
