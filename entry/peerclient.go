package entry

import (
	"context"
	"errors"
	"time"

	"zinniamast/blackboard"
	"zinniamast/registry"
	"zinniamast/reports"
	"zinniamast/roster"
	"zinniamast/usage"
)

// peerClient is a client for the RPC services of another node.
type peerClient struct {
	entry   *Entry
	address string
}

var (
	_ registry.Peer   = peerClient{}
	_ reports.Peer    = peerClient{}
	_ usage.Collector = peerClient{}
)

// ReplicasAfter implements registry.Peer.
func (c peerClient) ReplicasAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ReplicaChanges, error) {
	query := RelayQuery{
		Position: position,
		Wait:     wait,
	}
	var answer ReplicasAnswer
	err := c.entry.longPollPool.Call(ctx, c.address, relayName+".Replicas", query, &answer)
	return answer.Changes, errors.Join(err, answer.Refused.err())
}

// ConfigAfter implements registry.Peer.
func (c peerClient) ConfigAfter(ctx context.Context, position uint64, wait time.Duration) (registry.ConfigChange, error) {
	query := RelayQuery{
		Position: position,
		Wait:     wait,
	}
	var answer ConfigAnswer
	err := c.entry.longPollPool.Call(ctx, c.address, relayName+".Config", query, &answer)
	return answer.Change, errors.Join(err, answer.Refused.err())
}

// FetchReports implements reports.Peer.
func (c peerClient) FetchReports(ctx context.Context, query reports.Query) (reports.Answer, error) {
	var answer reports.Answer
	err := c.entry.longPollPool.Call(ctx, c.address, reportsName+".Since", query, &answer)
	return answer, err
}

// Collect implements usage.Collector.
func (c peerClient) Collect(ctx context.Context, counts usage.Counts) error {
	return c.entry.peerPool.Call(ctx, c.address, usageName+".Collect", counts, &struct{}{})
}

// reader returns the node that follows the store on behalf of this failure domain:
// the live one of the highest rank. False means this node. Nodes with different
// views of the membership may use different readers for a moment, which is safe.
func (e *Entry) reader() (peerClient, bool) {
	s := e.config.Settings
	best, highest := blackboard.Member{}, roster.Rank(s.Instance)
	for _, member := range e.board.Members.All() {
		if member.Dead || member.Leaving || member.ID == s.Instance || member.FailureDomain != s.FailureDomain {
			continue
		}
		if rank := roster.Rank(member.ID); rank > highest {
			best, highest = member, rank
		}
	}
	return peerClient{
		entry:   e,
		address: best.Address,
	}, best.Address != ""
}

// storeReader returns the reader as a registry.Peer; nil means this node.
func (e *Entry) storeReader() registry.Peer {
	if reader, ok := e.reader(); ok {
		return reader
	}
	return nil
}

// reportReader returns the reader as a reports.Peer; nil means this node.
func (e *Entry) reportReader() reports.Peer {
	if reader, ok := e.reader(); ok {
		return reader
	}
	return nil
}

// usageWriter returns the reader as a usage.Collector; nil means this node.
func (e *Entry) usageWriter() usage.Collector {
	if reader, ok := e.reader(); ok {
		return reader
	}
	return nil
}
