package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/demand"
	"zinniamast/forward"
	"zinniamast/lease"
	"zinniamast/nearest"
	"zinniamast/overload"
	"zinniamast/plain"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/registry"
	"zinniamast/roster"
	"zinniamast/routing"
	"zinniamast/scaling"
	"zinniamast/usage"
)

// dutyLease is the name of the single lease whose holder performs all of the
// platform's duties.
const dutyLease = "duties"

// minDutyTerm is the shortest term of the duties' lease. At half a second above
// the platform's own bound, a dead holder is replaced within five seconds; until
// then no replicas are added if the load jumps.
const minDutyTerm = 3500 * time.Millisecond

// assemble builds the controllers, the router and the servers.
func (e *Entry) assemble() error {
	e.buildEgress()
	e.buildFollower()
	e.buildAllowance()
	if err := e.openPeers(); err != nil {
		return err
	}
	e.demand = demand.New(e.config.Settings.FailureDomain)
	if err := e.buildReports(); err != nil {
		return err
	}
	e.buildRouter()
	if err := e.buildDuties(); err != nil {
		return err
	}
	e.buildThrottle()
	if err := e.buildRetries(); err != nil {
		return err
	}
	if err := e.buildOrigins(); err != nil {
		return err
	}
	e.buildServers()
	return nil
}

// buildFollower builds the follower of the configuration and the replicas, and the roster.
func (e *Entry) buildFollower() {
	s := e.config.Settings
	store := platform.NewStore(s.StoreAddress)
	e.store = store
	store.OnClock(e.clock.ObserveStoreTime)
	store.OnCall(newStoreMetrics(e.registry).observe)
	e.table = platform.NewTable(store)
	e.follower = registry.NewFollower(registry.FollowerConfig{
		Source: registry.NewRelayed(registry.RelayedConfig{
			Store:   store,
			Readers: e.storeReaders,
		}),
		Routes:    e.routes,
		Upstreams: e.board.Upstreams,
		Build:     e.newReplica,
		OnOrder:   func(order zinniamast.RolloutOrder) { e.rollouts.SetOrder(order) },
		Logger:    e.config.Logger,
	})
	e.buildSeeder()
	e.roster = roster.New(roster.Config{
		Table:         e.table,
		ID:            s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       s.Peer,
		IsFirstStart:  s.IsFirstStart,
		Offset:        e.clock.LocalOffset,
		OnOffsets:     e.clock.SetOffset,
		JoinDelay:     rosterInterval + time.Second,
		Logger:        e.config.Logger,
	})
}

// newReplica returns a client for a replica.
func (e *Entry) newReplica(id, address string) zinniamast.Replica {
	return e.egress.Replica(id, plain.New(plain.Config{
		Upstream:    id,
		Address:     "http://" + address,
		DialTimeout: replicaDialTimeout,
		IdleTimeout: replicaIdleTimeout,
		RequestID:   platform.Headers{}.RequestID,
	}))
}

// buildDuties builds the usage counter of this node, and the lease and the
// controllers that act for the fleet while this node holds it.
func (e *Entry) buildDuties() error {
	s := e.config.Settings
	e.usage = usage.NewCounter(usage.CounterConfig{
		Table:   e.table,
		Clock:   e.clock,
		Node:    s.Instance,
		Window:  s.Bounds.UsageWindow,
		Writers: e.usageWriters,
		Logger:  e.config.Logger,
	})
	e.lease = lease.New(lease.Config{
		Table:  e.table,
		Name:   dutyLease,
		Holder: s.Instance,
		Term:   max(minDutyTerm, s.Bounds.LeaseTerm),
		Rank:   e.dutyRank,
		Logger: e.config.Logger,
	})
	duties := platform.NewCloud(s.CloudAddress, s.Instance)
	e.reporter = usage.NewReporter(usage.ReporterConfig{
		Table:  e.table,
		Clock:  e.clock,
		Lease:  e.lease,
		Duties: duties,
		Window: s.Bounds.UsageWindow,
		Due:    s.Bounds.UsageDue,
		Logger: e.config.Logger,
	})
	e.scaling = scaling.New(scaling.Config{
		Routes:         e.routes,
		Upstreams:      e.board.Upstreams,
		Demand:         e.demand,
		Lease:          e.lease,
		Duties:         duties,
		FailureDomains: s.FailureDomains,
		Rollouts:       e.rollouts,
		Registerer:     e.registry,
		Logger:         e.config.Logger,
	})
	e.buildRolloutLeader(e.store)
	return e.peerServer.RegisterPeer(usageName, &UsageReceiver{counter: e.usage})
}

