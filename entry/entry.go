// Package entry assembles an entry instance on the users' platform: its
// tables, the followers of the platform's store, the listeners and its stop.
package entry

import (
	"context"
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
	"zinniamast/clock"
	"zinniamast/demand"
	"zinniamast/forward"
	"zinniamast/lease"
	"zinniamast/limits"
	"zinniamast/membership"
	"zinniamast/peer"
	"zinniamast/platform"
	"zinniamast/registry"
	"zinniamast/reports"
	"zinniamast/roster"
	"zinniamast/routes"
	"zinniamast/scaling"
	"zinniamast/usage"
)

// Config says what an entry instance is made of.
type Config struct {
	Settings *platform.Settings
	// Path is the settings file, read again on each of Hangups.
	Path    string
	Hangups <-chan os.Signal
	// Metrics is the port of the metrics; zero serves them beside the readiness alone.
	Metrics int
	// Clock tells true time to the log; nil makes one.
	Clock *clock.Clock
	// Policy names how replicas are chosen; PolicyPredicted if empty.
	Policy string
	Logger *slog.Logger
}

// The policies that choose replicas.
const (
	// PolicyPredicted is package routing: predicted completion and kept prefixes.
	PolicyPredicted = "predicted"
	// PolicyNearest is package nearest: the fewest requests, own failure domain first.
	PolicyNearest = "nearest"
)

const (
	// headerTimeout and idleTimeout bound callers. net/http cannot change them
	// while it serves, and the configuration may name other figures: 3 s and 15 s
	// so far.
	//
	// Failure: callers use a connection again up to four fifths of the configured
	// idle time; one that is closed earlier meets their request, which is lost.
	// Bounds well above any configured ones cost some idle connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a caller's headers likewise; 16 KB are configured.
	maxHeaderBytes = 64 << 10
	// replicaDialTimeout bounds a connect; a live replica takes some four
	// milliseconds. A lost first packet is sent again after a second: another
	// replica is the quicker way.
	replicaDialTimeout = 300 * time.Millisecond
	// replicaIdleTimeout is how long a connection to a replica is kept without use.
	replicaIdleTimeout = 4 * time.Second
	// stopMargin is what is left of the time to stop when running requests are
	// given up, for their callers to be told and for the last writes; exitMargin
	// is what is left when those are given up.
	stopMargin = 500 * time.Millisecond
	exitMargin = 200 * time.Millisecond
	// tellTimeout bounds how long callers are told that their requests were given up.
	tellTimeout = 100 * time.Millisecond
)

// Entry is one entry instance.
type Entry struct {
	config    Config
	routes    *routes.Table
	board     *blackboard.Board
	router    zinniamast.Router
	runRouter func(context.Context)
	// reported tells the policy a replica's load; nil if it asks for none.
	reported func(replica string, report zinniamast.LoadReport)
	table    zinniamast.Table
	clock    *clock.Clock
	follower *registry.Follower
	roster   *roster.Roster
	peers    *peer.Server
	pool     *peer.Pool
	// follow carries calls that wait, apart from heartbeats and quick calls.
	follow     *peer.Pool
	members    *membership.Membership
	demand     *demand.Demand
	pools      *limits.Pool
	domainPool *limits.Pool
	allowance  *limits.Allowance
	reports    *reports.Sharer
	usage      *usage.Counter
	lease      *lease.Lease
	reporter   *usage.Reporter
	scaling    *scaling.Controller
	registry   *prometheus.Registry
	callers    *http.Server
	// giveUp ends what is still running for callers.
	giveUp    context.CancelCauseFunc
	ready     *http.Server
	listeners []net.Listener
	stopping  atomic.Bool
	// closing says that the node accepts nothing more.
	closing atomic.Bool
}

