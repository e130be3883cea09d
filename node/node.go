// Package node assembles one entry instance: its blackboard, its controllers,
// its listeners and its graceful stop.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"zinniamast"
	"zinniamast/attempt"
	"zinniamast/blackboard"
	"zinniamast/capacity"
	"zinniamast/claims"
	"zinniamast/discovery"
	"zinniamast/handoff"
	"zinniamast/lease"
	"zinniamast/limits"
	"zinniamast/membership"
	"zinniamast/notice"
	"zinniamast/peer"
	"zinniamast/quarantine"
	"zinniamast/rollout"
	"zinniamast/routing"
	"zinniamast/services"
	"zinniamast/settings"
	"zinniamast/tablebudget"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	Table   zinniamast.Table
	Objects zinniamast.ObjectStore
	Cloud   zinniamast.Cloud
	List    zinniamast.InstanceList
	Weights zinniamast.WeightStore
}

// Config holds the settings and dependencies of a node.
type Config struct {
	// Settings are the settings of this process.
	Settings *settings.Settings
	// Platform holds the platform's clients.
	Platform Platform
	// Logger receives one record per event.
	Logger *slog.Logger
}

const (
	sweepInterval = time.Second
	// endedMemoryDivisor divides the memory cap; the quotient is what ended requests
	// may use.
	endedMemoryDivisor = 4
	// endedRetention is how long callers can still attach to an ended request.
	endedRetention = time.Minute
)

// Node is one entry instance.
type Node struct {
	config      Config
	board       *blackboard.Board
	registry    *prometheus.Registry
	runner      *attempt.Runner
	server      *http.Server
	listener    net.Listener
	clients     *upstreamClients
	peers       *peer.Server
	pool        *peer.Pool
	requestPool *peer.Pool
	exchange    *handoff.Exchange
	members     *membership.Membership
	router      *routing.Router
	limiter     *limits.Limiter
	list        *discovery.PacedList
	upstreams   *discovery.Controller
	notices     *notice.Controller
	table       *tablebudget.Client
	rollout     *rollout.Rollout
	quarantine  *quarantine.Quarantine
	parts       *quarantine.Parts
	claims      *claims.Claims
	services    *services.Handler
	meter       *capacity.Meter
	lease       *lease.Lease
	capacity    *capacity.Controller
	reports     *capacity.Reports
	controllers sync.WaitGroup
	// reclaimed receives the time at which this instance is reclaimed, once announced.
	reclaimed chan time.Time
	// advertised is the host:port at which peers reach this node.
	advertised string
	stopping   atomic.Bool
	// openCallers counts the callers that are being answered.
	openCallers atomic.Int64
	// runContext is cancelled when the node must stop all its work.
	runContext context.Context
	cancelRun  context.CancelFunc
}

// New builds a node and opens its listeners.
func New(config Config) (*Node, error) {
	listener, err := net.Listen("tcp", config.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	runContext, cancelRun := context.WithCancel(context.Background())
	n := &Node{
		config:     config,
		board:      blackboard.New(),
		registry:   prometheus.NewRegistry(),
		listener:   listener,
		clients:    newUpstreamClients(),
		runContext: runContext,
		reclaimed:  make(chan time.Time, 1),
		cancelRun:  cancelRun,
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if err := n.assemble(); err != nil {
		listener.Close()
		return nil, err
	}
	return n, nil
}

// newMux adds the node's own endpoints to the handler for callers.
func (n *Node) newMux(callers http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", n.handleReady)
	mux.Handle("/", callers)
	return mux
}

// handleReady answers the load balancer's readiness checks.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if n.board.Configuration.Current() == nil {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Board returns the node's tables.
func (n *Node) Board() *blackboard.Board { return n.board }

// Address returns host:port of the callers' listener.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Run serves until ctx ends and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.cancelRun()
	n.startControllers()
	failed := make(chan error, 2)
	go func() { failed <- n.server.Serve(n.listener) }()
	go func() { failed <- n.peers.Serve() }()
	n.config.Logger.Info("node started",
		"instance", n.config.Settings.Instance,
		"failure_domain", n.config.Settings.FailureDomain,
		"listen", n.Address())
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case at := <-n.reclaimed:
		return n.stop(reclaimStop(at))
	case <-ctx.Done():
		return n.stop(n.plannedStop())
	}
}

// sweep periodically removes requests that ended more than endedRetention ago, and
// the oldest ended ones beyond their share of the memory cap.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.board.Requests.Sweep(time.Now().Add(-endedRetention), int(n.config.Settings.MemoryCap)/endedMemoryDivisor)
		case <-ctx.Done():
			return
		}
	}
}
