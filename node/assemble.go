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
	// kvBytesPerSecond is the assumed throughput of a replica's link for KV caches.
	kvBytesPerSecond = 1 << 30
	// priceInterval is how often prices are read.
	priceInterval = time.Minute
)

// assemble builds the controllers and the handlers for model and plain services.
func (n *Node) assemble() error {
	n.openTable()
	n.list = discovery.NewPacedList(n.config.Platform.List)
	// The steps run in order, since the later ones register with the peer listener
	// that the first one opens.
	for _, step := range []func() error{n.openPeers, n.registerMembership, n.registerRollout} {
		if err := step(); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	n.buildRouting()
	n.buildDiscovery()
	n.buildQuarantine()
	n.buildCapacity()
	budget := retry.New(retry.Config{
		Logger:     n.config.Logger,
		Registerer: n.registry,
	})
	n.buildRunner(budget)
	if err := errors.Join(n.registerHandoff(), n.registerServices(budget), n.registerOperator()); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	n.buildServer()
	return nil
}

// buildRouting builds the router and the limiter.
func (n *Node) buildRouting() {
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

// buildDiscovery builds the discovery of upstreams and the controller of reclaim notices.
func (n *Node) buildDiscovery() {
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
		OnInstanceReclaim: n.onReclaim,
		Logger:            n.config.Logger,
	})
}

// buildRunner builds the runner of accepted model requests.
func (n *Node) buildRunner(budget *retry.Policy) {
	n.runner = attempt.New(attempt.Config{
		Board:            n.board,
		Router:           n.router,
		Retry:            budget,
		Quarantine:       n.quarantine,
		Parts:            n.parts,
		Logger:           n.config.Logger,
		Metrics:          attempt.NewMetrics(n.registry),
		FailureDomain:    n.config.Settings.FailureDomain,
		OnTokensProduced: n.meter.Add,
		KVBytesPerSecond: kvBytesPerSecond,
	})
}

// buildServer builds the server for callers.
func (n *Node) buildServer() {
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
		Context:        n.runContext,
		Logger:         n.config.Logger,
		Metrics:        caller.NewMetrics(n.registry),
	})
	n.server = caller.HTTPServer(n.newMux(n.countCallers(callers)))
}

// startControllers starts the background loops.
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
		n.controllers.Go(func() { run(n.runContext) })
	}
}

// onReclaim requests the node's stop once its own reclaim is announced.
func (n *Node) onReclaim(at time.Time) {
	select {
	case n.reclaimed <- at:
	default:
	}
}

// markLeaving marks an upstream that is to be returned as leaving; discovery then
// announces that to every node.
func (n *Node) markLeaving(instance string, at time.Time) {
	n.board.Upstreams.MarkLeaving(instance, at)
}

// readPrices passes the prices of instances to the router. The last known prices
// remain in use while the platform is unavailable.
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
