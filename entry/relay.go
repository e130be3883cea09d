package entry

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast/blackboard"
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
		HistoryGone: errors.Is(err, registry.ErrHistoryGone),
	}
}

func (r Refused) err() error {
	switch {
	case r.HistoryGone:
		return registry.ErrHistoryGone
	case r.Stale:
		return registry.ErrStale
	default:
		return nil
	}
}

// Replicas answers what changed after a position.
func (r *Relay) Replicas(ask Ask, reply *ReplicasTold) error {
	changes, err := r.follower.TellReplicas(context.Background(), ask.Position, ask.Wait)
	reply.Changes = changes
	reply.Refused = refusedBy(err)
	return nil
}

// Config answers the configuration once it is beyond a position.
func (r *Relay) Config(ask Ask, reply *ConfigTold) error {
	change, err := r.follower.TellConfig(context.Background(), ask.Position, ask.Wait)
	reply.Change = change
	reply.Refused = refusedBy(err)
	return nil
}

// reader is another node as a registry.Peer.
type reader struct {
	entry   *Entry
	address string
}

var _ registry.Peer = reader{}

// TellReplicas implements registry.Peer.
func (r reader) TellReplicas(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	ask := Ask{
		Position: position,
		Wait:     wait,
	}
	var told ReplicasTold
	err := r.entry.follow.Call(ctx, r.address, relayName+".Replicas", ask, &told)
	return told.Changes, errors.Join(err, told.Refused.err())
}

// TellConfig implements registry.Peer.
func (r reader) TellConfig(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	ask := Ask{
		Position: position,
		Wait:     wait,
	}
	var told ConfigTold
	err := r.entry.follow.Call(ctx, r.address, relayName+".Config", ask, &told)
	return told.Change, errors.Join(err, told.Refused.err())
}

// domainReader returns the node that follows the store for this failure domain;
// nil means this node.
func (e *Entry) domainReader() registry.Peer {
	if address := e.readerAddress(); address != "" {
		return reader{
			entry:   e,
			address: address,
		}
	}
	return nil
}

// readerAddress returns where the node is that reads for this failure domain:
// the one with the highest hash among those that live; empty means this node.
// Nodes that disagree for a moment each follow whom they see; none is needed
// for safety.
func (e *Entry) readerAddress() string {
	s := e.config.Settings
	best, highest := blackboard.Member{}, xxh3.HashString(s.Instance)
	for _, member := range e.board.Members.All() {
		if member.Dead || member.Leaving || member.ID == s.Instance || member.FailureDomain != s.FailureDomain {
			continue
		}
		if hash := xxh3.HashString(member.ID); hash > highest {
			best, highest = member, hash
		}
	}
	return best.Address
}
