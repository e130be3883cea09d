package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/zeebo/xxh3"
)

// ring places prefixes on replicas by consistent hashing, so that nodes without a
// shared history still send a prefix to the same replica.
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

// probesPerPrefix is the number of ring positions tried per prefix. One point per
// replica and several probes spread prefixes evenly over a small ring, which is cheap
// to rebuild when replicas are added or removed.
const probesPerPrefix = 5

// home returns the usable replica with the smallest distance after any of the prefix's
// probes, or nil.
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

// maxProbeSteps bounds the number of consecutive points that a probe tries.
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

// mix derives the ring position of a probe from a prefix.
func mix(prefix, probe uint64) uint64 {
	x := prefix + probe*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

func hashID(id string) uint64 { return xxh3.HashString(id) }
