package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniamast/attempt"
	"zinniamast/caller"
	"zinniamast/discovery"
	"zinniamast/limits"
	"zinniamast/notice"
	"zinniamast/retry"
	"zinniamast/routing"
)

const (
	// kvBytesASecond is what a replica's link is assumed to carry for KV caches.
	kvBytesASecond = 1 << 30
	// priceInterval is how often prices are read.
	priceInterval = time.Minute
)

// assemble wires the controllers and both callers' sides.
func (n *Node) assemble() error {
	n.openTable()
	n.list = discovery.NewPacedList(n.config.Platform.List)
	// One after the other: where the peer listener cannot open there is nothing
	// to register with.
	for _, step := range []func() error{n.openPeers, n.joinPeers, n.followConfiguration} {
		if err := step(); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	n.routeRequests()
	n.followUpstreams()
	n.holdBackCrashes()
	n.buyInstances()
	budget := retry.New(retry.Config{
		Logger:     n.config.Logger,
		Registerer: n.registry,
	})
	n.runRequests(budget)
	if err := errors.Join(n.exchangeRequests(), n.serveServices(budget), n.answerOperators()); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	n.serveCallers()
	return nil
}

// routeRequests builds what decides where requests go and whether they may begin.
func (n *Node) routeRequests() {
	s := n.config.Settings
	n.router = routing.New(routing.Config{
		Board:         n.board,
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Gossip:        n.members,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	n.limiter = limits.New(limits.Config{
		Board:         n.board,
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Gossip:        n.members,
		Predictor:     n.router,
		MemoryCap:     int64(s.MemoryCap),
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
}

// followUpstreams builds what knows which upstreams there are and which leave.
func (n *Node) followUpstreams() {
	s := n.config.Settings
	n.upstreams = discovery.New(discovery.Config{
		Upstreams:     n.board.Upstreams,
		Members:       n.board.Members,
		FailureDomain: s.FailureDomain,
		List:          n.list,
		Gossip:        n.members,
		Build:         n.clients.build,
		Logger:        n.config.Logger,
	})
	n.notices = notice.New(notice.Config{
		Cloud:             n.config.Platform.Cloud,
		Upstreams:         n.board.Upstreams,
		Members:           n.board.Members,
		Gossip:            n.members,
		Instance:          s.Instance,
		FailureDomain:     s.FailureDomain,
		OnInstanceReclaim: n.reclaim,
		Logger:            n.config.Logger,
	})
}

// runRequests builds what runs accepted model requests to their end.
func (n *Node) runRequests(budget *retry.Policy) {
	n.runner = attempt.New(attempt.Config{
		Board:            n.board,
		Router:           n.router,
		Retry:            budget,
		Quarantine:       n.quarantine,
		Logger:           n.config.Logger,
		Metrics:          attempt.NewMetrics(n.registry),
		FailureDomain:    n.config.Settings.FailureDomain,
		OnTokensProduced: n.meter.Add,
		KVBytesPerSecond: kvBytesASecond,
	})
}

// serveCallers builds the listener's handler.
func (n *Node) serveCallers() {
	callers := caller.New(caller.Config{
		Board:          n.board,
		Runner:         n.runner,
		Limiter:        n.limiter,
		Locator:        n.exchange,
		ReportUnserved: n.meter.Add,
		Services:       n.services,
		Instance:       n.config.Settings.Instance,
		FailureDomain:  n.config.Settings.FailureDomain,
		Stopping:       n.stopping.Load,
		Context:        n.life,
		Logger:         n.config.Logger,
		Metrics:        caller.NewMetrics(n.registry),
	})
	n.server = caller.HTTPServer(n.routes(n.counted(callers)))
}

// startControllers starts what runs beside the request path.
func (n *Node) startControllers() {
	for _, run := range []func(context.Context){
		n.members.Run,
		n.rollout.Run,
		n.upstreams.Run,
		n.notices.Run,
		n.router.Run,
		n.limiter.Run,
		n.meter.Run,
		n.lease.Run,
		n.capacity.Run,
		n.readPrices,
		n.sweep,
	} {
		n.controllers.Go(func() { run(n.life) })
	}
}

// reclaim starts the node's stop once its own reclaim is announced.
func (n *Node) reclaim(at time.Time) {
	select {
	case n.reclaimed <- at:
	default:
	}
}

// upstreamLeaves tells every node that an upstream is being returned.
func (n *Node) upstreamLeaves(instance string, at time.Time) {
	n.board.Upstreams.MarkLeaving(instance, at)
}

// readPrices tells routing what instances cost. Old prices stand while the
// platform is away.
func (n *Node) readPrices(ctx context.Context) {
	ticker := time.NewTicker(priceInterval)
	defer ticker.Stop()
	for {
		offers, err := n.config.Platform.Cloud.Offers(ctx)
		if err == nil {
			n.router.SetPrices(offers)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
