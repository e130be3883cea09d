package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// ring places prefixes on replicas by consistent hashing, so that nodes that
// know nothing of each other's history still send a prefix to the same place.
type ring struct {
	points []point
}

type point struct {
	position uint64
	replica  *replica
}

func newRing(replicas []*replica) ring {
	points := make([]point, len(replicas))
	for i, replica := range replicas {
		points[i] = point{
			position: replica.hash,
			replica:  replica,
		}
	}
	slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.position, b.position) })
	return ring{
		points: points,
	}
}

// probesPerPrefix is how many places of the ring a prefix looks at. One point per
// replica and several probes spread evenly with a small ring, which is cheap
// to build again when replicas come and go.
const probesPerPrefix = 5

// home returns the replica closest after any of the prefix's probes that may
// take work, or nil.
func (g ring) home(prefix uint64, usable func(*replica) bool) *replica {
	var best *replica
	nearest := ^uint64(0)
	for probe := range uint64(probesPerPrefix) {
		at := mix(prefix, probe)
		found := g.firstUsable(at, usable)
		if found == nil {
			return nil
		}
		if gap := found.hash - at; gap <= nearest {
			nearest = gap
			best = found
		}
	}
	return best
}

// maxProbeSteps bounds how many replicas in a row a probe may pass over.
const maxProbeSteps = 8

func (g ring) firstUsable(at uint64, usable func(*replica) bool) *replica {
	start := sort.Search(len(g.points), func(i int) bool { return g.points[i].position >= at })
	for step := range min(maxProbeSteps, len(g.points)) {
		candidate := g.points[(start+step)%len(g.points)].replica
		if usable(candidate) {
			return candidate
		}
	}
	return nil
}

// mix derives a probe's place from a prefix.
func mix(prefix, probe uint64) uint64 {
	x := prefix + probe*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func hashID(id string) uint64 { return xxh3.HashString(id) }
