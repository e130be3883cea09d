package handoff

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast/blackboard"
	"zinniamast/caller"
)

// The directory maps the names of requests to the nodes that hold them. It is
// soft state: every name has two home nodes, chosen by rendezvous hashing in two
// failure domains, and an entry lives no longer than its request. If both homes
// are lost, a model request may run a second time, but no answer becomes wrong.

const (
	// entryTTL is how long an entry is valid; it exceeds the time for which the
	// holder retains an ended request.
	entryTTL = 4 * time.Minute
	// maxEntries bounds the entries in the directory of one node.
	maxEntries = 200_000
)

// Entry records which node holds a request.
type Entry struct {
	// Holder is the host:port of the node that holds the request.
	Holder string
	// Node is the holder's name.
	Node string
	// ID is the request's ID.
	ID string
	// Fingerprint is the hash of the request's organisation and body.
	Fingerprint uint64
	// Hops counts the handoffs by which the request reached the holder.
	Hops int

	entered time.Time
	expires time.Time
}

type directory struct {
	mu      sync.Mutex
	entries map[string]Entry
}

func newDirectory() *directory {
	return &directory{
		entries: map[string]Entry{},
	}
}

// get returns the entry of a name.
func (d *directory) get(name string) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry, ok := d.entries[name]
	if ok && time.Now().After(entry.expires) {
		delete(d.entries, name)
		return Entry{}, false
	}
	return entry, ok
}

// put sets the entry of a name.
func (d *directory) put(name string, entry Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evict()
	entry.entered = time.Now()
	entry.expires = entry.entered.Add(entryTTL)
	d.entries[name] = entry
}

// evict makes space in a full directory: it removes expired entries, and
// arbitrary others up to a tenth of the directory. The caller holds the lock.
func (d *directory) evict() {
	if len(d.entries) < maxEntries {
		return
	}
	now := time.Now()
	dropped := 0
	for name, entry := range d.entries {
		if now.After(entry.expires) || dropped < maxEntries/10 {
			delete(d.entries, name)
			dropped++
		}
	}
}

// queryNames returns the names under which a query's request may be registered.
func queryNames(query caller.Query) []string {
	var all []string
	if query.Key != "" {
		all = append(all, keyName(query))
	}
	if query.ID != "" {
		all = append(all, idName(query.ID))
	}
	if query.Key == "" && query.Orphan {
		all = append(all, fingerprintName(query))
	}
	return all
}

func idName(id string) string { return "id\x00" + id }

// heldName returns the name of a request's copy. It differs from the names of the
// request itself, so that callers are not led to a copy while the giver still runs.
func heldName(id string) string { return "held\x00" + id }

func keyName(query caller.Query) string {
	return "key\x00" + query.Organisation + "\x00" + query.Key
}

func fingerprintName(query caller.Query) string {
	return "print\x00" + strconv.FormatUint(query.Fingerprint, 36)
}

// home is a node that stores the entry of a name. A node knows every member of
// its own failure domain but only some contacts in other ones. A contact in
// another domain forwards the call to the home, which it can determine.
type home struct {
	member  blackboard.Member
	forward bool
}

// homes returns one home in each of the two failure domains that rank highest
// by rendezvous hash.
func (x *Exchange) homes(name string) []home {
	domains := map[string][]blackboard.Member{}
	for _, member := range x.config.Board.Members.All() {
		if !member.Dead && member.Address != "" {
			domains[member.FailureDomain] = append(domains[member.FailureDomain], member)
		}
	}
	ranked := slices.SortedFunc(maps.Keys(domains), func(a, b string) int {
		return cmp.Compare(rendezvousRank(name, b), rendezvousRank(name, a))
	})
	var homes []home
	for _, domain := range ranked[:min(len(ranked), homesPerName)] {
		homes = append(homes, home{
			member:  highestRanked(name, domains[domain]),
			forward: domain != x.config.FailureDomain,
		})
	}
	return homes
}

// homesPerName is the number of failure domains that store the entry of a name.
const homesPerName = 2

// rendezvousRank returns the rank of a candidate for a name; it is the same on
// every node.
func rendezvousRank(name, candidate string) uint64 {
	return xxh3.HashStringSeed(name, xxh3.HashString(candidate))
}

// highestRanked returns the member that ranks highest for a name.
func highestRanked(name string, members []blackboard.Member) blackboard.Member {
	return slices.MaxFunc(members, func(a, b blackboard.Member) int {
		return cmp.Compare(rendezvousRank(name, a.ID), rendezvousRank(name, b.ID))
	})
}

// localHome returns the home of a name in this node's failure domain.
func (x *Exchange) localHome(name string) blackboard.Member {
	var members []blackboard.Member
	for _, member := range x.config.Board.Members.All() {
		if !member.Dead && member.Address != "" && member.FailureDomain == x.config.FailureDomain {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		return blackboard.Member{
			ID: x.config.Node,
		}
	}
	return highestRanked(name, members)
}

// isAlive reports whether the holder of an entry is not known to be dead.
func (x *Exchange) isAlive(entry Entry) bool {
	member, ok := x.config.Board.Members.Get(entry.Node)
	return !ok || !member.Dead
}