// New builds an entry instance and opens its listeners.
func New(config Config) (*Entry, error) {
	if config.Clock == nil {
		config.Clock = &clock.Clock{}
	}
	e := &Entry{
		config:    config,
		routes:    &routes.Table{},
		board:     blackboard.New(),
		runRouter: func(context.Context) {},
		clock:     config.Clock,
		registry:  prometheus.NewRegistry(),
	}
	addresses := []string{config.Settings.Frontend, config.Settings.Ready}
	if config.Metrics > 0 {
		addresses = append(addresses, net.JoinHostPort(config.Settings.Address, strconv.Itoa(config.Metrics)))
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

// readiness answers the balancer.
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
	life, end := context.WithCancel(context.Background())
	defer end()
	var controllers sync.WaitGroup
	for _, run := range e.controllers() {
		controllers.Go(func() { run(life) })
	}
	onDuty, endDuties := context.WithCancel(life)
	controllers.Go(func() { e.holdDuties(onDuty) })
	failed := make(chan error, len(e.listeners)+1)
	go func() { failed <- e.peers.Serve() }()
	go func() { failed <- e.callers.Serve(e.listeners[0]) }()
	for _, listener := range e.listeners[1:] {
		go func() { failed <- e.ready.Serve(listener) }()
	}
	e.config.Logger.Info("started", "instance", e.config.Settings.Instance,
		"failure_domain", e.config.Settings.FailureDomain, "listen", e.config.Settings.Frontend)
	select {
	case err := <-failed:
		endDuties()
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	began := time.Now()
	endDuties()
	e.stop()
	end()
	e.awaitEnd(&controllers, e.config.Settings.StopTimeout-exitMargin-time.Since(began))
	return nil
}

// holdDuties competes for the lease until ctx ends, and acts under it. The lease
// is released when all that acts under it has ended.
//
// Failure: the lease is released while a call of a duty is on its way. The next
// holder acts at once, and the platform sees the call of the former one after it.
func (e *Entry) holdDuties(ctx context.Context) {
	holding, release := context.WithCancel(context.WithoutCancel(ctx))
	var lease, duties sync.WaitGroup
	lease.Go(func() { e.lease.Run(holding) })
	for _, run := range e.duties() {
		duties.Go(func() { run(ctx) })
	}
	duties.Wait()
	release()
	lease.Wait()
}

// awaitEnd waits for the controllers, but not for longer than the rest of the
// time to stop.
//
// Failure: the store is away while the node stops. What is written a last time
// waits for it beyond the time to stop, and the process is killed instead.
func (e *Entry) awaitEnd(controllers *sync.WaitGroup, rest time.Duration) {
	ended := make(chan struct{})
	go func() {
		controllers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(rest):
		e.config.Logger.Warn("stopped before the last writes were answered", "instance", e.config.Settings.Instance)
	}
}

// reload reads the settings again when the platform says that they changed.
// Addresses and sizes of a running process stay; what is new is logged.
func (e *Entry) reload(ctx context.Context) {
	for {
		select {
		case <-e.config.Hangups:
		case <-ctx.Done():
			return
		}
		if _, err := platform.LoadSettings(e.config.Path); err != nil {
			e.config.Logger.Warn("settings kept", "cause", err)
			continue
		}
		e.config.Logger.Info("settings read again", "instance", e.config.Settings.Instance)
	}
}

// stop finishes what runs. The balancer is told first and connections are
// closed with their next answer, so that nobody's request meets a closed one.
//
// Failure: a request that comes on a kept connection long after the stop began
// is cut when the time is up, in the middle of its answer. After the linger a
// new request is therefore refused at once, and idle connections are closed.
func (e *Entry) stop() {
	began := time.Now()
	e.stopping.Store(true)
	e.config.Logger.Info("stopping", "instance", e.config.Settings.Instance)
	ctx, cancel := context.WithTimeout(context.Background(), e.config.Settings.StopTimeout-stopMargin)
	defer cancel()
	select {
	case <-time.After(stopLinger):
	case <-ctx.Done():
	}
	e.closing.Store(true)
	if err := e.callers.Shutdown(ctx); err != nil {
		e.config.Logger.Warn("stopped with requests running", "cause", err)
		e.giveUpRequests()
	}
	e.members.AnnounceDeparture(ctx)
	if err := e.peers.Close(ctx); err != nil {
		e.config.Logger.Warn("peers left with calls running", "cause", err)
	}
	e.pool.Close()
	e.follow.Close()
	e.config.Logger.Info("stopped", "instance", e.config.Settings.Instance, "took", time.Since(began))
}

// giveUpRequests ends the requests that outlast the stop. Those whose answer has
// not begun are told so with a status: a closed connection says nothing of
// whether they ran.
func (e *Entry) giveUpRequests() {
	e.giveUp(forward.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.config.Logger.Warn("stopped with callers untold", "cause", err)
	}
}

// stopLinger is how long a stopping node goes on accepting: the balancer asks
// each second and takes a node out after two answers, and a request that is
// accepted must end within the rest of the time to stop.
const stopLinger = 2500 * time.Millisecond
