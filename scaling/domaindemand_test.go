package scaling_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/scaling"
)

// roundTime is the time between two rounds of planning.
const roundTime = 500 * time.Millisecond

// history feeds observations of the failure domains a to d to a DomainDemand.
type history struct {
	scaling.DomainDemand
	now     time.Duration
	present map[string]int
}

// run observes a demand for some time and returns the last shares. A demand below zero is
// unknown.
func (h *history) run(demand []float64, last time.Duration) map[string]float64 {
	var shares map[string]float64
	for end := h.now + last; h.now < end; h.now += roundTime {
		o := observation(domains, h.now)
		for i, value := range demand {
			if value >= 0 {
				o.Demand[domains[i]] = value
			}
			o.Present[domains[i]] = h.present[domains[i]]
		}
		shares = h.Update(o)
	}
	return shares
}

var (
	evenDemand   = []float64{10, 10, 10, 10}
	unevenDemand = []float64{40, 10, 10, 10}
)

// Guards against plans that follow a burst or a small difference.
func TestOnlyLastingDifferencesCount(t *testing.T) {
	check := is.New(t)
	h := &history{}
	check.True(h.run(evenDemand, 20*time.Second) == nil)
	check.True(h.run(unevenDemand, 10*time.Second) == nil)
	check.True(h.run(evenDemand, time.Second) == nil)
	check.True(h.run([]float64{12, 10, 8, 8}, 60*time.Second) == nil)       // 4 of 9.5
	check.True(h.run([]float64{0.9, 0.1, 0.1, 0.1}, 60*time.Second) == nil) // less than a replica
	check.True(h.run([]float64{219, 167, 190, 195}, 60*time.Second) == nil) // the second customer
	check.True(h.run([]float64{40, -1, -1, -1}, 60*time.Second) == nil)     // one is known
	shares := h.run(unevenDemand, 11*time.Second)
	check.True(math.Abs(shares["a"]-4.0/7) < 0.01)
	check.True(math.Abs(shares["b"]-1.0/7) < 0.01)
}

// Guards against replicas that are moved back as soon as demand is even: shares are equal
// until the distribution is.
func TestSharesAreEqualUntilReplicasAre(t *testing.T) {
	check := is.New(t)
	h := &history{
		present: map[string]int{"a": 10, "b": 10, "c": 10, "d": 10},
	}
	h.run(unevenDemand, 12*time.Second)
	h.present = map[string]int{"a": 20, "b": 7, "c": 7, "d": 7}
	shares := h.run(evenDemand, 120*time.Second)
	check.Equal(shares["a"], 0.25)
	check.Equal(shares["b"], 0.25)
	h.present = map[string]int{"a": 11, "b": 10, "c": 10, "d": 9}
	check.True(h.run(evenDemand, time.Second) == nil)

	h.run(unevenDemand, 45*time.Second)
	h.present = map[string]int{"a": 20, "b": 7, "c": 7, "d": 7}
	check.True(h.run(evenDemand, 4*time.Minute) != nil)
	check.True(h.run(evenDemand, 3*time.Minute) == nil) // demand is even for good
}

// Guards against unknown load that counts as none, or that ends the shares of the others.
func TestUnknownLoadHasNoShare(t *testing.T) {
	check := is.New(t)
	h := &history{}
	h.run(unevenDemand, 12*time.Second)
	for range 4 {
		shares := h.run([]float64{40, 10, 10, -1}, 20*time.Second)
		_, hasShare := shares["d"]
		check.True(!hasShare)
		check.True(shares["a"] > 3*shares["b"])
	}
	shares := h.run([]float64{-1, -1, -1, 10}, 20*time.Second)
	check.True(shares != nil)
	check.Equal(len(shares), 0) // each keeps its replicas
}

