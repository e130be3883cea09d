package entry

import (
	"context"
	"errors"
	"time"

	"zinniamast/registry"
)

// Ask is a node's question to the reader of its failure domain.
type Ask struct {
	Position uint64
	Wait     time.Duration
}

// ReplicasTold is the reader's answer. Refusals travel as flags: the transport
// keeps no error's identity.
type ReplicasTold struct {
	Changes registry.ReplicaChanges
	Refused Refused
}

// ConfigTold is the reader's answer.
type ConfigTold struct {
	Change  registry.ConfigChange
	Refused Refused
}

// Refused says why a reader gives no answer.
type Refused struct {
	Stale       bool
	HistoryGone bool
}

func refusedBy(err error) Refused {
	return Refused{
		Stale:       errors.Is(err, registry.ErrStale),
		HistoryGone: errors.Is(err, registry.ErrHistoryDropped),
	}
}

func (r Refused) err() error {
	switch {
	case r.HistoryGone:
		return registry.ErrHistoryDropped
	case r.Stale:
		return registry.ErrStale
	default:
		return nil
	}
}

// Replicas answers what changed after a position.
func (r *Relay) Replicas(ask Ask, reply *ReplicasTold) error {
	changes, err := r.follower.ReplicasAfter(context.Background(), ask.Position, ask.Wait)
	reply.Changes = changes
	reply.Refused = refusedBy(err)
	return nil
}

// Config answers the configuration once it is beyond a position.
func (r *Relay) Config(ask Ask, reply *ConfigTold) error {
	change, err := r.follower.ConfigAfter(context.Background(), ask.Position, ask.Wait)
	reply.Change = change
	reply.Refused = refusedBy(err)
	return nil
}
