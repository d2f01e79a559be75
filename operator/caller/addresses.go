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

// PathAddresses is the path at which any daemon lists the addresses to use.
const PathAddresses = "/v1/addresses"

const (
	fetchTimeout = 2 * time.Second
	minTTL       = 100 * time.Millisecond
	maxTTL       = time.Minute
)

// Address is one entry of Addresses.
type Address struct {
	Addr string `json:"addr"` // host:port
	Zone string `json:"zone"` // availability zone
}

// Addresses is a daemon's answer at PathAddresses.
type Addresses struct {
	Addresses []Address `json:"addresses"`
	TTLMs     int64     `json:"ttl_ms"` // how long the addresses may be cached
}

// Addresses queries fresh addresses and returns them with the address of the
// daemon that answered.
func (c *Client) Addresses(ctx context.Context) (Addresses, string, error) {
	return c.cache.refresh(ctx)
}

func (c *Client) fetchAddresses(ctx context.Context, addr string) (Addresses, error) {
	if c.opts.SkipDiscovery {
		return c.configuredAddresses(), nil
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

// addressCache caches addresses for their TTL. A failed address is used only
// when no other is left, until the next refresh.
type addressCache struct {
	seeds []string
	zone  string
	fetch func(ctx context.Context, addr string) (Addresses, error)

	mu      sync.Mutex
	rng     *rand.Rand
	known   []Address
	failed  map[string]bool
	expires time.Time
}

func newAddressCache(o Options, fetch func(context.Context, string) (Addresses, error)) *addressCache {
	return &addressCache{
		seeds:  o.Daemons,
		zone:   o.Zone,
		fetch:  fetch,
		rng:    rand.New(rand.NewPCG(o.Seed, 1)),
		failed: make(map[string]bool),
	}
}

// pick returns a random address. It prefers addresses in the caller's zone, and
// uses avoid and failed addresses only when no others are left.
func (c *addressCache) pick(ctx context.Context, avoid string) (string, error) {
	if c.expired() {
		if _, _, err := c.refresh(ctx); err != nil && !c.hasAddresses() {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far, rest []string
	for _, a := range c.known {
		switch {
		case a.Addr == avoid || c.failed[a.Addr]:
			rest = append(rest, a.Addr)
		case a.Zone == c.zone:
			near = append(near, a.Addr)
		default:
			far = append(far, a.Addr)
		}
	}
	for _, list := range [][]string{near, far, rest} {
		if len(list) > 0 {
			return list[c.rng.IntN(len(list))], nil
		}
	}
	return "", code.New(code.DaemonUnreachable, "no daemon gave an address")
}

// markFailed marks an address whose daemon refused or failed.
func (c *addressCache) markFailed(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[addr] = true
}

func (c *addressCache) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !time.Now().Before(c.expires)
}

func (c *addressCache) hasAddresses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.known) > 0
}

// refresh gets a fresh list from the first daemon that answers, in the order of
// refreshOrder.
func (c *addressCache) refresh(ctx context.Context) (Addresses, string, error) {
	var last error
	for _, addr := range c.refreshOrder() {
		a, err := c.fetch(ctx, addr)
		if err == nil && len(a.Addresses) > 0 {
			c.replace(a)
			return a, addr, nil
		}
		if err == nil {
			err = fmt.Errorf("%s returned no addresses", addr)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return Addresses{}, "", code.Wrap(code.DaemonUnreachable, last, "no daemon gave an address")
}

// refreshOrder returns the cached addresses and those of the options in random
// order, with failed ones last.
func (c *addressCache) refreshOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var good, rest []string
	seen := make(map[string]bool)
	var all []string
	for _, a := range c.known {
		all = append(all, a.Addr)
	}
	for _, a := range append(all, c.seeds...) {
		switch {
		case seen[a]:
		case c.failed[a]:
			rest = append(rest, a)
		default:
			good = append(good, a)
		}
		seen[a] = true
	}
	c.rng.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	return append(good, rest...)
}

func (c *addressCache) replace(a Addresses) {
	ttl := time.Duration(a.TTLMs) * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = a.Addresses
	clear(c.failed)
	c.expires = time.Now().Add(min(max(ttl, minTTL), maxTTL))
}

// configuredAddresses returns the daemons named by the options.
func (c *Client) configuredAddresses() Addresses {
	a := Addresses{TTLMs: maxTTL.Milliseconds()}
	for _, d := range c.opts.Daemons {
		a.Addresses = append(a.Addresses, Address{Addr: d})
	}
	return a
}
