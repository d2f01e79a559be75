// Package route holds one version of the operators' routing configuration:
// which service takes a request, by host and path, and on what terms. A Config
// is immutable; a request reads one Config from its begin to its end.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often a request may run.
type Kind int

// The kinds.
const (
	Safe   Kind = iota // idempotent: may run again after any failure
	Unsafe             // may run at most once
	Stream             // answered by events; at most once unless resumable
)

// String names the kind for logs.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "stream"}[k] }

// Route is one rule of the configuration.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins the path; begins and ends with a slash
	Kind          Kind
	Resumable     bool              // a stream may go on elsewhere after an event's id
	Timeout       time.Duration     // longest wait for the whole answer
	Objective     time.Duration     // full credit up to here; streams: for the first event
	MaxEventGap   time.Duration     // longest pause between events that is on time
	Priority      int               // 0 is the most urgent
	Attempts      int               // targets that may run one request, 1 or more
	HasPromptInfo bool              // requests state their token counts and prompt parts
	Public        bool              // callers need no key
	Split         []WeightedService // one or more
}

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may run again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks a service by weight; the same seed picks the same one.
func (r *Route) Service(seed uint64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Split[0].Service
	}
	at := int(seed % uint64(total))
	for _, s := range r.Split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Seed hashes a request's id for Service.
func Seed(id string) uint64 { return xxhash.Sum64String(id) }

// Service is what the configuration says of a service.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections that one target takes from all callers
	Engine     *Engine // nil for a plain service
	// Scaling is set where the number of the service's targets may be ordered.
	Scaling *Scaling
}

// Scaling says how many targets of a service may be ordered, and at what price.
type Scaling struct {
	Min, Max int           // in each availability zone, of both kinds together
	BootTime time.Duration // from an order until a new target serves
	// SpotPrice is what a reclaimable target costs as a share of the price of
	// another one; 0: there are none.
	SpotPrice float64
	ZonePrice map[string]float64 // of a second of a target, by availability zone
}

// Engine is what the configuration says of a service's model engines.
type Engine struct {
	Slots              int           // requests that one engine runs at a time
	KVTokens           int           // tokens that its memory holds
	KVTokenBytes       int           // bytes of KV cache of one token
	LinkBytesPerSecond float64       // bytes a second between two engines
	KVHoldTime         time.Duration // how long an engine keeps a KV cache for its reader
	RoleChangeTime     time.Duration // how long a change of role takes an engine away
}

// Limits bound what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // of a kept connection
}

// Config is one version of the configuration. It is read-only.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	keys   *Keys
	byHost map[string][]*Route // longest prefix first
	routes int
}

// New returns a Config over routes. Without keys every route is public.
func New(version int64, routes []*Route, services []*Service, limits Limits, keys *Keys) *Config {
	c := &Config{
		Version:  version,
		keys:     keys,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		routes:   len(routes),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Routes is the number of routes.
func (c *Config) Routes() int { return c.routes }

// Match returns the route of the host with the longest prefix that begins the
// path, or nil. The host may carry a port.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func hostname(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
