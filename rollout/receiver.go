package rollout

import "context"

// ServiceName is the RPC name under which the Receiver is registered for peers.
const ServiceName = "Rollout"

// Fetch requests the version in force if its number is greater than After.
type Fetch struct {
	After uint64
}

// FetchReply carries the version in force, or nil if its number is not greater.
type FetchReply struct {
	Entry *Entry
}

// Spread delivers a version to a node, or only queries the node's version if
// Entry is nil.
type Spread struct {
	Entry *Entry
	// Difference, if not nil, replaces the entry's configuration.
	Difference *Difference
	// Relay makes the node forward the message to its whole failure domain.
	Relay bool
}

// SpreadReply reports the versions that nodes have in force, the called node
// first.
type SpreadReply struct {
	Nodes []NodeVersion
}

// Receiver serves calls from peers; it is registered with
// peer.Server.RegisterPeer.
type Receiver struct {
	r *Rollout
}

// Receiver returns the RPC receiver for calls from peers.
func (r *Rollout) Receiver() *Receiver {
	return &Receiver{
		r: r,
	}
}

// Fetch returns the version in force if it is newer than the caller's.
func (c *Receiver) Fetch(args Fetch, reply *FetchReply) error {
	if local := c.r.localEntry(); local != nil && local.Number > args.After {
		reply.Entry = local
	}
	return nil
}

// Spread applies a version and reports the version in force. A difference from
// a version that this node does not have changes nothing; the lower number in
// the reply makes the sender send the version in full.
func (c *Receiver) Spread(args Spread, reply *SpreadReply) error {
	entry := c.r.resolveEntry(args)
	if entry != nil {
		_ = c.r.apply(entry, "push")
	}
	reply.Nodes = []NodeVersion{c.r.localVersion()}
	if !args.Relay || args.Entry != nil && entry == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout*2/3)
	defer cancel()
	args.Relay = false
	reply.Nodes = append(reply.Nodes, c.r.spreadLocalDomain(ctx, push{
		full: Spread{
			Entry: entry,
		},
		delta: args,
	})...)
	return nil
}
