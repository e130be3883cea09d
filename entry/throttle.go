package entry

import "zinniamast/throttle"

// buildThrottle builds the throttle of replicas that say that they bear only few requests.
func (e *Entry) buildThrottle() {
	owners := &throttle.Owners{
		Node:          e.config.Settings.Instance,
		FailureDomain: e.config.Settings.FailureDomain,
		Members:       e.board.Members,
		Instances:     e.roster.Instances,
	}
	e.throttle = throttle.New(throttle.Config{
		Upstreams:  e.board.Upstreams,
		IsOwner:    owners.IsOwner,
		Share:      owners.Share,
		Gossip:     e.members,
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
}
