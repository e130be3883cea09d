package canary_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
)

var (
	// logPlays prints what the nodes of each play log.
	logPlays bool
	// matrixSeeds is the number of plays of each cell of the matrix.
	matrixSeeds = flag.Int("canary.seeds", 1, "plays of each cell")
	matrixFirst = flag.Uint64("canary.first", 1, "first seed")
	matrixNodes = flag.Int("canary.nodes", 6, "nodes: 6, 78 or 195")
)

func init() { flag.BoolVar(&logPlays, "canary.log", false, "print logs of plays") }

var sizes = map[int]size{
	6: {
		nodes:    6,
		replicas: 12,
		rate:     120,
	},
	78: {
		nodes:    78,
		replicas: 60,
		rate:     400,
	},
	195: {
		nodes:    195,
		replicas: 93,
		rate:     600,
	},
}

var good = badness{
	name: "good",
}

var badVersions = []badness{
	{
		name:  "fails 5 of 100",
		fails: 0.05,
		route: -1,
	},
	{
		name:  "fails 20 of 100",
		fails: 0.2,
		route: -1,
	},
	{
		name:  "fails always",
		fails: 1,
		route: -1,
	},
	{
		name:   "3 times slower",
		slower: 3,
		route:  -1,
	},
	{
		name:   "8 times slower",
		slower: 8,
		route:  -1,
	},
	{
		name:  "from the sixth second",
		fails: 0.5,
		after: 6 * time.Second,
		route: -1,
	},
	{
		name:  "above half load",
		fails: 0.5,
		load:  0.5,
		route: -1,
	},
	{
		name:  "on one route",
		fails: 0.8,
		route: 2,
	},
}

var troubles = []trouble{
	{
		name: "calm",
		play: func(*world) {},
	},
	{
		name: "a quarter of all replicas fail 4 of 10",
		play: func(w *world) {
			w.at(8*time.Second, func() {
				for _, r := range w.replicas {
					if w.random.IntN(4) == 0 {
						r.fails, r.failUntil = 0.4, w.now.Add(6*time.Second)
					}
				}
			})
		},
	},
	{
		name: "old replicas are slow",
		play: func(w *world) {
			w.at(7*time.Second, func() {
				for i, r := range w.replicas {
					if r.version == oldVersion && i%3 == 0 {
						r.slower = 4
						w.after(8*time.Second, func() { r.slower = 1 })
					}
				}
			})
		},
	},
	{
		name: "crowd",
		play: func(w *world) {
			w.at(8*time.Second, func() { w.rate *= 2.5 })
			w.at(14*time.Second, func() { w.rate /= 2.5 })
		},
	},
	{
		name: "a domain cut off",
		play: func(w *world) {
			w.at(9*time.Second, func() { w.cutDomain(1, true) })
			w.at(14*time.Second, func() { w.cutDomain(1, false) })
		},
	},
	{
		name: "reclaim",
		play: func(w *world) {
			w.at(9*time.Second, func() { w.reclaim("domain-2") })
		},
	},
	{
		name: "leader killed",
		play: func(w *world) {
			for _, at := range []time.Duration{7 * time.Second, 17 * time.Second} {
				w.at(at, func() {
					if w.leader != nil {
						w.leader.startUp()
						w.loseLease()
					}
				})
			}
		},
	},
	{
		name: "all killed",
		play: func(w *world) { w.at(10*time.Second, w.killAll) },
	},
	{
		name: "store away",
		play: func(w *world) {
			w.at(8*time.Second, func() { w.store.isAway = true })
			w.at(10*time.Second, func() { w.leader = nil })
			w.at(13*time.Second, func() {
				w.store.isAway = false
				w.takeLease()
			})
		},
	},
	{
		name: "answers of the store lost",
		play: func(w *world) {
			w.store.losesAnswers = true
			w.at(20*time.Second, func() { w.store.losesAnswers = false })
		},
	},
}

func (w *world) cutDomain(i int, isCut bool) {
	for _, n := range w.nodes {
		if n.domain == fmt.Sprint("domain-", i) {
			n.isCut = isCut
			n.cutEnds = w.now
		}
	}
	if w.leader != nil && w.leader.isCut {
		w.loseLease()
	}
}

// reclaim takes the replicas of a failure domain away; others come 4 s later.
func (w *world) reclaim(domain string) {
	for _, r := range w.replicas {
		if r.domain == domain && !r.isGone {
			r.isGone = true
			version := r.version
			w.after(bootTime, func() { w.addReplica(version, w.now) })
		}
	}
	for _, n := range w.nodes {
		n.readReplicas()
		w.after(bootTime+time.Second, n.readReplicas)
	}
}

// playedTroubles returns the columns of the matrix, of which short tests play the first.
func playedTroubles() []trouble {
	if testing.Short() {
		return troubles[:1]
	}
	return troubles
}

// within is the time of the rollouts of the matrix.
const within = 28 * time.Second

// cellResult sums up the plays of a cell.
type cellResult struct {
	plays, completed, inTime, rolledBack int
	exposure                             float64
	late, cut                            int
	// lead is how long before its time the last rollout was completed.
	lead time.Duration
}

func playCell(t *testing.T, s size, bad badness, tr trouble, seeds int) cellResult {
	var result cellResult
	for i := range seeds {
		w := newWorld(t, s, bad, within, *matrixFirst+uint64(i))
		tr.play(w)
		w.play(within + 20*time.Second)
		result.plays++
		state := w.store.record.State
		if state == zinniamast.RolloutCompleted {
			result.completed++
			result.lead = w.deadline().Sub(w.completedAt)
			if !w.completedAt.After(w.deadline()) {
				result.inTime++
			}
		}
		if state == zinniamast.RolloutRolledBack {
			result.rolledBack++
		}
		bound := exposureShare*float64(w.requests) + exposureSlack
		result.exposure = max(result.exposure, float64(w.exposed)/bound)
		result.late += w.lateSends
		result.cut += w.cut
	}
	return result
}

// Guards against a good version that is condemned or not completed in time, and against callers that are cut off when the old replicas stop.
func TestGoodVersionIsCompletedBesideTrouble(t *testing.T) {
	s := sizes[*matrixNodes]
	for _, tr := range playedTroubles() {
		t.Run(tr.name, func(t *testing.T) {
			check := is.New(t)
			result := playCell(t, s, good, tr, *matrixSeeds)
			t.Logf("completed in time %d, later %d, rolled back %d, cut %d of %d plays, lead %v",
				result.inTime, result.completed-result.inTime, result.rolledBack, result.cut, result.plays, result.lead)
			check.Equal(result.rolledBack, 0)
			check.Equal(result.cut, 0)
			check.True(float64(result.inTime) >= 0.95*float64(result.plays))
		})
	}
}

// Guards against a bad version that gets more requests than the bound, or any once it is known.
func TestBadVersionIsRolledBack(t *testing.T) {
	s := sizes[*matrixNodes]
	for _, bad := range badVersions {
		for _, tr := range playedTroubles() {
			t.Run(bad.name+"/"+tr.name, func(t *testing.T) {
				check := is.New(t)
				result := playCell(t, s, bad, tr, *matrixSeeds)
				t.Logf("rolled back %d, exposure %.2f of the bound, late sends %d, cut %d of %d plays",
					result.rolledBack, result.exposure, result.late, result.cut, result.plays)
				check.Equal(result.rolledBack, result.plays)
				check.True(result.exposure <= 0.5)
				check.Equal(result.late, 0)
				check.Equal(result.cut, 0)
			})
		}
	}
}
