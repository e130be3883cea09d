package handoff

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniamast/blackboard"
	"zinniamast/request"
)

// outgoing is a request that is being handed over to a peer.
type outgoing struct {
	request  *request.Request
	snapshot request.Snapshot
}

// HandOff hands over every request that has not ended to peers and returns how
// many remain here because no peer accepted them. It first sends copies for
// peers to hold, and releases only requests whose copy was acknowledged.
//
// A request whose upstream is leaving too is released only after its stream has
// moved and produces tokens again, or at the given time: ending its attempt
// earlier would interrupt the move, and the peer would have to compute the
// prompt and the tokens again. Until then the request survives the death of this
// node through the peer's copy.
func (x *Exchange) HandOff(ctx context.Context, until time.Time) (remaining int) {
	var open []outgoing
	for _, q := range x.config.Board.Requests.All() {
		select {
		case <-q.Done():
		default:
			open = append(open, outgoing{
				request:  q,
				snapshot: q.Snapshot(),
			})
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, batch := range splitBatches(open) {
		group.Go(func() {
			refused := x.handOffBatch(ctx, batch, i, until)
			mu.Lock()
			remaining += refused
			mu.Unlock()
		})
	}
	group.Wait()
	return remaining
}

// isSettled reports whether a request can be released: it has ended, or its
// upstream is not leaving and no resumed attempt still waits for its first token.
func (x *Exchange) isSettled(q *request.Request) bool {
	select {
	case <-q.Done():
		return true
	default:
	}
	if q.Resuming() {
		return false
	}
	_, id, _ := q.Progress()
	upstream := x.config.Board.Upstreams.Get(id)
	return upstream == nil || !upstream.Leaving()
}

// splitBatches splits requests into batches that fit into one Hold call.
func splitBatches(open []outgoing) [][]outgoing {
	var batches [][]outgoing
	var batch []outgoing
	bytes := 0
	for _, g := range open {
		size := g.snapshot.Bytes()
		if len(batch) > 0 && (bytes+size > batchBytes || len(batch) >= batchRequests) {
			batches = append(batches, batch)
			batch = nil
			bytes = 0
		}
		batch = append(batch, g)
		bytes += size
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// handOffBatch tries peers in turn until one accepts the batch, and returns how
// many requests no peer accepted. Several peers may be leaving too; such a peer
// refuses, and the next one is tried.
func (x *Exchange) handOffBatch(ctx context.Context, batch []outgoing, turn int, until time.Time) (remaining int) {
	args := HoldArgs{
		Giver: x.config.Node,
		Lease: startLease + max(0, time.Until(until)),
	}
	for _, g := range batch {
		args.Snapshots = append(args.Snapshots, g.snapshot)
	}
	for _, peer := range x.candidatePeers(turn) {
		if ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, holdTimeout)
		var reply HoldReply
		err := x.config.Transport.Call(call, peer.Address, ServiceName+".Hold", args, &reply)
		cancel()
		if err != nil {
			x.metrics.refused.Add(float64(len(batch)))
			x.config.Logger.Info("peer did not accept requests",
				"peer", peer.ID,
				"cause", err)
			continue
		}
		return x.releaseBatch(ctx, batch, peer, reply.Held, until)
	}
	return len(batch)
}

// candidatePeers returns the peers in the order to try: other failure domains
// first, since this one may be leaving as a whole, then by turn and a random
// factor that favours weight.
func (x *Exchange) candidatePeers(turn int) []blackboard.Member {
	type ranked struct {
		member  blackboard.Member
		isLocal bool
		rank    float64
	}
	var all []ranked
	for i, member := range x.config.Board.Members.All() {
		if member.ID == x.config.Node || member.Dead || member.Leaving || member.Address == "" {
			continue
		}
		weight := max(member.Weight, 0.01)
		all = append(all, ranked{
			member:  member,
			isLocal: member.FailureDomain == x.config.FailureDomain,
			rank:    float64((i+turn)%8) + rand.ExpFloat64()/weight,
		})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.isLocal != b.isLocal {
			if a.isLocal {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank, b.rank)
	})
	members := make([]blackboard.Member, 0, len(all))
	for _, r := range all {
		members = append(members, r.member)
	}
	return members
}

// releaseBatch stops the requests that the peer holds and starts them there. It
// returns how many requests of the batch the peer does not hold.
func (x *Exchange) releaseBatch(ctx context.Context, batch []outgoing, peer blackboard.Member, held []string, until time.Time) (remaining int) {
	var group sync.WaitGroup
	for _, g := range batch {
		if !slices.Contains(held, g.snapshot.Call.ID) {
			remaining++
			continue
		}
		group.Go(func() {
			x.waitUntilSettled(ctx, g.request, until)
			// After Move this node adds no tokens to the answer, so the snapshot
			// that sendStart takes holds everything that callers can have seen.
			g.request.Move(peer.Address)
			x.config.Runner.Release(g.request)
			x.metrics.given.Inc()
			x.sendStart(ctx, g, peer)
		})
	}
	group.Wait()
	return remaining
}

// settlePollInterval is the interval at which a request that waits for its move is checked.
const settlePollInterval = 20 * time.Millisecond

// waitUntilSettled waits for a request's move off a leaving upstream, but no
// longer than until the given time.
func (x *Exchange) waitUntilSettled(ctx context.Context, q *request.Request, until time.Time) {
	for !x.isSettled(q) && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(settlePollInterval)
	}
}

// startAttempts bounds the Start calls for a request. If all of them fail, the
// peer starts the request from its older copy when the lease expires.
const startAttempts = 3

func (x *Exchange) sendStart(ctx context.Context, g outgoing, peer blackboard.Member) {
	latest := g.request.Snapshot()
	from := len(g.snapshot.IDs)
	args := StartArgs{
		From:   from,
		Latest: latest.After(from),
	}
	if latest.State == request.StateMoved {
		args.Latest.State = request.StateAccepted
	}
	for range startAttempts {
		var reply StartReply
		err := x.call(ctx, peer.Address, "Start", args, &reply)
		if err == nil {
			return
		}
		x.config.Logger.Info("start call to peer failed",
			"peer", peer.ID,
			"request", g.snapshot.Call.ID,
			"cause", err)
		select {
		case <-time.After(relayRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}
