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

// newOutgoing returns a request with a copy as of now.
func newOutgoing(q *request.Request) outgoing {
	return outgoing{
		request:  q,
		snapshot: q.Snapshot(),
	}
}

// HandOff hands over every request that has not ended to peers and returns how
// many remain here because no peer accepted them. It first sends copies for
// peers to hold, and releases only requests whose copy was acknowledged and is
// still held when the request is released.
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
			open = append(open, newOutgoing(q))
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, batch := range splitBatches(open) {
		group.Go(func() {
			kept := x.handOffBatch(ctx, batch, i, until)
			mu.Lock()
			remaining += len(kept)
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

// handOffBatch offers the batch to peers in turn and returns the requests that no
// peer took. A peer may be leaving too and refuse, hold a part of the batch only,
// or die before its requests are started; the next peer is offered the rest.
func (x *Exchange) handOffBatch(ctx context.Context, batch []outgoing, turn int, until time.Time) (kept []outgoing) {
	for _, peer := range x.candidatePeers(turn) {
		if ctx.Err() != nil || len(batch) == 0 {
			break
		}
		if x.isDead(peer) {
			continue
		}
		copies, err := x.hold(ctx, batch, peer, until)
		if err != nil {
			x.metrics.refused.Add(float64(len(batch)))
			x.config.Logger.Info("peer did not accept requests",
				"peer", peer.ID,
				"cause", err)
			continue
		}
		batch = x.releaseBatch(ctx, batch, copies, until)
	}
	return batch
}

// heldCopies are the copies that a peer has acknowledged holding.
type heldCopies struct {
	peer blackboard.Member
	ids  []string
	// expires is the time from which the peer may start them without a Start call.
	expires time.Time
}

// hold sends copies of the batch to a peer.
func (x *Exchange) hold(ctx context.Context, batch []outgoing, peer blackboard.Member, until time.Time) (heldCopies, error) {
	args := HoldArgs{
		Giver: x.config.Node,
		Lease: startLease + max(0, time.Until(until)),
	}
	for _, g := range batch {
		args.Snapshots = append(args.Snapshots, g.snapshot)
	}
	expires := time.Now().Add(min(args.Lease, maxLease))
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	var reply HoldReply
	err := x.config.Transport.Call(ctx, peer.Address, ServiceName+".Hold", args, &reply)
	return heldCopies{
		peer:    peer,
		ids:     reply.Held,
		expires: expires,
	}, err
}

// isDead reports whether a peer is known to be dead by now.
func (x *Exchange) isDead(peer blackboard.Member) bool {
	member, ok := x.config.Board.Members.Get(peer.ID)
	return ok && member.Dead
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
// returns new copies of the requests that the peer does not hold, or no longer.
func (x *Exchange) releaseBatch(ctx context.Context, batch []outgoing, copies heldCopies, until time.Time) (kept []outgoing) {
	// One request for which the peer does not answer ends the waits of all.
	reachable, giveUp := context.WithCancel(ctx)
	defer giveUp()
	var group sync.WaitGroup
	var mu sync.Mutex
	keep := func(q *request.Request) {
		mu.Lock()
		defer mu.Unlock()
		kept = append(kept, newOutgoing(q))
	}
	for _, g := range batch {
		if !slices.Contains(copies.ids, g.snapshot.Call.ID) {
			keep(g.request)
			continue
		}
		group.Go(func() {
			if x.waitUntilSettled(reachable, g.request, copies.peer, until) {
				state := x.confirm(reachable, g, copies.peer)
				if state == holderUnreachable {
					giveUp()
				}
				// When the time is over, the copy is all that outlives this node.
				if state != holderReady && ctx.Err() == nil {
					keep(g.request)
					return
				}
			}
			// After Move this node adds no tokens to the answer, so the snapshot
			// that sendStart takes holds everything that callers can have seen.
			g.request.Move(copies.peer.Address)
			x.config.Runner.Release(g.request)
			if !x.sendStart(ctx, g, copies) {
				keep(g.request)
				return
			}
			x.metrics.given.Inc()
		})
	}
	group.Wait()
	return kept
}

// settlePollInterval is the interval at which a request that waits for its move is checked.
const settlePollInterval = 20 * time.Millisecond

// waitUntilSettled waits for a request's move off a leaving upstream, but no
// longer than until the given time or the death of the peer that holds its copy.
// It reports whether it waited at all.
func (x *Exchange) waitUntilSettled(ctx context.Context, q *request.Request, peer blackboard.Member, until time.Time) (waited bool) {
	for !x.isSettled(q) && time.Now().Before(until) && ctx.Err() == nil && !x.isDead(peer) {
		time.Sleep(settlePollInterval)
		waited = true
	}
	return waited
}

// holderState is what a giver knows about the peer that acknowledged a copy.
type holderState int

const (
	holderReady holderState = iota
	// holderWithoutCopy has answered that it does not have the request.
	holderWithoutCopy
	holderUnreachable
)

// confirmAttempts bounds the calls that ask a peer whether it still holds a copy.
const confirmAttempts = 3

// confirm asks a peer whether it still holds a copy. It may have died since it
// acknowledged the copy, and ending the run here would then lose the request.
func (x *Exchange) confirm(ctx context.Context, g outgoing, peer blackboard.Member) holderState {
	for range confirmAttempts {
		if ctx.Err() != nil || x.isDead(peer) {
			break
		}
		if state := x.askHolder(ctx, g.snapshot, peer.Address); state != holderUnreachable {
			return state
		}
		time.Sleep(relayRetryDelay)
	}
	return holderUnreachable
}

// askHolder asks the peer at an address once whether it holds a request.
func (x *Exchange) askHolder(ctx context.Context, copied request.Snapshot, address string) holderState {
	var reply ReadReply
	err := x.call(ctx, address, "Read", ReadArgs{
		Wants: []Want{
			{
				ID:           copied.Call.ID,
				Organisation: copied.Call.Organisation,
				From:         len(copied.IDs),
				Epoch:        copied.Epoch,
			},
		},
	}, &reply)
	switch {
	case err != nil:
		return holderUnreachable
	case len(reply.Parts) == 1 && reply.Parts[0].Lost:
		return holderWithoutCopy
	default:
		return holderReady
	}
}

// sendStart starts a request at the peer that holds its copy and returns false if
// another peer must be offered the request: this one is dead, or has answered that
// it does not have it. A peer that only fails to answer may have started it, and
// otherwise starts its older copy when the lease expires.
func (x *Exchange) sendStart(ctx context.Context, g outgoing, copies heldCopies) bool {
	latest := g.request.Snapshot()
	from := len(g.snapshot.IDs)
	args := StartArgs{
		From:   from,
		Latest: latest.After(from),
	}
	if latest.State == request.StateMoved {
		args.Latest.State = request.StateAccepted
	}
	for {
		var reply StartReply
		err := x.call(ctx, copies.peer.Address, "Start", args, &reply)
		if err == nil {
			return true
		}
		x.config.Logger.Info("start call to peer failed",
			"peer", copies.peer.ID,
			"request", g.snapshot.Call.ID,
			"cause", err)
		if x.isDead(copies.peer) || x.askHolder(ctx, g.snapshot, copies.peer.Address) == holderWithoutCopy {
			return false
		}
		if ctx.Err() != nil || time.Now().After(copies.expires) {
			return true
		}
		time.Sleep(relayRetryDelay)
	}
}
