// Package routes holds the configuration of a deployment whose requests are routed
// by host and path: its routes, services, organisations and limits.
package routes

import (
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind determines whether a request may be repeated.
type Kind string

// The kinds of request.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered by a stream of events and run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Config is one accepted version of the configuration.
type Config struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller waits for the answer; zero means no bound.
	Timeout time.Duration
	// Target is the latency up to which an answer, or the first event of a stream,
	// is on time.
	Target time.Duration
	// PauseTarget is the pause between two events up to which a stream is on time.
	PauseTarget time.Duration
	// Priority ranks requests; 0 is the highest priority.
	Priority int
	// Split divides requests between services by weight.
	Split []Share
	// MaxAttempts is the number of replicas to which one request may be sent; at
	// least 1.
	MaxAttempts int
	// Anonymous routes require no API key.
	Anonymous bool
	// Resumable streams may continue on another replica after the last event.
	Resumable bool
	// Prompted requests carry a prompt whose parts replicas cache.
	Prompted bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a service whose requests are sent to replicas.
type Service struct {
	Name string
	// MaxConns is the number of connections that a replica accepts from all nodes
	// together.
	MaxConns int
	// Engine is set for model services.
	Engine *Engine
	// Scaling is set for services whose replicas can be ordered from the platform.
	Scaling *Scaling
}

// Engine describes the replicas of a model service.
type Engine struct {
	// Slots is the number of requests that a replica runs at once.
	Slots int
	// KVTokens is the number of tokens that a replica's KV cache holds.
	KVTokens int
	// FetchTime is the time in which a replica fetches one token from the KV cache
	// of another; zero if it is not known.
	FetchTime time.Duration
}

// Scaling bounds and prices the replicas that may be ordered, per failure domain.
type Scaling struct {
	Min int
	Max int
	// BootTime is the time until a new replica serves requests.
	BootTime time.Duration
	// SpotPrice is the price of a reclaimable replica as a fraction of the price of
	// an on-demand one; zero means that there are no reclaimable replicas.
	SpotPrice float64
	// Prices are the prices of one replica for a second, by failure domain.
	Prices map[string]float64
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a caller that is identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
	// ByTokens means that Rate and Burst count tokens instead of requests.
	ByTokens bool
	// UncountedTokens is the number of tokens counted for a request that does not
	// state its tokens.
	UncountedTokens int
	// Rate per second and Burst limit the organisation over all nodes; a zero Rate
	// means no limit.
	Rate  float64
	Burst float64
}

// Index builds the lookup tables; it is called once, before the first use.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	c.byKey = map[string]*Organisation{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].Prefix) > len(list[b].Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.byKey[key] = &c.Organisations[i]
		}
	}
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that holds an API key, or nil.
func (c *Config) Organisation(key string) *Organisation { return c.byKey[key] }

// Table holds the configuration in force. Readers do not block.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, or nil before the first.
func (t *Table) Current() *Config { return t.current.Load() }

// Apply puts a newer version in force and reports whether it was newer. An older
// version is refused from any source: a late answer of the store, or a peer that
// was partitioned, must not revert an accepted change.
func (t *Table) Apply(c *Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if current != nil && c.Version <= current.Version {
		return false
	}
	c.Index()
	t.current.Store(c)
	return true
}
