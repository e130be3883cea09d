package blackboard

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Member is this node's view of an entry instance.
type Member struct {
	// ID is the instance's name.
	ID string
	// FailureDomain is the failure domain in which it runs.
	FailureDomain string
	// Address is host:port of its peer listener.
	Address string
	// Incarnation rises with each start and each time the instance refutes a false
	// report of its failure.
	Incarnation uint64
	// Weight is its size relative to the others.
	Weight float64
	// Leaving means that it takes no new requests.
	Leaving bool
	// Dead means that nothing was received from it for the failure timeout.
	Dead bool
	// Heard is the time at which this node last received a report about it.
	Heard time.Time
	// ConfigVersion is the configuration version it last reported.
	ConfigVersion uint64
}

// Members is the table of entry instances.
type Members struct {
	mu       sync.Mutex
	members  map[string]Member
	snapshot atomic.Pointer[[]Member]
}

// NewMembers returns an empty table.
func NewMembers() *Members {
	m := &Members{members: map[string]Member{}}
	m.snapshot.Store(&[]Member{})
	return m
}

// All returns every member, ordered by ID. The slice is shared and must not be
// modified.
func (m *Members) All() []Member { return *m.snapshot.Load() }

// Get returns a member.
func (m *Members) Get(id string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member, ok := m.members[id]
	return member, ok
}

// TurnInterval returns the time until a node's next turn at periodic work that the
// live nodes of its failure domain do in turns. The domain as a whole has a turn
// every apart, so a node's interval is apart times the number of live nodes, within
// the bounds shortest and longest. Jitter is added so that turns are spread.
func (m *Members) TurnInterval(failureDomain string, apart, shortest, longest time.Duration) time.Duration {
	nodes := 0
	for _, member := range m.All() {
		if member.FailureDomain == failureDomain && !member.Dead {
			nodes++
		}
	}
	interval := min(max(time.Duration(nodes)*apart, shortest), longest)
	return interval*3/4 + rand.N(interval/2)
}

// Update changes one member under the table's lock and reports whether it changed.
// The change function receives the known member or a zero one, and returns false to
// leave the table unchanged.
func (m *Members) Update(id string, change func(*Member) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.members[id]
	member.ID = id
	if !change(&member) {
		return false
	}
	m.members[id] = member
	m.publish(member)
	return true
}

// Remove removes a member from the table.
func (m *Members) Remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.members, id)
	all := m.All()
	if at, ok := find(all, id); ok {
		all = slices.Concat(all[:at], all[at+1:])
		m.snapshot.Store(&all)
	}
}

// publish replaces the readers' snapshot by one with another state of a member; the caller
// holds the lock. Most changes are times of contact, several a second for each member, so
// that the members are not sorted again for each.
func (m *Members) publish(member Member) {
	known := m.All()
	at, ok := find(known, member.ID)
	all := make([]Member, 0, len(known)+1)
	all = append(append(all, known[:at]...), member)
	if ok {
		at++
	}
	all = append(all, known[at:]...)
	m.snapshot.Store(&all)
}

// find returns the place of a member in a list ordered by ID, and whether it is there.
func find(all []Member, id string) (int, bool) {
	return slices.BinarySearchFunc(all, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}
