package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
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

// readers returns the live nodes of this failure domain that rank above this one, the
// highest first. The first one follows the store on behalf of the others; if it is
// empty, that is this node. Nodes with different views of the membership may use
// different readers for a moment, which is safe.
func (e *Entry) readers() []peerClient {
	s := e.config.Settings
	own := roster.Rank(s.Instance)
	var above []blackboard.Member
	for _, member := range e.board.Members.All() {
		if member.Dead || member.Leaving || member.Address == "" || member.FailureDomain != s.FailureDomain {
			continue
		}
		if roster.Rank(member.ID) > own {
			above = append(above, member)
		}
	}
	slices.SortFunc(above, func(a, b blackboard.Member) int {
		return cmp.Compare(roster.Rank(b.ID), roster.Rank(a.ID))
	})
	clients := make([]peerClient, len(above))
	for i, member := range above {
		clients[i] = peerClient{
			entry:   e,
			address: member.Address,
		}
	}
	return clients
}

// reader returns the first of the readers. False means this node.
func (e *Entry) reader() (peerClient, bool) {
	readers := e.readers()
	if len(readers) == 0 {
		return peerClient{}, false
	}
	return readers[0], true
}

// storeReaders returns the readers as registry.Peers.
func (e *Entry) storeReaders() []registry.Peer {
	var peers []registry.Peer
	for _, reader := range e.readers() {
		peers = append(peers, reader)
	}
	return peers
}

// reportReader returns the reader as a reports.Peer; nil means this node.
func (e *Entry) reportReader() reports.Peer {
	if reader, ok := e.reader(); ok {
		return reader
	}
	return nil
}

// usageWriters returns the readers as usage.Collectors.
func (e *Entry) usageWriters() []usage.Collector {
	var collectors []usage.Collector
	for _, reader := range e.readers() {
		collectors = append(collectors, reader)
	}
	return collectors
}
