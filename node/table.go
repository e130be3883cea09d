package node

import (
	"context"

	"zinniamast"
	"zinniamast/capacity"
	"zinniamast/lease"
	"zinniamast/operator"
	"zinniamast/rollout"
	"zinniamast/tablebudget"
)

// Roles under which the table budget counts calls.
const (
	roleClaims   = "claims"
	roleRollout  = "rollout"
	roleCapacity = "capacity"
	roleLease    = "lease"
)

// capacityLease is the name of the lease whose holder buys instances and orders engines.
const capacityLease = "capacity"

// openTable wraps the platform's table in the call budget that all parts of the node
// share.
func (n *Node) openTable() {
	p := &n.config.Settings.Platform
	n.table = tablebudget.New(tablebudget.Config{
		Table:           n.config.Platform.Table,
		WritesPerSecond: p.WritesASec,
		ReadsPerSecond:  p.ReadsASec,
		Registerer:      n.registry,
	})
}

// registerRollout builds the rollout of configurations and registers its receiver.
func (n *Node) registerRollout() error {
	s := n.config.Settings
	var err error
	n.rollout, err = rollout.New(rollout.Config{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Board:         n.board,
		Table:         n.table.WithRole(roleRollout),
		Transport:     n.pool,
		Joined:        n.members.Joined,
		Logger:        n.config.Logger,
		Registerer:    n.registry,
	})
	if err != nil {
		return err
	}
	return n.peers.RegisterPeer(rollout.ServiceName, n.rollout.Receiver())
}

// buildCapacity builds the capacity controller, which buys and returns instances and
// orders engines while this node holds the lease, and what it depends on.
func (n *Node) buildCapacity() {
	s := n.config.Settings
	n.meter = capacity.NewMeter(capacity.MeterConfig{
		Gossip:        n.members,
		Members:       n.board.Members,
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
	})
	n.lease = lease.New(lease.Config{
		Table:  n.table.WithRole(roleLease),
		Name:   capacityLease,
		Holder: s.Instance,
		Logger: n.config.Logger,
	})
	n.reports = capacity.NewReports(n.board.Upstreams)
	n.capacity = capacity.New(capacity.Config{
		Lease:           n.lease,
		Table:           n.table.WithRole(roleCapacity),
		Cloud:           n.config.Platform.Cloud,
		List:            n.list,
		Weights:         n.config.Platform.Weights,
		Demands:         n.demands,
		Classes:         func() []capacity.Class { return capacity.Classes(n.board.Configuration.Config()) },
		Engine:          n.engineOf,
		Report:          n.reports.Last,
		AnnounceLeaving: n.markLeaving,
		Registerer:      n.registry,
		Logger:          n.config.Logger,
	})
}

// demands returns the current demand and whether it is complete. It is incomplete if
// the node has not confirmed its configuration lately, so that no instance is
// returned because of an outdated configuration.
func (n *Node) demands() ([]capacity.Demand, bool) {
	rates, complete := n.meter.Rates()
	return capacity.Demands(n.board.Configuration.Config(), rates), complete && n.rollout.IsCurrent()
}

// engineOf returns the engine of an instance for an order, and records the order so
// that later load reports are checked for its effect.
func (n *Node) engineOf(instance zinniamast.Instance) zinniamast.Engine {
	if upstream := n.clients.build(instance); upstream != nil {
		n.reports.RecordOrder(instance.ID)
		return upstream.Engine
	}
	return nil
}

// registerOperator registers the receiver of operators' queries and changes of
// configuration.
func (n *Node) registerOperator() error {
	s := n.config.Settings
	return n.peers.RegisterOperator(operator.ServiceName, operator.NewReceiver(operator.Config{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Board:         n.board,
		Rollout:       n.rollout,
		Members:       n.members,
		Leases:        n.leases,
		Unknowns:      n.unknowns,
		Held:          n.quarantinedRequests,
		Free:          n.freeRequest,
		Refusals:      n.refusals,
		Scarcity:      n.scarcity,
		Resolve: func(ctx context.Context, d operator.ResolveArgs) error {
			return n.claims.Resolve(ctx, d.Organisation, d.Service, d.Key, d.Ran, d.By)
		},
		Explain: func(_ context.Context, request string) (string, error) {
			return n.router.Explain(request), nil
		},
	}))
}

// leases lists the leases that this node competes for.
func (n *Node) leases(context.Context) ([]operator.Lease, error) {
	status := n.lease.Status()
	return []operator.Lease{
		{
			Name:   status.Name,
			Holder: status.Holder,
			Fence:  status.Fence,
		},
	}, nil
}

// maxUnknownsListed bounds the unresolved unknown outcomes that one answer lists.
const maxUnknownsListed = 100

// unknowns lists the claims with an unknown outcome.
func (n *Node) unknowns(ctx context.Context) ([]operator.UnknownCall, error) {
	open, err := n.claims.Unknowns(ctx, maxUnknownsListed)
	shown := make([]operator.UnknownCall, 0, len(open))
	for _, u := range open {
		shown = append(shown, operator.UnknownCall{
			Organisation: u.Organisation,
			Service:      u.Service,
			Key:          u.Key,
			Since:        u.Since,
			Settled:      u.Settled,
		})
	}
	return shown, err
}

// refusals returns the number of refused requests to model and plain services, by reason.
func (n *Node) refusals() map[string]uint64 {
	total := map[string]uint64{}
	for _, name := range []string{"zinniamast_refusals_total", "zinniamast_service_refusals_total"} {
		for reason, count := range operator.CountsByLabel(n.registry, name, "reason") {
			total[reason] += count
		}
	}
	return total
}
