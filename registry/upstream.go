package registry

import (
	"zinniamast"
	"zinniamast/blackboard"
)

// newUpstream returns the upstream of a start of a replica.
func (f *Follower) newUpstream(r *Replica) *blackboard.Upstream {
	market := zinniamast.OnDemand
	if r.Reclaimable {
		market = zinniamast.Reclaimable
	}
	return &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:            r.ID,
			FailureDomain: r.FailureDomain,
			Market:        market,
			Service:       r.Service,
			Address:       r.Address,
			Started:       r.Started,
			Version:       r.Version,
		},
		Replica:  f.config.Build(r.ID, r.Address),
		Slots:    r.Slots,
		Revision: f.versions[r.ID],
	}
}
