package throttle

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Holders returns the other nodes that hold one of a replica's first places, see Share. Nodes that
// list other nodes than this one may hold others. Zero places means that the replica lists none.
func (o *Owners) Holders(replica string, places int) []string {
	if places == 0 {
		places = defaultSlots
	}
	type ranked struct {
		node string
		hash uint64
	}
	seed := xxh3.HashString(replica)
	others := o.others()
	nodes := make([]ranked, 0, len(others)+1)
	for _, id := range append(slices.Clone(others), o.Node) {
		nodes = append(nodes, ranked{
			node: id,
			hash: xxh3.HashStringSeed(id, seed),
		})
	}
	slices.SortFunc(nodes, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	holders := make([]string, 0, min(places, len(nodes)))
	for _, n := range nodes[:min(max(places, 0), len(nodes))] {
		if n.node != o.Node {
			holders = append(holders, n.node)
		}
	}
	return holders
}
