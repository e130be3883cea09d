// Package entry assembles an entry instance on the users' platform: its tables,
// the followers of the platform's store, the listeners and the graceful stop.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/canary"
	"zinniamast/clock"
	"zinniamast/demand"
	"zinniamast/egress"
	"zinniamast/forward"
	"zinniamast/lease"
	"zinniamast/limits"
	"zinniamast/membership"
	"zinniamast/origin"
	"zinniamast/overload"
	"zinniamast/peer"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/queue"
	"zinniamast/registry"
	"zinniamast/reports"
	"zinniamast/retry"
	"zinniamast/roster"
	"zinniamast/routes"
	"zinniamast/scaling"
	"zinniamast/throttle"
	"zinniamast/usage"
)

// Config holds the settings and dependencies of an entry instance.
type Config struct {
	Settings *platform.Settings
	// SettingsPath is the settings file, which is reloaded on each signal of Hangups.
	SettingsPath string
	Hangups      <-chan os.Signal
	// MetricsPort is an additional port for metrics; if it is zero, only the readiness
	// listener serves them.
	MetricsPort int
	// Clock is the corrected clock that the log shares; if it is nil, New creates one.
	Clock *clock.Clock
	// Policy names how replicas are chosen; PolicyPredicted if empty.
	Policy string
	Logger *slog.Logger
}

// The policies that choose replicas.
const (
	// PolicyPredicted is package routing, which chooses by predicted completion time
	// and cached prefixes.
	PolicyPredicted = "predicted"
	// PolicyNearest is package nearest, which chooses the replica with the fewest
	// in-flight requests, in the node's own failure domain first.
	PolicyNearest = "nearest"
)

const (
	// headerTimeout and idleTimeout bound the connections of callers. The
	// configuration has its own bounds, 3 s and 15 s, which may change while the
	// node runs, but net/http cannot change them while it serves. Callers reuse a connection for up to four fifths of
	// the configured idle time, and a request sent on a connection that is closed
	// earlier is lost. These bounds are therefore well above any configured ones, at
	// the price of some idle connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers, also above the configured 16 KB.
	maxHeaderBytes = 64 << 10
	// replicaDialTimeout bounds connecting to a replica, which takes some four
	// milliseconds if it is alive. TCP retransmits a lost first packet after a
	// second, so it is quicker to try another replica.
	replicaDialTimeout = 300 * time.Millisecond
	// replicaIdleTimeout is how long an idle connection to a replica is kept.
	replicaIdleTimeout = 4 * time.Second
	// stopMargin is the part of the stop timeout that remains when running requests
	// are aborted, for answers to their callers and for the last writes; exitMargin
	// is the part that remains when the node stops waiting for those writes.
	stopMargin = 500 * time.Millisecond
	exitMargin = 200 * time.Millisecond
	// abortTimeout bounds answering the callers of aborted requests.
	abortTimeout = 100 * time.Millisecond
)

// Entry is one entry instance.
type Entry struct {
	config    Config
	created   time.Time
	routes    *routes.Table
	board     *blackboard.Board
	router    zinniamast.Router
	runRouter func(context.Context)
	// onReport passes a replica's load report to the policy; nil if the policy uses none.
	onReport func(replica string, report zinniamast.LoadReport)
	store    *platform.Store
	table    zinniamast.Table
	clock    *clock.Clock
	follower *registry.Follower
	seeder   *registry.Seeder
	// configFetches holds one item for each fetch of a configuration in progress.
	configFetches chan struct{}
	roster        *roster.Roster
	peerServer    *peer.Server
	peerPool      *peer.Pool
	// longPollPool carries long polls, separate from heartbeats and short calls.
	longPollPool *peer.Pool
	members      *membership.Membership
	demand       *demand.Demand
	fleetPool    *limits.Pool
	domainPool   *limits.Pool
	allowance    *limits.Allowance
	queue        *queue.Queue
	throttle     *throttle.Throttle
	owners       *throttle.Owners
	retries      *retry.Window
	rollouts     *canary.Canary
	// rolloutLeader leads the rollouts while this node holds the lease.
	rolloutLeader *canary.Leader
	versions      *origin.Versions
	origins       *origin.Directory
	quarantine    *quarantine.Quarantine
	parts         *quarantine.Parts
	reports       *reports.Sharer
	usage         *usage.Counter
	lease         *lease.Lease
	reporter      *usage.Reporter
	scaling       *scaling.Controller
	registry      *prometheus.Registry
	egress        *egress.Egress
	forward       *forward.Handler
	callerServer  *http.Server
	// gate decides which new connections of callers are taken.
	gate *overload.Gate
	// relayServer serves the requests that other instances relay through this one.
	relayServer *http.Server
	// cancelRequests cancels the requests that are still running.
	cancelRequests context.CancelCauseFunc
	readyServer    *http.Server
	listeners      []net.Listener
	stopping       atomic.Bool
	// stopsAt is when a stopping node aborts the requests that still run.
	stopsAt atomic.Pointer[time.Time]
	// closing is set once the node refuses new requests.
	closing atomic.Bool
}

// New builds an entry instance and opens its listeners.
func New(config Config) (*Entry, error) {
	if config.Clock == nil {
		config.Clock = &clock.Clock{}
	}
	e := &Entry{
		config:    config,
		created:   time.Now(),
		routes:    &routes.Table{},
		board:     blackboard.New(),
		runRouter: func(context.Context) {},
		clock:     config.Clock,
		registry:  prometheus.NewRegistry(),

		configFetches: make(chan struct{}, maxConcurrentFetches),
	}
	addresses := []string{config.Settings.Frontend, config.Settings.Ready}
	if config.MetricsPort > 0 {
		addresses = append(addresses, net.JoinHostPort(config.Settings.Address, strconv.Itoa(config.MetricsPort)))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		e.listeners = append(e.listeners, listener)
	}
	if err := e.assemble(); err != nil {
		return nil, err
	}
	return e, nil
}

