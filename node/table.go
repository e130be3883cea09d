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

// Names under which calls to the table are counted.
const (
	roleClaims   = "claims"
	roleRollout  = "rollout"
	roleCapacity = "capacity"
	roleLease    = "lease"
)

// leaseCapacity is the lease of the one node that buys instances and orders engines.
const leaseCapacity = "capacity"

// openTable puts the node's one budgeted path before the platform's table.
func (n *Node) openTable() {
	p := &n.config.Settings.Platform
	n.table = tablebudget.New(tablebudget.Config{
		Table:           n.config.Platform.Table,
		WritesPerSecond: p.WritesASec,
		ReadsPerSecond:  p.ReadsASec,
		Registerer:      n.registry,
	})
}

// followConfiguration takes part in bringing configuration into force.
func (n *Node) followConfiguration() error {
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

// buyInstances competes for the lease to buy, return and order.
func (n *Node) buyInstances() {
	s := n.config.Settings
	n.meter = capacity.NewMeter(capacity.MeterConfig{
		Gossip:        n.members,
		Members:       n.board.Members,
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
	})
	n.lease = lease.New(lease.Config{
		Table:  n.table.WithRole(roleLease),
		Name:   leaseCapacity,
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
		AnnounceLeaving: n.upstreamLeaves,
		Registerer:      n.registry,
		Logger:          n.config.Logger,
	})
}

// demands returns what is needed now. A node that has not confirmed its
// configuration lately does not let anything be returned by it.
func (n *Node) demands() ([]capacity.Demand, bool) {
	rates, complete := n.meter.Rates()
	return capacity.Demands(n.board.Configuration.Config(), rates), complete && n.rollout.IsCurrent()
}

// engineOf returns what takes an order for an engine, whose effect is then looked for.
func (n *Node) engineOf(instance zinniamast.Instance) zinniamast.Engine {
	if upstream := n.clients.build(instance); upstream != nil {
		n.reports.RecordOrder(instance.ID)
		return upstream.Engine
	}
	return nil
}

// answerOperators shows the node's view and takes changes of configuration.
func (n *Node) answerOperators() error {
	s := n.config.Settings
	return n.peers.RegisterOperator(operator.ServiceName, operator.NewReceiver(operator.Config{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Board:         n.board,
		Rollout:       n.rollout,
		Members:       n.members,
		Leases:        n.leases,
		Unknowns:      n.unknowns,
		Held:          n.held,
		Free:          n.free,
		Refusals:      n.refusals,
		Resolve: func(ctx context.Context, d operator.ResolveArgs) error {
			return n.claims.Resolve(ctx, d.Organisation, d.Service, d.Key, d.Ran, d.By)
		},
		Explain: func(_ context.Context, request string) (string, error) {
			return n.router.Explain(request), nil
		},
	}))
}

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

// maxUnknowns bounds the open unknowns that one answer lists.
const maxUnknowns = 100

func (n *Node) unknowns(ctx context.Context) ([]operator.UnknownCall, error) {
	open, err := n.claims.Unknowns(ctx, maxUnknowns)
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

// refusals adds up what both callers' sides have refused, by reason.
func (n *Node) refusals() map[string]uint64 {
	total := map[string]uint64{}
	for _, name := range []string{"zinniamast_refusals_total", "zinniamast_service_refusals_total"} {
		for reason, count := range operator.CountsByLabel(n.registry, name, "reason") {
			total[reason] += count
		}
	}
	return total
}
