// Package egress sends requests to replicas over this instance's own paths or, while these
// are down, through other instances.
package egress

import (
	"context"
	"log/slog"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
)

// Config configures an Egress.
type Config struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Upstreams are the replicas. Their clients are those that Replica returns.
	Upstreams *blackboard.Upstreams
	// Peers returns the other instances that are alive.
	Peers func() []Peer
	// Client sends requests to the peers' receivers. Each request's URL has the peer's
	// address as its host.
	Client zinniamast.Replica
	// Probe opens a connection to a replica and closes it.
	Probe func(ctx context.Context, upstream *blackboard.Upstream) error
	// Closing reports whether this instance is stopping and relays no new requests; nil
	// means never.
	Closing func() bool
	// MayRelay reports whether a peer's request may be sent to a replica now; nil means always.
	MayRelay func(upstream *blackboard.Upstream) bool
	// OnRelayed receives the head of each replica's answer to a peer's request; nil is allowed.
	OnRelayed func(upstream *blackboard.Upstream, response *http.Response)
	// Holders returns the IDs of the other instances that hold places at a replica; nil means
	// that this instance asks no other one for an unused place.
	Holders func(upstream *blackboard.Upstream) []string
	// TakePlace takes an unused place of this instance at a replica for a peer's request. It
	// returns nil if there is none, and the ID of another replica of the service at which there
	// is one; empty if there is none either. Nil means that there is never one.
	TakePlace func(upstream *blackboard.Upstream) (taken *Place, other string)
	// ReserveBody reserves memory for the body of a relayed request, of this many bytes. It returns
	// false if there is not enough; nil means that there always is.
	ReserveBody func(bytes int64) (release func(), ok bool)
	// RequestID returns the ID of a request, for the log; nil means that none has one.
	RequestID func(header http.Header) string
	// Logger logs paths that go down and requests that are relayed; nil means slog's
	// default.
	Logger *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Peer is another instance.
type Peer struct {
	ID            string
	FailureDomain string
	// Address is host:port of its peer listener.
	Address string
}

// Egress holds the state of this instance's paths to all replicas. It serves the requests
// that other instances relay through this one: it implements http.Handler.
type Egress struct {
	config  Config
	metrics *metrics
	peers   peerChoice
	detours detours

	mu    sync.Mutex
	links map[string]*link
}

// New returns an egress all of whose paths are up.
func New(config Config) *Egress {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	if config.Closing == nil {
		config.Closing = func() bool { return false }
	}
	if config.MayRelay == nil {
		config.MayRelay = func(*blackboard.Upstream) bool { return true }
	}
	if config.OnRelayed == nil {
		config.OnRelayed = func(*blackboard.Upstream, *http.Response) {}
	}
	if config.TakePlace == nil {
		config.TakePlace = func(*blackboard.Upstream) (*Place, string) { return nil, "" }
	}
	if config.ReserveBody == nil {
		config.ReserveBody = func(int64) (func(), bool) { return func() {}, true }
	}
	if config.RequestID == nil {
		config.RequestID = func(http.Header) string { return "" }
	}
	return &Egress{
		config:  config,
		metrics: newMetrics(config.Registerer),
		links:   map[string]*link{},
	}
}

// link returns the link to a service.
func (e *Egress) link(service string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.links[service]
	if l == nil {
		l = newLink(e, service)
		e.links[service] = l
	}
	return l
}
