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

// giving is one request on its way to a peer.
type giving struct {
	request  *request.Request
	snapshot request.Snapshot
}

// Give hands every request that has not ended to peers and returns how many
// are left here because no peer would hold them. It first makes peers hold
// copies, and only lets go of a request whose copy was acknowledged.
//
// A request whose upstream is leaving too is let go only when its stream has
// moved and goes on, or at the given time: ending its attempt earlier would cut
// the move short, and the peer would have to compute prompt and tokens again.
// Until then the peer's copy is what survives if this node dies.
func (x *Exchange) Give(ctx context.Context, until time.Time) (left int) {
	var open []giving
	for _, q := range x.config.Board.Requests.All() {
		select {
		case <-q.Done():
		default:
			open = append(open, giving{
				request:  q,
				snapshot: q.Snapshot(),
			})
		}
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, batch := range split(open) {
		group.Go(func() {
			missed := x.giveBatch(ctx, batch, i, until)
			mu.Lock()
			left += missed
			mu.Unlock()
		})
	}
	group.Wait()
	return left
}

// settled says whether nothing is gained by keeping a request here longer.
func (x *Exchange) settled(q *request.Request) bool {
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

// split makes batches that one call can carry.
func split(open []giving) [][]giving {
	var batches [][]giving
	var batch []giving
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

// giveBatch tries peers in turn until one holds the batch. Both neighbours
// may be leaving too; a leaving peer refuses, and the next one is asked.
func (x *Exchange) giveBatch(ctx context.Context, batch []giving, turn int, until time.Time) (left int) {
	args := HoldArgs{
		Giver: x.config.Node,
		Lease: startLease + max(0, time.Until(until)),
	}
	for _, g := range batch {
		args.Snapshots = append(args.Snapshots, g.snapshot)
	}
	for _, peer := range x.candidates(turn) {
		if ctx.Err() != nil {
			break
		}
		call, cancel := context.WithTimeout(ctx, holdTimeout)
		var reply HoldReply
		err := x.config.Transport.Call(call, peer.Address, ServiceName+".Hold", args, &reply)
		cancel()
		if err != nil {
			x.metrics.refused.Add(float64(len(batch)))
			x.config.Logger.Info("peer does not hold requests",
				"peer", peer.ID,
				"cause", err)
			continue
		}
		return x.letGo(ctx, batch, peer, reply.Held, until)
	}
	return len(batch)
}

// candidates orders the peers: other failure domains first, since this one may
// be leaving as a whole, then spread by turn and weight.
func (x *Exchange) candidates(turn int) []blackboard.Member {
	type ranked struct {
		member blackboard.Member
		home   bool
		rank   float64
	}
	var all []ranked
	for i, member := range x.config.Board.Members.All() {
		if member.ID == x.config.Node || member.Dead || member.Leaving || member.Address == "" {
			continue
		}
		weight := max(member.Weight, 0.01)
		all = append(all, ranked{
			member: member,
			home:   member.FailureDomain == x.config.FailureDomain,
			rank:   float64((i+turn)%8) + rand.ExpFloat64()/weight,
		})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.home != b.home {
			if a.home {
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

// letGo stops what the peer holds here and gives the word to start it there.
func (x *Exchange) letGo(ctx context.Context, batch []giving, peer blackboard.Member, held []string, until time.Time) (left int) {
	var group sync.WaitGroup
	for _, g := range batch {
		if !slices.Contains(held, g.snapshot.Call.ID) {
			left++
			continue
		}
		group.Go(func() {
			x.awaitSettled(ctx, g.request, until)
			// From here on nothing is added to the answer at this node, so what
			// follows is all that callers can have seen.
			g.request.Move(peer.Address)
			x.config.Runner.Release(g.request)
			x.metrics.given.Inc()
			x.sayStart(ctx, g, peer)
		})
	}
	group.Wait()
	return left
}

// settlePoll is how often a request that waits for its move is looked at.
const settlePoll = 20 * time.Millisecond

// awaitSettled waits for a request's move off a leaving upstream, up to a moment.
func (x *Exchange) awaitSettled(ctx context.Context, q *request.Request, until time.Time) {
	for !x.settled(q) && time.Now().Before(until) && ctx.Err() == nil {
		time.Sleep(settlePoll)
	}
}

// startTries is how often the word to start is said; after that the peer's
// lease starts the request from its older copy.
const startTries = 3

func (x *Exchange) sayStart(ctx context.Context, g giving, peer blackboard.Member) {
	latest := g.request.Snapshot()
	from := len(g.snapshot.IDs)
	args := StartArgs{
		From:   from,
		Latest: latest.After(from),
	}
	if latest.State == request.StateMoved {
		args.Latest.State = request.StateAccepted
	}
	for range startTries {
		var reply StartReply
		err := x.call(ctx, peer.Address, "Start", args, &reply)
		if err == nil {
			return
		}
		x.config.Logger.Info("peer did not hear the word to start",
			"peer", peer.ID,
			"request", g.snapshot.Call.ID,
			"cause", err)
		select {
		case <-time.After(relayPause):
		case <-ctx.Done():
			return
		}
	}
}
