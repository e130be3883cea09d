package roster

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
)

// Rank orders the instances of a failure domain: of the live ones, the highest reads
// the store and the replicas for the others.
func Rank(id string) uint64 { return xxh3.HashString(id) }

// Contacts returns the peer addresses of a failure domain's listed instances and of the
// members there, the highest rank first, without those that are dead or leaving.
//
// The members alone are not enough: they include only a few instances of other failure
// domains, and after a start none until gossip has told of them.
func Contacts(failureDomain string, listed []zinniamast.Instance, members []blackboard.Member) []string {
	addresses := map[string]string{}
	for _, instance := range listed {
		if instance.FailureDomain == failureDomain {
			addresses[instance.ID] = instance.Address
		}
	}
	for _, member := range members {
		if member.FailureDomain != failureDomain {
			continue
		}
		if member.Dead || member.Leaving {
			delete(addresses, member.ID)
		} else {
			addresses[member.ID] = member.Address
		}
	}
	ids := make([]string, 0, len(addresses))
	for id := range addresses {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(Rank(b), Rank(a)) })
	contacts := make([]string, len(ids))
	for i, id := range ids {
		contacts[i] = addresses[id]
	}
	return contacts
}
