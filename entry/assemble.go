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
	"zinniamast/plain"
	"zinniamast/platform"
	"zinniamast/quarantine"
	"zinniamast/registry"
	"zinniamast/retry"
	"zinniamast/roster"
	"zinniamast/routing"
	"zinniamast/scaling"
	"zinniamast/usage"
)

// dutyLease is the one lease under which a node does all of the platform's duties.
const dutyLease = "duties"

// minDutyTerm is the shortest term of the duties' lease. Half a second above
// the platform's own bound, a dead holder is followed within five seconds; a
// load that jumps meanwhile meets the replicas that are there.
const minDutyTerm = 3500 * time.Millisecond

// assemble wires the controllers.
func (e *Entry) assemble() error {
	e.followStore()
	e.divideAllowances()
	if err := e.openPeers(); err != nil {
		return err
	}
	e.demand = demand.New(e.config.Settings.FailureDomain)
	if err := e.shareReports(); err != nil {
		return err
	}
	e.routeRequests()
	if err := e.takeDuties(); err != nil {
		return err
	}
	e.serveCallers()
	return nil
}

// followStore builds what knows the configuration and the replicas.
func (e *Entry) followStore() {
	s := e.config.Settings
	store := platform.NewStore(s.StoreAddress)
	store.OnClock(e.clock.ObserveStoreTime)
	store.OnCall(newStoreMetrics(e.registry).called)
	e.table = platform.NewTable(store)
	e.follower = registry.NewFollower(registry.FollowerConfig{
		Source: registry.NewRelayed(registry.RelayedConfig{
			Store:  store,
			Reader: e.storeReader,
		}),
		Routes:    e.routes,
		Upstreams: e.board.Upstreams,
		Build:     newReplica,
		Logger:    e.config.Logger,
	})
	e.roster = roster.New(roster.Config{
		Table:         e.table,
		ID:            s.Instance,
		FailureDomain: s.FailureDomain,
		Address:       s.Peer,
		Offset:        e.clock.LocalOffset,
		OnOffsets:     e.clock.SetOffset,
		Logger:        e.config.Logger,
	})
}

// newReplica returns the client of a replica.
func newReplica(id, address string) zinniamast.Replica {
	return plain.New(plain.Config{
		Upstream:    id,
		Address:     "http://" + address,
		DialTimeout: replicaDialTimeout,
		IdleTimeout: replicaIdleTimeout,
	})
}

// takeDuties builds what acts for the fleet while this node holds the lease,
// and what each node counts for it.
func (e *Entry) takeDuties() error {
	s := e.config.Settings
	e.usage = usage.NewCounter(usage.CounterConfig{
		Table:  e.table,
		Clock:  e.clock,
		Node:   s.Instance,
		Window: s.Bounds.UsageWindow,
		Writer: e.usageWriter,
		Logger: e.config.Logger,
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
		Logger:         e.config.Logger,
	})
	return e.peers.RegisterPeer(usageName, &UsageTaker{counter: e.usage})
}

// homeCost lets a prefix's home be somewhat dearer than the cheapest replica.
// Others fetch the prefix from the home, so that little is saved by waiting for it.
const homeCost = 1.3

// homeHolds is what a prefix's home is believed to hold of it where engines do
// not tell: other nodes have sent most of it there.
const homeHolds = 0.7

// silentAfter is how long a replica may tell no load while others of its failure
// domain do: each is asked three times a second.
const silentAfter = time.Second

// routeRequests builds the policy that the command line names.
func (e *Entry) routeRequests() {
	s := e.config.Settings
	if e.config.Policy == PolicyNearest {
		e.router = nearest.New(nearest.Config{
			Upstreams:     e.board.Upstreams,
			FailureDomain: s.FailureDomain,
		})
		return
	}
	predicted := routing.New(routing.Config{
		Board:             e.board,
		Node:              s.Instance,
		FailureDomain:     s.FailureDomain,
		Gossip:            e.members,
		HomeCostRatio:     homeCost,
		HomeCachedShare:   homeHolds,
		FetchTimePerToken: e.fetchTime,
		SilentAfter:       silentAfter,
		ServesCalls:       e.isPlain,
		Logger:            e.config.Logger,
		Registerer:        e.registry,
	})
	e.router = predicted
	e.runRouter = predicted.Run
	e.reported = predicted.RecordReport
}

// fetchTime is how long a service's replicas take to fetch a token from another.
func (e *Entry) fetchTime(service string) time.Duration {
	current := e.routes.Current()
	if current == nil || current.Services[service].Engine == nil {
		return 0
	}
	return current.Services[service].Engine.FetchTime
}

// isPlain says whether a service runs no model.
func (e *Entry) isPlain(service string) bool {
	current := e.routes.Current()
	return current != nil && current.Services[service].Engine == nil
}

// dutyRank is how many nodes are to follow a dead holder before this one.
func (e *Entry) dutyRank() int {
	own := xxh3.HashString(dutyLease + e.config.Settings.Instance)
	rank := 0
	for _, instance := range e.roster.Instances() {
		if xxh3.HashString(dutyLease+instance.ID) > own {
			rank++
		}
	}
	return rank
}

// serveCallers builds the listeners' handlers.
func (e *Entry) serveCallers() {
	s := e.config.Settings
	handler := forward.New(forward.Config{
		Routes:        e.routes,
		Upstreams:     e.board.Upstreams,
		FailureDomain: s.FailureDomain,
		Router:        e.router,
		Protocol:      platform.Headers{},
		RetryBudget: retry.NewWindow(retry.WindowConfig{
			Ratio:  s.Bounds.RetryRatio,
			Slack:  s.Bounds.RetrySlack,
			Window: s.Bounds.RetryWindow,
			Nodes:  e.nodes,
		}),
		Allowance: e.allowance,
		Quarantine: quarantine.New(quarantine.Config{
			FailureDomain: e.failureDomain,
			Gossip:        e.members,
			Logger:        e.config.Logger,
			Registerer:    e.registry,
		}),
		Meter:      e.usage,
		Demand:     e.demand,
		Closing:    e.closing.Load,
		Stopping:   e.stopping.Load,
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
	serving, giveUp := context.WithCancelCause(context.Background())
	e.giveUp = giveUp
	e.callers = &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return serving },
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.config.Logger.Handler(), slog.LevelDebug),
	}
	e.ready = &http.Server{
		Handler:           e.readiness(),
		ReadHeaderTimeout: headerTimeout,
	}
}

// failureDomain returns where a replica runs, or "" if it is not known: the
// quarantine tells a domain that goes as a whole from a request that crashes replicas.
func (e *Entry) failureDomain(replica string) string {
	if u := e.board.Upstreams.Get(replica); u != nil {
		return u.Instance.FailureDomain
	}
	return ""
}

// nodes is how many entry instances there are, cut off ones included.
func (e *Entry) nodes() int { return max(1, len(e.roster.Instances())) }

// duties are what this node does for the fleet while it holds the lease.
func (e *Entry) duties() []func(context.Context) {
	return []func(context.Context){
		e.reporter.Run,
		e.scaling.Run,
	}
}

// controllers are what runs beside the request path until the node has stopped.
func (e *Entry) controllers() []func(context.Context) {
	return []func(context.Context){
		e.follower.Run,
		e.enterRoster,
		e.borrow,
		e.members.Run,
		e.reports.Run,
		e.allowance.Run,
		e.usage.Run,
		e.reload,
		e.runRouter,
	}
}

// errPeers wraps what went wrong between nodes.
func errPeers(err error) error { return fmt.Errorf("peers: %w", err) }
