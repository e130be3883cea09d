package entry

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast/blackboard"
	"zinniamast/registry"
	"zinniamast/reports"
	"zinniamast/usage"
)

// neighbour is another node, as what it does for this one.
type neighbour struct {
	entry   *Entry
	address string
}

var (
	_ registry.Peer   = neighbour{}
	_ reports.Peer    = neighbour{}
	_ usage.Collector = neighbour{}
)

// ReplicasAfter implements registry.Peer.
func (n neighbour) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	ask := Ask{
		Position: position,
		Wait:     wait,
	}
	var told ReplicasTold
	err := n.entry.follow.Call(ctx, n.address, relayName+".Replicas", ask, &told)
	return told.Changes, errors.Join(err, told.Refused.err())
}

// ConfigAfter implements registry.Peer.
func (n neighbour) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	ask := Ask{
		Position: position,
		Wait:     wait,
	}
	var told ConfigTold
	err := n.entry.follow.Call(ctx, n.address, relayName+".Config", ask, &told)
	return told.Change, errors.Join(err, told.Refused.err())
}

// FetchReports implements reports.Peer.
func (n neighbour) FetchReports(ctx context.Context, ask reports.Query) (reports.Answer, error) {
	var told reports.Answer
	err := n.entry.follow.Call(ctx, n.address, reportsName+".Since", ask, &told)
	return told, err
}

// Collect implements usage.Collector.
func (n neighbour) Collect(ctx context.Context, counts usage.Counts) error {
	return n.entry.pool.Call(ctx, n.address, usageName+".Collect", counts, &struct{}{})
}

// reader returns the node that follows the store for this failure domain, the
// one with the highest hash among those that live; false means this node. Nodes
// that disagree for a moment each follow whom they see; none is needed for safety.
func (e *Entry) reader() (neighbour, bool) {
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
	return neighbour{
		entry:   e,
		address: best.Address,
	}, best.Address != ""
}

// storeReader is the reader as the registry asks it; nil means this node.
func (e *Entry) storeReader() registry.Peer {
	if n, ok := e.reader(); ok {
		return n
	}
	return nil
}

// reportReader is the reader as it tells replicas' reports; nil means this node.
func (e *Entry) reportReader() reports.Peer {
	if n, ok := e.reader(); ok {
		return n
	}
	return nil
}

// usageWriter is the reader as it writes counts; nil means this node.
func (e *Entry) usageWriter() usage.Collector {
	if n, ok := e.reader(); ok {
		return n
	}
	return nil
}