// readiness serves the load balancer's readiness checks, and the metrics.
func (e *Entry) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if e.stopping.Load() || !e.follower.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// Run serves until ctx ends and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	var controllers sync.WaitGroup
	for _, run := range e.controllers() {
		controllers.Go(func() { run(runCtx) })
	}
	dutiesCtx, endDuties := context.WithCancel(runCtx)
	controllers.Go(func() { e.runDuties(dutiesCtx) })
	failed := make(chan error, len(e.listeners)+2)
	go func() { failed <- e.peerServer.Serve() }()
	go func() { failed <- e.relayServer.Serve(e.peerServer.RelayListener()) }()
	go func() { failed <- e.callerServer.Serve(overload.NewListener(e.listeners[0], e.gate)) }()
	for _, listener := range e.listeners[1:] {
		go func() { failed <- e.readyServer.Serve(listener) }()
	}
	e.config.Logger.Info("entry instance started", "instance", e.config.Settings.Instance,
		"failure_domain", e.config.Settings.FailureDomain, "listen", e.config.Settings.Frontend)
	select {
	case err := <-failed:
		endDuties()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	start := time.Now()
	endDuties()
	e.stop()
	cancelRun()
	e.waitForControllers(&controllers, e.config.Settings.StopTimeout-exitMargin-time.Since(start))
	return nil
}

// runDuties competes for the lease until ctx ends, and performs the duties while
// holding it. The lease is released only after all duties have ended: if it were
// released while a call of a duty is in flight, the next holder could act at once
// and the platform would receive the former holder's call after that.
func (e *Entry) runDuties(ctx context.Context) {
	leaseCtx, release := context.WithCancel(context.WithoutCancel(ctx))
	var lease, duties sync.WaitGroup
	lease.Go(func() { e.lease.Run(leaseCtx) })
	for _, run := range e.duties() {
		duties.Go(func() { run(ctx) })
	}
	duties.Wait()
	release()
	lease.Wait()
}

// waitForControllers waits for the controllers, but no longer than the rest of the
// stop timeout. If the store is unavailable during the stop, the last writes wait for
// it; without the bound they would exceed the stop timeout and the process would be
// killed.
func (e *Entry) waitForControllers(controllers *sync.WaitGroup, timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		controllers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
		e.config.Logger.Warn("stop timeout reached before the last writes to the store completed", "instance", e.config.Settings.Instance)
	}
}

// reload reads the settings file again on each hangup signal and logs whether it
// is valid. Addresses and sizes of a running process do not change.
func (e *Entry) reload(ctx context.Context) {
	for {
		select {
		case <-e.config.Hangups:
		case <-ctx.Done():
			return
		}
		if _, err := platform.LoadSettings(e.config.SettingsPath); err != nil {
			e.config.Logger.Warn("failed to reload settings; keeping the current ones", "cause", err)
			continue
		}
		e.config.Logger.Info("settings reloaded", "instance", e.config.Settings.Instance)
	}
}

// stop lets running requests finish. The node first reports itself as not ready to
// the load balancer and closes each connection with its next answer, so that no
// request is sent on a closed connection. A request that could outlast the stop would be
// cut off in the middle of its answer at the stop timeout and is refused at once. After
// stopLinger, all new requests are and idle connections are closed.
func (e *Entry) stop() {
	start := time.Now()
	stopsAt := start.Add(e.config.Settings.StopTimeout - stopMargin)
	e.stopsAt.Store(&stopsAt)
	e.stopping.Store(true)
	e.config.Logger.Info("entry instance stopping", "instance", e.config.Settings.Instance)
	ctx, cancel := context.WithDeadline(context.Background(), stopsAt)
	defer cancel()
	select {
	case <-time.After(stopLinger):
	case <-ctx.Done():
	}
	e.closing.Store(true)
	if err := e.shutDownServers(ctx); err != nil {
		e.config.Logger.Warn("stop timeout reached; aborting running requests", "cause", err)
		e.abortRequests()
	}
	e.handOverRetries(ctx)
	e.members.AnnounceDeparture(ctx)
	if err := e.peerServer.Close(ctx); err != nil {
		e.config.Logger.Warn("failed to end all calls from peers before closing", "cause", err)
	}
	e.peerPool.Close()
	e.longPollPool.Close()
	e.config.Logger.Info("entry instance stopped", "instance", e.config.Settings.Instance, "took", time.Since(start))
}

// abortRequests aborts the requests that outlast the stop. Those whose answer has
// not begun get an error status, since a closed connection does not show whether
// the request ran.
func (e *Entry) abortRequests() {
	e.cancelRequests(forward.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := e.shutDownServers(ctx); err != nil {
		e.config.Logger.Warn("some callers were not notified that their requests were aborted", "cause", err)
	}
}

// shutDownServers waits until the requests of callers and of other instances have ended.
func (e *Entry) shutDownServers(ctx context.Context) error {
	relays := make(chan error, 1)
	go func() { relays <- e.relayServer.Shutdown(ctx) }()
	return errors.Join(e.callerServer.Shutdown(ctx), <-relays)
}

// abortTime returns when a stopping node aborts the requests that still run, and the zero time
// while it is not stopping.
func (e *Entry) abortTime() time.Time {
	if at := e.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// stopLinger is how long a stopping node still accepts requests whose deadline is before
// the end of the stop. The load balancer checks readiness every second and removes a node
// after two failed checks.
const stopLinger = 2500 * time.Millisecond