// Guards against a new lease holder that spreads its predecessor's replicas evenly before it
// knows the demand, and against one that keeps an uneven distribution without a reason.
func TestNewHolderKeepsTheDistribution(t *testing.T) {
	for name, c := range map[string]struct {
		demand []float64
		first  bool // keeps the distribution at first
		later  bool // keeps it after a minute
	}{
		"uneven demand":         {demand: unevenDemand, first: true, later: true},
		"even demand":           {demand: evenDemand},
		"unknown demand":        {demand: []float64{-1, -1, -1, -1}, first: true},
		"one domain unknown":    {demand: []float64{40, 10, 10, -1}, first: true, later: true},
		"only its own is known": {demand: []float64{40, -1, -1, -1}, first: true},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			h := &history{
				present: map[string]int{"a": 20, "b": 7, "c": 7, "d": 7},
			}
			check.Equal(h.run(c.demand, roundTime) != nil, c.first)
			check.Equal(h.run(c.demand, 8*time.Second) != nil, c.first)
			check.Equal(h.run(c.demand, time.Minute) != nil, c.later)
		})
	}
	check := is.New(t)
	even := &history{
		present: map[string]int{"a": 10, "b": 10, "c": 10, "d": 10},
	}
	check.True(even.run(unevenDemand, 5*time.Second) == nil) // not yet lasting
}

// Guards against plans that follow alternating demand back and forth, while replicas are
// lost and replaced all the time.
func TestAlternatingDemandChangesDirectionOncePerHalfMinute(t *testing.T) {
	for _, period := range []time.Duration{4, 8, 15, 22, 35, 50, 90} { // seconds
		t.Run((period * time.Second).String(), func(t *testing.T) {
			check := is.New(t)
			for seed := range uint64(4) {
				for _, k := range planAlternating(period*time.Second, seed) {
					check.True(k.shortest >= 30*time.Second || k.turns < 2)
				}
			}
		})
	}
}

// planAlternating plans for 20 minutes while the demand of the failure domains a and b
// alternates, and returns the directions of the plans of all failure domains.
func planAlternating(period time.Duration, seed uint64) map[string]*track {
	r := rand.New(rand.NewPCG(seed, uint64(period)))
	s := unevenState(60, nil)
	start(&s, scaling.Plan(s))
	h := &history{
		present: map[string]int{},
	}
	tracks := map[string]*track{}
	for _, domain := range domains {
		tracks[domain] = &track{
			last: inBoth(s.Present, domain),
		}
	}
	for h.now < 20*time.Minute {
		demand := []float64{10, 10, 10, 10}
		demand[int(h.now/period)%2] = 40
		for _, domain := range domains {
			h.present[domain] = inBoth(s.Present, domain)
		}
		s.Shares = h.run(demand, roundTime)
		now := observation(nil, h.now).At
		s.Rising, s.Falling = h.Trends(now)
		plan := scaling.Plan(s)
		h.RecordPlan(plan, domains, now)
		for _, domain := range domains {
			tracks[domain].add(inBoth(plan, domain), h.now)
		}
		start(&s, plan)
		at := place(domains[r.IntN(len(domains))], zinniamast.Reclaimable)
		if s.Present[at] > 1 && r.IntN(2) == 0 {
			s.Present[at]--
			s.Expected[at]--
		}
	}
	return tracks
}

// track follows the direction of a failure domain's plan.
type track struct {
	last, direction int
	turns           int
	turnedAt        time.Duration
	// shortest is the shortest time between two changes of direction.
	shortest time.Duration
}

func (k *track) add(count int, now time.Duration) {
	direction := 0
	switch {
	case count > k.last:
		direction = 1
	case count < k.last:
		direction = -1
	}
	k.last = count
	if direction == 0 || direction == k.direction {
		return
	}
	if k.direction != 0 {
		k.turns++
		if k.turns == 2 || k.turns > 2 && now-k.turnedAt < k.shortest {
			k.shortest = now - k.turnedAt
		}
		k.turnedAt = now
	}
	k.direction = direction
}

// BenchmarkDomainDemand observes 14 failure domains with even demand, which compares each
// pair of them.
func BenchmarkDomainDemand(b *testing.B) {
	var h scaling.DomainDemand
	names := make([]string, 14)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	now := time.Duration(0)
	for b.Loop() {
		o := observation(names, now)
		for i, domain := range names {
			o.Demand[domain] = float64(20 + i%3)
			o.Present[domain] = 20
		}
		h.Update(o)
		now += roundTime
	}
}
