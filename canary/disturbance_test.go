package canary_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// disturbance is a play in which half of the old replicas fail 3 of 10 answers for a time.
type disturbance struct {
	name  string
	start time.Duration
	// load is the factor of the rate of requests.
	load float64
	// beside is a trouble that comes on top, if any.
	beside func(w *world)
}

// disturbanceTime is longer than a trial, so that requests may move before its end.
const disturbanceTime = 12 * time.Second

var disturbances = []disturbance{
	{
		name: "none",
		load: 1,
	},
	{
		name: "none, at twice the load",
		load: 2,
	},
	{
		name:  "from the eighth second",
		start: 8 * time.Second,
		load:  1,
	},
	{
		name:  "from the fifth second",
		start: 5 * time.Second,
		load:  1,
	},
	{
		name:  "from the twelfth second",
		start: 12 * time.Second,
		load:  1,
	},
	{
		name:  "at 0.8 of the load",
		start: 8 * time.Second,
		load:  0.8,
	},
	{
		name:  "at twice the load",
		start: 8 * time.Second,
		load:  2,
	},
	{
		name:  "leader killed",
		start: 8 * time.Second,
		load:  1,
		beside: func(w *world) {
			w.at(13*time.Second, func() {
				if w.leader != nil {
					w.leader.startUp()
					w.loseLease()
				}
			})
		},
	},
	{
		name:   "all killed",
		start:  8 * time.Second,
		load:   1,
		beside: func(w *world) { w.at(10*time.Second, w.killAll) },
	},
}

// disturbedVersions are bad in ways that failing old replicas hide.
var disturbedVersions = []badness{
	{
		name:  "fails 3 of 100",
		fails: 0.03,
		route: -1,
	},
	{
		name:  "fails 10 of 100",
		fails: 0.1,
		route: -1,
	},
	{
		name:  "fails 30 of 100 on the first route",
		fails: 0.3,
		route: 0,
	},
}

// loadedVersion is bad from a load that the few replicas of a trial seldom bear.
var loadedVersion = badness{
	name:  "fails half of its answers above 0.8 of the load",
	fails: 0.5,
	load:  0.8,
	route: -1,
}

// play lets half of the old replicas fail.
func (d *disturbance) play(w *world) {
	if d.start == 0 {
		return
	}
	w.at(d.start, func() {
		var old []*worldReplica
		for _, r := range w.replicas {
			if r.version == oldVersion {
				old = append(old, r)
			}
		}
		for _, i := range w.random.Perm(len(old))[:len(old)/2] {
			old[i].fails, old[i].failUntil = 0.3, w.now.Add(disturbanceTime)
		}
	})
	if d.beside != nil {
		d.beside(w)
	}
}

// size returns the size of a disturbed world.
func (d *disturbance) size() size {
	s := sizes[*matrixNodes]
	s.rate *= d.load
	return s
}

// trouble returns the disturbance as a column of the matrix.
func (d *disturbance) trouble() trouble {
	return trouble{
		name: d.name,
		play: d.play,
	}
}

func playedDisturbances() []disturbance {
	if testing.Short() {
		return disturbances[2:3]
	}
	return disturbances
}

// Guards against a bad version that is completed because it is trusted while old replicas fail too.
func TestBadVersionIsRolledBackBesideFailingOldReplicas(t *testing.T) {
	for _, bad := range disturbedVersions {
		for _, d := range playedDisturbances() {
			t.Run(bad.name+"/"+d.name, func(t *testing.T) {
				check := is.New(t)
				result := playCell(t, d.size(), bad, d.trouble(), *matrixSeeds)
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

// Guards against a bad version that gets more requests than the bound because the replicas of its trial seldom bear the load at which it fails.
func TestVersionThatIsBadUnderLoadIsRolledBack(t *testing.T) {
	check := is.New(t)
	result := playCell(t, sizes[*matrixNodes], loadedVersion, troubles[0], *matrixSeeds)
	t.Logf("rolled back %d, exposure %.2f of the bound, late sends %d, cut %d of %d plays",
		result.rolledBack, result.exposure, result.late, result.cut, result.plays)
	check.Equal(result.rolledBack, result.plays)
	check.True(result.exposure <= 0.5)
	check.Equal(result.late, 0)
	check.Equal(result.cut, 0)
}

// Guards against a good version that is held back because old replicas fail beside it.
func TestGoodVersionIsCompletedBesideFailingOldReplicas(t *testing.T) {
	for _, d := range playedDisturbances() {
		t.Run(d.name, func(t *testing.T) {
			check := is.New(t)
			result := playCell(t, d.size(), good, d.trouble(), *matrixSeeds)
			t.Logf("completed in time %d, later %d, rolled back %d, cut %d of %d plays, lead %v",
				result.inTime, result.completed-result.inTime, result.rolledBack, result.cut, result.plays, result.lead)
			check.Equal(result.rolledBack, 0)
			check.Equal(result.cut, 0)
			check.True(float64(result.inTime) >= 0.95*float64(result.plays))
		})
	}
}