// homeCostRatio is the cost of a prefix's home replica, relative to the cheapest
// replica, up to which the home is preferred. Other replicas can fetch the prefix
// from the home, so waiting for the home saves little.
const homeCostRatio = 1.3

// homeCachedShare is the share of a prefix that its home replica is assumed to have
// cached if engines do not report it: other nodes have sent most of it there.
const homeCachedShare = 0.7

// silentAfter is how long a replica may be without a load report while others of
// its failure domain report. Each replica is polled three times a second.
const silentAfter = time.Second

// buildRouter builds the routing policy that the command line names.
func (e *Entry) buildRouter() {
	s := e.config.Settings
	if e.config.Policy == PolicyNearest {
		e.router = nearest.New(nearest.Config{
			Upstreams:     e.board.Upstreams,
			FailureDomain: s.FailureDomain,
		})
		return
	}
	router := routing.New(routing.Config{
		Board:             e.board,
		Node:              s.Instance,
		FailureDomain:     s.FailureDomain,
		Gossip:            e.members,
		HomeCostRatio:     homeCostRatio,
		HomeCachedShare:   homeCachedShare,
		FetchTimePerToken: e.fetchTimePerToken,
		SilentAfter:       silentAfter,
		ServesCalls:       e.isPlain,
		Logger:            e.config.Logger,
		Registerer:        e.registry,
	})
	e.router = router
	e.runRouter = router.Run
	e.onReport = router.RecordReport
}

// fetchTimePerToken returns how long a replica of a service takes to fetch the KV
// cache of one token from another replica.
func (e *Entry) fetchTimePerToken(service string) time.Duration {
	current := e.routes.Current()
	if current == nil || current.Services[service].Engine == nil {
		return 0
	}
	return current.Services[service].Engine.FetchTime
}

// isPlain reports whether a service runs no model.
func (e *Entry) isPlain(service string) bool {
	current := e.routes.Current()
	return current != nil && current.Services[service].Engine == nil
}

// dutyRank returns the number of nodes that try to replace a dead lease holder
// before this one.
func (e *Entry) dutyRank() int {
	ownHash := xxh3.HashString(dutyLease + e.config.Settings.Instance)
	rank := 0
	for _, instance := range e.roster.Instances() {
		if xxh3.HashString(dutyLease+instance.ID) > ownHash {
			rank++
		}
	}
	return rank
}

const (
	// ownMemory is the part of an instance's memory that the process takes without requests.
	// bodyMemoryFraction and eventMemoryFraction are the fractions of the rest that the bodies of
	// requests and unfinished events of streams may take. What remains is for garbage and for bytes
	// that are received and not read yet.
	ownMemory           = 64 << 20
	bodyMemoryFraction  = 0.7
	eventMemoryFraction = 0.1
)

// maxBodies returns how many bytes of bodies an instance may keep; zero if its memory is not limited.
func maxBodies(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(minBodies, int64(bodyMemoryFraction*float64(memory-ownMemory)))
}

// maxEvents returns how many bytes of unfinished events an instance may keep; zero if its memory is not
// limited.
func maxEvents(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(minEvents, int64(eventMemoryFraction*float64(memory-ownMemory)))
}

// minBodies lets the smallest instances take a request with the largest body that is usual.
const minBodies = 16 << 20

