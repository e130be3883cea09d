package entry

import (
	"cmp"
	"context"
	"errors"
	"iter"
	"slices"
	"time"

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
	type ranked struct {
		rank    uint64
		address string
	}
	var above []ranked
	for rank, address := range e.higherRanked() {
		above = append(above, ranked{
			rank:    rank,
			address: address,
		})
	}
	slices.SortFunc(above, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	clients := make([]peerClient, len(above))
	for i, member := range above {
		clients[i] = peerClient{
			entry:   e,
			address: member.address,
		}
	}
	return clients
}

// higherRanked returns the ranks and addresses of the live nodes of this failure domain that
// rank above this one, in no order.
func (e *Entry) higherRanked() iter.Seq2[uint64, string] {
	s := e.config.Settings
	own := roster.Rank(s.Instance)
	return func(yield func(uint64, string) bool) {
		for _, member := range e.board.Members.All() {
			if member.Dead || member.Leaving || member.Address == "" || member.FailureDomain != s.FailureDomain {
				continue
			}
			if rank := roster.Rank(member.ID); rank > own && !yield(rank, member.Address) {
				return
			}
		}
	}
}

// reader returns the first of the readers. False means this node. It is asked before each
// query for load reports.
func (e *Entry) reader() (peerClient, bool) {
	highest := uint64(0)
	reader := peerClient{
		entry: e,
	}
	for rank, address := range e.higherRanked() {
		if rank > highest {
			highest, reader.address = rank, address
		}
	}
	return reader, highest > 0
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
