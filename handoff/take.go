package handoff

import (
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast/caller"
	"zinniamast/request"
)

// Errors of Hold and Start, after which a giver tries another peer.
var (
	// ErrStopping means that this node no longer takes over requests.
	ErrStopping = merry.Sentinel("node is stopping")
	// ErrNotHeld means that this node has no copy of the request to start, or that
	// another request has taken its key since.
	ErrNotHeld = merry.Sentinel("node does not hold the request")
	// ErrFull means that this node has no memory for more requests.
	ErrFull = merry.Sentinel("node has no memory for more requests")
)

// HoldArgs carries requests to the node that is to take them over.
type HoldArgs struct {
	Giver string
	// Lease is how long to wait for the Start call; at least startLease.
	Lease     time.Duration
	Snapshots []request.Snapshot
}

// HoldReply lists the IDs of the requests that the node holds. The giver
// releases no others.
type HoldReply struct {
	Held []string
}

// Hold is the first step of a handoff: it stores copies of requests until Start
// is called or the lease expires.
func (r *Receiver) Hold(args HoldArgs, reply *HoldReply) error {
	x := r.exchange
	if x.config.Stopping() {
		return ErrStopping
	}
	if !x.hasRoom(args.Snapshots) {
		return ErrFull
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, snapshot := range args.Snapshots {
		call := snapshot.Call
		known := x.config.Board.Requests.Get(call.ID)
		if known == nil && x.isKeyTaken(call) || known != nil && known.State() == request.StateMoved {
			continue
		}
		reply.Held = append(reply.Held, call.ID)
		if known == nil {
			x.keepCopy(snapshot, min(max(args.Lease, startLease), maxLease))
		}
	}
	return nil
}

// isKeyTaken reports whether another request here has the key of a call, so that
// this node could not add the request of the call.
func (x *Exchange) isKeyTaken(call request.Call) bool {
	return call.Key != "" && x.config.Board.Requests.ByKey(call.Organisation, call.Key) != nil
}

// keepCopy stores a copy, or renews the lease of one that is held and replaces it
// unless the new one is older; the caller holds the lock. A giver that did not get
// the acknowledgement offers the request again with more tokens, and its Start
// call holds only those that come after them.
func (x *Exchange) keepCopy(snapshot request.Snapshot, lease time.Duration) {
	id := snapshot.Call.ID
	held, ok := x.held[id]
	if !ok {
		held = &heldRequest{
			snapshot: snapshot,
			timer:    time.AfterFunc(lease, func() { x.startOnLeaseExpiry(id) }),
		}
		x.held[id] = held
	}
	if held.starting {
		return
	}
	if len(snapshot.IDs) >= len(held.snapshot.IDs) {
		held.snapshot = snapshot
	}
	held.expires = time.Now().Add(lease)
	held.timer.Reset(lease)
	go x.registerHeld(held.snapshot)
}

// hasRoom reports whether the snapshots fit into memory. When a whole failure
// domain leaves, its requests arrive together. Without this bound they would
// exhaust the memory of the node that takes them over, and all would be lost.
func (x *Exchange) hasRoom(snapshots []request.Snapshot) bool {
	if x.config.MemoryCap == 0 {
		return true
	}
	bytes := 0
	for _, q := range x.config.Board.Requests.All() {
		bytes += q.Bytes()
	}
	for _, s := range snapshots {
		bytes += s.Bytes()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, held := range x.held {
		bytes += held.snapshot.Bytes()
	}
	return int64(bytes) <= x.config.MemoryCap
}

// StartArgs asks a node to start a held request, with the tokens produced since
// the Hold call.
type StartArgs struct {
	// From is the number of tokens in the held snapshot.
	From int
	// Latest holds the tokens from From on and the rest of the request's state.
	Latest request.Snapshot
}

// StartReply is empty; no error means that the request runs here.
type StartReply struct{}

// Start is the second step of a handoff: it runs a held request.
func (r *Receiver) Start(args StartArgs, _ *StartReply) error {
	x := r.exchange
	held := x.claimHeld(args.Latest.Call.ID, false)
	if held == nil {
		// The call is a duplicate, or the lease has expired and the request runs.
		// The held requests are checked first for the reason that Read gives.
		if id := args.Latest.Call.ID; !x.isHeld(id) && x.config.Board.Requests.Get(id) == nil {
			return ErrNotHeld
		}
		return nil
	}
	snapshot := held.snapshot
	snapshot.Extend(args.Latest, args.From)
	if !x.takeOver(snapshot) {
		return ErrNotHeld
	}
	return nil
}

// claimHeld marks a held request as starting and returns it to the first caller
// only. The request stays in the table of held requests until it is among the
// running ones, so that a read in between does not report it as lost. If expired is
// set, a request whose lease was renewed is not claimed.
func (x *Exchange) claimHeld(id string, expired bool) *heldRequest {
	x.mu.Lock()
	defer x.mu.Unlock()
	held, ok := x.held[id]
	if !ok || held.starting || expired && time.Now().Before(held.expires) {
		return nil
	}
	held.starting = true
	held.timer.Stop()
	return held
}

// startOnLeaseExpiry starts a held request whose Start call did not arrive. Its
// callers may have received tokens that the held copy lacks, so the copy is
// marked as possibly older. A copy of a request that the giver has handed to
// another peer, because this node did not answer, is dropped.
func (x *Exchange) startOnLeaseExpiry(id string) {
	takenElsewhere := x.isTakenElsewhere(id)
	held := x.claimHeld(id, true)
	if held == nil {
		return
	}
	if takenElsewhere {
		x.config.Logger.Info("lease expired; dropping the copy of a request that another node has taken over",
			"request", id)
		x.drop(id)
		return
	}
	x.metrics.leaseStarted.Inc()
	x.config.Logger.Warn("lease expired without a start call; starting request from held copy",
		"request", id)
	held.snapshot.MarkStale()
	x.takeOver(held.snapshot)
}

// isTakenElsewhere reports whether another node has taken over a held request from
// the giver, or holds a later copy of it.
func (x *Exchange) isTakenElsewhere(id string) bool {
	x.mu.Lock()
	held, ok := x.held[id]
	var snapshot request.Snapshot
	if ok {
		snapshot = held.snapshot
	}
	x.mu.Unlock()
	if !ok {
		return false
	}
	entry, found := x.lookup(x.config.Context, idName(id))
	if found && entry.Holder != x.config.Address && entry.Hops > snapshot.Hops {
		return true
	}
	// An entry of a copy may outlive the copy, so its holder is asked.
	entry, found = x.lookup(x.config.Context, heldName(id))
	return found && entry.Holder != x.config.Address && entry.Hops > snapshot.Hops &&
		x.askHolder(x.config.Context, snapshot, entry.Holder) == holderReady
}

// drop removes a copy from the held ones.
func (x *Exchange) drop(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.held, id)
}

// takeOver makes this node the holder of a request and resumes it. It returns false
// if another request has taken its ID or key.
func (x *Exchange) takeOver(snapshot request.Snapshot) bool {
	snapshot.Hops++
	q := request.Restore(snapshot)
	_, added := x.config.Board.Requests.Add(q)
	x.drop(q.Call.ID)
	if !added {
		x.config.Logger.Warn("dropped a held request whose key is taken",
			"request", q.Call.ID)
		return false
	}
	x.metrics.taken.Inc()
	x.config.Logger.Info("request taken over",
		"request", q.Call.ID,
		"tokens", len(snapshot.IDs),
		"epoch", snapshot.Epoch)
	go x.register(caller.Query{
		ID:           q.Call.ID,
		Organisation: q.Call.Organisation,
		Key:          q.Call.Key,
		Fingerprint:  q.Call.Fingerprint,
		Orphan:       true,
	})
	if q.State() == request.StateAccepted {
		go x.config.Runner.Resume(x.config.Context, q, snapshot.Upstream)
	}
	return true
}