// minEvents lets the smallest instances take a few of the largest events.
const minEvents = 4 << 20

// buildServers builds the servers for callers and for readiness checks.
func (e *Entry) buildServers() {
	s := e.config.Settings
	e.quarantine = quarantine.New(quarantine.Config{
		FailureDomain: e.failureDomain,
		Started:       e.replicaStarted,
		Gossip:        e.members,
		Table:         e.table,
		Logger:        e.config.Logger,
		Registerer:    e.registry,
	})
	e.parts = quarantine.NewParts(quarantine.PartsConfig{
		FailureDomain: e.failureDomain,
		Gossip:        e.members,
		Table:         e.table,
		Logger:        e.config.Logger,
		Registerer:    e.registry,
	})
	e.forward = forward.New(forward.Config{
		Routes:        e.routes,
		Upstreams:     e.board.Upstreams,
		FailureDomain: s.FailureDomain,
		Router:        e.router,
		Protocol:      platform.Headers{},
		RetryBudget:   e.retries,
		Hedges:        e.retries,
		Allowance:     e.allowance,
		Throttle:      e.throttle,
		Detours:       e.egress,
		Quarantine:    e.quarantine,
		Parts:         e.parts,
		Origins:       e.origins,
		Rollouts:      e.rollouts,
		Queue:         e.queue,
		Meter:         e.usage,
		Demand:        e.demand,
		MaxBodies:     maxBodies(s.MemoryBytes),
		MaxEvents:     maxEvents(s.MemoryBytes),
		Closing:       e.closing.Load,
		Stopping:      e.stopping.Load,
		StopsAt:       e.abortTime,
		Logger:        e.config.Logger,
		Registerer:    e.registry,
	})
	serving, cancelRequests := context.WithCancelCause(context.Background())
	e.cancelRequests = cancelRequests
	e.callerServer = &http.Server{
		Handler:           e.forward,
		BaseContext:       func(net.Listener) context.Context { return serving },
		ConnContext:       forward.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.config.Logger.Handler(), slog.LevelDebug),
	}
	e.gate = overload.NewGate(overload.Config{
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
	e.relayServer = &http.Server{
		Handler:           e.egress,
		BaseContext:       func(net.Listener) context.Context { return serving },
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.config.Logger.Handler(), slog.LevelDebug),
	}
	e.readyServer = &http.Server{
		Handler:           e.readiness(),
		ReadHeaderTimeout: headerTimeout,
	}
}

// failureDomain returns the failure domain of a replica, or "" if it is not known.
// The quarantine needs it to distinguish the loss of a whole domain from a request
// that crashes replicas.
func (e *Entry) failureDomain(replica string) string {
	if u := e.board.Upstreams.Get(replica); u != nil {
		return u.Instance.FailureDomain
	}
	return ""
}

// replicaStarted returns when a replica was last started, or the zero time if it is not known.
func (e *Entry) replicaStarted(replica string) time.Time {
	if u := e.board.Upstreams.Get(replica); u != nil {
		return u.Instance.Started
	}
	return time.Time{}
}

// duties returns the controllers that act for the fleet while this node holds
// the lease.
func (e *Entry) duties() []func(context.Context) {
	return []func(context.Context){
		e.reporter.Run,
		e.scaling.Run,
		e.versions.Run,
		e.rolloutLeader.Run,
	}
}

// controllers returns the background loops that run until the node has stopped.
func (e *Entry) controllers() []func(context.Context) {
	return []func(context.Context){
		e.follower.Run,
		e.maintainRoster,
		e.seeder.Run,
		e.members.Run,
		e.reports.Run,
		e.allowance.Run,
		e.usage.Run,
		e.quarantine.Run,
		e.parts.Run,
		e.origins.Run,
		e.versions.ReadUntilDone,
		e.fetchRollouts,
		e.reload,
		e.runRouter,
	}
}

// wrapPeerError wraps an error of the peer listener or of a peer pool.
func wrapPeerError(err error) error { return fmt.Errorf("peers: %w", err) }
