package roster

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"zinniamast"
)

// Holders returns up to count instances that hold something under a key for all instances,
// the first one first; this one may be among them. Each failure domain has one before any has two, so that
// the loss of a domain does not take them all. Instances with the same roster choose the
// same ones.
func (r *Roster) Holders(key string, count int) []zinniamast.Instance {
	type ranked struct {
		instance zinniamast.Instance
		rank     uint64
		// round is the number of higher-ranked instances of the same failure domain.
		round int
	}
	seed := xxh3.HashString(key)
	var all []ranked
	for _, instance := range r.Instances() {
		all = append(all, ranked{
			instance: instance,
			rank:     xxh3.HashStringSeed(instance.ID, seed),
		})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	rounds := map[string]int{}
	for i := range all {
		domain := all[i].instance.FailureDomain
		all[i].round = rounds[domain]
		rounds[domain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	holders := make([]zinniamast.Instance, 0, count)
	for _, holder := range all[:min(count, len(all))] {
		holders = append(holders, holder.instance)
	}
	return holders
}
