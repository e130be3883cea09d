package registry

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// newUpstream returns the upstream of a start of a replica.
func (f *Follower) newUpstream(r *Replica) *blackboard.Upstream {
	market := zinniamast.OnDemand
	if r.Reclaimable {
		market = zinniamast.Reclaimable
	}
	u := &blackboard.Upstream{
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
	if r.Draining {
		u.BeginLeaving(leavesAt(r.LeavesIn))
	}
	return u
}

// leavesAt returns when a replica goes away, or the zero time if that is unknown.
func leavesAt(in time.Duration) time.Time {
	if in <= 0 {
		return time.Time{}
	}
	return time.Now().Add(in)
}
