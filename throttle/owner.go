package throttle

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
)

// Owners decides which node is the owner of a replica.
type Owners struct {
	// Node is this instance's name, and FailureDomain the one in which it runs.
	Node          string
	FailureDomain string
	// Members lists the nodes of this failure domain.
	Members *blackboard.Members
	// Instances returns all nodes, which may include some that no longer run.
	Instances func() []zinniamast.Instance

	// mu guards alive, the other nodes as of listedAt.
	mu       sync.Mutex
	alive    []string
	listedAt time.Time
}

// listInterval is how often the nodes are listed anew for their shares.
const listInterval = 500 * time.Millisecond

// IsOwner reports whether this node is the owner of a replica: the one with the highest
// hash among the live nodes of the replica's failure domain, which know each other. A node
// of another domain may be the owner only if that domain has no nodes.
func (o *Owners) IsOwner(replica, failureDomain string) bool {
	seed := xxh3.HashString(replica)
	isBehind := func(other string) bool {
		return other != o.Node && xxh3.HashStringSeed(other, seed) > xxh3.HashStringSeed(o.Node, seed)
	}
	if failureDomain == o.FailureDomain {
		for _, member := range o.Members.All() {
			if member.FailureDomain == failureDomain && !member.Dead && !member.Leaving && isBehind(member.ID) {
				return false
			}
		}
		return true
	}
	instances := o.Instances()
	for _, instance := range instances {
		if instance.FailureDomain == failureDomain || isBehind(instance.ID) {
			return false
		}
	}
	return len(instances) > 0
}

// Share is a node's share of what a replica has room for, if every node takes its turn.
type Share struct {
	// Rank is the node's place in the order of the replica's nodes, and Nodes their number.
	Rank  int
	Nodes int
}

// Holds reports whether the node holds the place with the given index.
func (s Share) Holds(index int) bool { return index%s.Nodes == s.Rank }

// Of returns how many of a replica's first places the node holds.
func (s Share) Of(places int) int {
	held := places / s.Nodes
	if s.Rank < places%s.Nodes {
		held++
	}
	return held
}

// Share returns this node's share of a replica's places. The order of the nodes differs from
// replica to replica, so that each node holds places at some of them.
func (o *Owners) Share(replica string) Share {
	seed := xxh3.HashString(replica)
	own := xxh3.HashStringSeed(o.Node, seed)
	share := Share{
		Nodes: 1,
	}
	for _, id := range o.others() {
		share.Nodes++
		if xxh3.HashStringSeed(id, seed) > own {
			share.Rank++
		}
	}
	return share
}

// Nodes returns the names of all nodes that may be alive, this one among them.
func (o *Owners) Nodes() []string { return append(slices.Clone(o.others()), o.Node) }

// others returns the other nodes that may be alive.
func (o *Owners) others() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.listedAt.IsZero() && time.Since(o.listedAt) < listInterval {
		return o.alive
	}
	o.alive, o.listedAt = o.listOthers(), time.Now()
	return o.alive
}

func (o *Owners) listOthers() []string {
	alive := map[string]bool{}
	for _, instance := range o.Instances() {
		alive[instance.ID] = true
	}
	for _, member := range o.Members.All() {
		alive[member.ID] = !member.Dead && !member.Leaving
	}
	alive[o.Node] = false
	maps.DeleteFunc(alive, func(_ string, isAlive bool) bool { return !isAlive })
	return slices.Collect(maps.Keys(alive))
}
