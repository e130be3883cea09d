package canary

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"zinniamast/blackboard"
)

// versions are the software versions among the replicas of a service.
type versions struct {
	list []*blackboard.Upstream
	all  map[string]*version
	// firstRevisions holds the platform's revision at which this node first saw a replica of
	// each version.
	firstRevisions map[string]uint64
}

// version is one software version.
type version struct {
	upstreams     []*blackboard.Upstream
	firstRevision uint64
	// isOldest means that no replica of another version started before the first of this one.
	isOldest bool
	started  time.Time
}

// update brings the versions up to date with a list of replicas, which is a new slice after
// each change.
func (v *versions) update(list []*blackboard.Upstream) {
	if v.all != nil && len(list) == len(v.list) && (len(list) == 0 || &list[0] == &v.list[0]) {
		return
	}
	if v.firstRevisions == nil {
		v.firstRevisions = map[string]uint64{}
	}
	v.list = list
	v.all = map[string]*version{}
	for _, u := range list {
		name := u.Instance.Version
		known := v.all[name]
		if known == nil {
			known = &version{
				started: u.Instance.Started,
			}
			v.all[name] = known
		}
		known.upstreams = append(known.upstreams, u)
		if u.Instance.Started.Before(known.started) {
			known.started = u.Instance.Started
		}
		if first, ok := v.firstRevisions[name]; !ok || u.Revision < first {
			v.firstRevisions[name] = u.Revision
		}
	}
	var oldest *version
	for name, known := range v.all {
		known.firstRevision = v.firstRevisions[name]
		if oldest == nil || known.isBefore(oldest) {
			oldest = known
		}
	}
	if oldest != nil {
		oldest.isOldest = true
	}
}

// isBefore reports whether a version began to serve before another.
func (v *version) isBefore(other *version) bool {
	if !v.started.Equal(other.started) {
		return v.started.Before(other.started)
	}
	return v.firstRevision < other.firstRevision
}

func (v *versions) has(name string) bool { return v.all[name] != nil }

// hasOther reports whether a version that is not barred has a replica beside the given one.
func (v *versions) hasOther(name string, barred []string) bool {
	for other, known := range v.all {
		if other != name && !slices.Contains(barred, other) && known.usable() > 0 {
			return true
		}
	}
	return false
}

// except returns all versions but one.
func (v *versions) except(name string) []string {
	var others []string
	for other := range v.all {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// before returns the versions that began to serve before the given one.
func (v *versions) before(name string) []string {
	var earlier []string
	for other, known := range v.all {
		if other != name && known.isBefore(v.all[name]) {
			earlier = append(earlier, other)
		}
	}
	return earlier
}

// usable returns the number of replicas that do not leave.
func (v *version) usable() int {
	count := 0
	for _, u := range v.upstreams {
		if !u.Leaving() {
			count++
		}
	}
	return count
}

// running returns the number of this node's attempts at replicas of other versions.
func (v *versions) running(target string) int {
	sum := 0
	for name, known := range v.all {
		if name == target {
			continue
		}
		for _, u := range known.upstreams {
			sum += int(u.Inflight())
		}
	}
	return sum
}

// chosen returns the count replicas of a version whose turn it is, the same ones at all nodes
// that know the same replicas, from as many failure domains as there are.
func (v *versions) chosen(name string, order uint64, count, turn int) []string {
	known := v.all[name]
	if known == nil || count <= 0 {
		return nil
	}
	type ranked struct {
		upstream *blackboard.Upstream
		rank     uint64
		round    int
	}
	var all []ranked
	for _, u := range known.upstreams {
		if !u.Leaving() {
			all = append(all, ranked{
				upstream: u,
				rank:     xxh3.HashStringSeed(u.Instance.ID, order),
			})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	rounds := map[string]int{}
	for i := range all {
		domain := all[i].upstream.Instance.FailureDomain
		all[i].round = rounds[domain]
		rounds[domain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	var ids []string
	for i := range min(count, len(all)) {
		ids = append(ids, all[(turn*count+i)%len(all)].upstream.Instance.ID)
	}
	return ids
}
