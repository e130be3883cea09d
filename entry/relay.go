package entry

import (
	"context"
	"errors"
	"time"

	"zinniamast/registry"
)

// RelayQuery is a node's long poll to the reader of its failure domain: for changes
// after Position, waiting up to Wait.
type RelayQuery struct {
	Position uint64
	Wait     time.Duration
}

// ReplicasAnswer is the reader's answer to a query for replicas. Refusals are sent as
// flags, since net/rpc does not preserve the identity of errors.
type ReplicasAnswer struct {
	Changes registry.ReplicaChanges
	Refused Refusal
}

// ConfigAnswer is the reader's answer to a query for the configuration.
type ConfigAnswer struct {
	Change  registry.ConfigChange
	Refused Refusal
}

// Refusal holds the reason for which a reader refuses a query.
type Refusal struct {
	Stale       bool
	HistoryGone bool
}

func newRefusal(err error) Refusal {
	return Refusal{
		Stale:       errors.Is(err, registry.ErrStale),
		HistoryGone: errors.Is(err, registry.ErrHistoryDropped),
	}
}

func (r Refusal) err() error {
	switch {
	case r.HistoryGone:
		return registry.ErrHistoryDropped
	case r.Stale:
		return registry.ErrStale
	default:
		return nil
	}
}

// Replicas returns the replicas that changed after a position.
func (r *Relay) Replicas(query RelayQuery, reply *ReplicasAnswer) error {
	changes, err := r.follower.ReplicasAfter(context.Background(), query.Position, query.Wait)
	reply.Changes = changes
	reply.Refused = newRefusal(err)
	return nil
}

// Config returns the configuration once it is newer than a position.
func (r *Relay) Config(query RelayQuery, reply *ConfigAnswer) error {
	change, err := r.follower.ConfigAfter(context.Background(), query.Position, query.Wait)
	reply.Change = change
	reply.Refused = newRefusal(err)
	return nil
}
