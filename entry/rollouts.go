package entry

import (
	"context"
	"slices"
	"time"

	"zinniamast/canary"
	"zinniamast/platform"
)

// buildRollouts builds this node's part in the rollouts of software versions.
func (e *Entry) buildRollouts() {
	s := e.config.Settings
	e.rollouts = canary.New(canary.Config{
		Node:          s.Instance,
		FailureDomain: s.FailureDomain,
		Upstreams:     e.board.Upstreams,
		LiveNodes:     e.liveDomainNodes,
		KnownUntil:    e.follower.OrdersKnownUntil,
		IsLeader:      e.holdsLease,
		TrueTime:      e.clock.NowOrLocal,
		Gossip:        e.members,
		Logger:        e.config.Logger,
		Registerer:    e.registry,
	})
}

// buildRolloutLeader builds the leader of the rollouts, which acts while this node holds the
// lease.
func (e *Entry) buildRolloutLeader(store *platform.Store) {
	s := e.config.Settings
	e.rolloutLeader = canary.NewLeader(canary.LeaderConfig{
		Canary:         e.rollouts,
		Upstreams:      e.board.Upstreams,
		Rollouts:       platform.NewRollouts(store),
		Lease:          e.lease,
		Node:           s.Instance,
		FailureDomains: e.occupiedDomains,
		ExposureShare:  s.Bounds.ExposureShare,
		ExposureSlack:  s.Bounds.ExposureSlack,
		TrueTime:       e.clock.NowOrLocal,
		Logger:         e.config.Logger,
	})
}

// holdsLease reports whether this node holds the lease of the duties.
func (e *Entry) holdsLease() bool {
	_, err := e.lease.Check(0)
	return err == nil
}

// liveDomainNodes returns the names of the running nodes of this failure domain.
func (e *Entry) liveDomainNodes() []string {
	live := []string{e.config.Settings.Instance}
	for _, member := range e.board.Members.All() {
		if member.FailureDomain == e.config.Settings.FailureDomain && !member.Dead && !member.Leaving && member.ID != live[0] {
			live = append(live, member.ID)
		}
	}
	return live
}

// occupiedDomains returns the failure domains in which nodes run.
func (e *Entry) occupiedDomains() []string {
	domains := []string{e.config.Settings.FailureDomain}
	for _, instance := range e.roster.Instances() {
		if !slices.Contains(domains, instance.FailureDomain) {
			domains = append(domains, instance.FailureDomain)
		}
	}
	return domains
}

// Rollouts returns the rollouts that this node knows.
func (r *Relay) Rollouts(_ struct{}, reply *[]canary.Grant) error {
	*reply = r.rollouts.Grants()
	return nil
}

// fetchRollouts asks other nodes for the rollouts, until one has answered. A
// node that starts near the end of a rollout would otherwise send requests to replicas that
// are about to stop.
func (e *Entry) fetchRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range e.randomPeers() {
			if e.fetchRolloutsFrom(ctx, address) {
				return
			}
		}
		select {
		case <-time.After(fetchInterval):
		case <-ctx.Done():
		}
	}
}

func (e *Entry) fetchRolloutsFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var grants []canary.Grant
	if err := e.peerPool.Call(ctx, address, relayName+".Rollouts", struct{}{}, &grants); err != nil {
		e.config.Logger.Debug("failed to fetch rollouts from peer", "peer", address, "cause", err)
		return false
	}
	for _, grant := range grants {
		e.rollouts.Apply(grant)
	}
	return true
}
