// Package route holds one version of the operators' routing configuration. It
// defines which service serves a request, by host and path, and with which
// limits. A Config is immutable, and a request uses one Config throughout.
package route

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind specifies how often a request may run.
type Kind int

// The kinds of request.
const (
	Safe   Kind = iota // idempotent: may be retried after any failure
	Unsafe             // not idempotent: may run at most once
	Stream             // answered by an event stream; at most once unless resumable
)

// String returns the name of the kind for logs.
func (k Kind) String() string { return [...]string{"safe", "unsafe", "stream"}[k] }

// Route is one rule of the configuration.
type Route struct {
	Name          string
	Host          string
	Prefix        string // path prefix; begins and ends with a slash
	Kind          Kind
	Resumable     bool              // a stream can continue at another target after the last event id
	Timeout       time.Duration     // maximum time until the complete answer
	Objective     time.Duration     // full credit for an answer, or a stream's first event, within this time
	MaxEventGap   time.Duration     // longest pause between events that counts as on time
	Priority      int               // 0 is the most urgent
	Attempts      int               // maximum number of targets that may run one request, at least 1
	HasPromptInfo bool              // requests carry their token counts and prompt parts
	Public        bool              // callers need no API key
	Split         []WeightedService // at least one
}

// WeightedService is a service with its weight among a route's services.
type WeightedService struct {
	Service string
	Weight  int
}

// Idempotent reports whether a request may be retried although it may already
// have run.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service selects a service by weight. The same seed gives the same service.
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

// Seed returns the seed for Route.Service from a request's id.
func Seed(id string) uint64 { return xxhash.Sum64String(id) }

// Service is the configuration of a service.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // maximum connections to one target, from all callers
	Engine     *Engine // nil for a plain service
	// Scaling is set if the service's targets are scaled automatically.
	Scaling *Scaling
}

// Scaling holds the bounds and prices for ordering targets of a service.
type Scaling struct {
	Min, Max int           // per availability zone, reclaimable targets included
	BootTime time.Duration // time from an order until the new target serves requests
	// SpotPrice is the price of a reclaimable target as a share of the price
	// of a regular one. 0 means that there are no reclaimable targets.
	SpotPrice float64
	ZonePrice map[string]float64 // price per target and second, by availability zone
}

// Engine is the configuration of a service's model engines.
type Engine struct {
	Slots              int           // requests that one engine runs concurrently
	KVTokens           int           // KV cache capacity of one engine in tokens
	KVTokenBytes       int           // size of one token in the KV cache
	LinkBytesPerSecond float64       // bandwidth between two engines
	KVHoldTime         time.Duration // time for which an engine keeps a KV cache for the engine that reads it
	RoleChangeTime     time.Duration // time for which an engine is unavailable during a role change
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // idle timeout of a persistent connection
}

// Config is one version of the configuration. It is read-only.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	keys   *Keys
	byHost map[string][]*Route // longest prefix first
	routes int
	// resumable holds the longest timeout of each service's resumable routes.
	resumable map[string]time.Duration
}

// New returns a Config with the routes and services. If keys is nil, every
// route is public.
func New(version int64, routes []*Route, services []*Service, limits Limits, keys *Keys) *Config {
	c := &Config{
		Version:  version,
		keys:     keys,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
		routes:   len(routes),

		resumable: make(map[string]time.Duration),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
		for _, s := range r.Split {
			if r.Resumable {
				c.resumable[s.Service] = max(c.resumable[s.Service], r.MaxDuration())
			}
		}
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// defaultTimeout applies to routes without a timeout.
const defaultTimeout = 30 * time.Second

// MaxDuration returns the maximum time until the complete answer.
func (r *Route) MaxDuration() time.Duration {
	if r.Timeout <= 0 {
		return defaultTimeout
	}
	return r.Timeout
}

// StreamTimeout returns the longest timeout of the routes on which streams of a
// service may be taken up, or 0 if there are none.
func (c *Config) StreamTimeout(service string) time.Duration { return c.resumable[service] }

// Routes returns the number of routes.
func (c *Config) Routes() int { return c.routes }

// Match returns the host's route with the longest prefix of path, or nil. The
// host may include a port.
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
