package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/capacity"
)

var classes = []capacity.Class{
	{
		Name:  "small",
		Units: 400,
	},
	{
		Name:  "large",
		Units: 1600,
	},
}

// Timing of the trace: a notice comes a minute before the reclaim, weights load in two
// minutes.
const (
	step        = 30 * time.Second
	dayLength   = 24 * time.Hour
	noticeLead  = time.Minute
	warmUpSteps = 20
	loadTime    = 2 * time.Minute
)

// trace is one day of load, prices, reclaims and refusals, the same for each policy.
type trace struct {
	offers [][]zinniamast.Offer
	// lost holds the failure domain whose reclaimable instances get notice in each step.
	lost []string
	// hazard holds the probability for each step that a single reclaimable instance
	// gets notice.
	hazard []float64
	// refused holds the failure domain without offers in each step.
	refused []string
	load    []float64
}

func newTrace(seed uint64, peak float64) *trace {
	random := rand.New(rand.NewPCG(seed, 1))
	domains := []string{"a", "b", "c", "d"}
	level := map[string]float64{}
	t := &trace{}
	steps := int(dayLength / step)
	for i := range steps {
		var offers []zinniamast.Offer
		for n, domain := range domains {
			for _, class := range classes {
				base := class.Units / 400 * (1 + 0.05*float64(n))
				if class.Name == "small" {
					base *= 1.15
				}
				name := domain + class.Name
				level[name] += 0.02*random.NormFloat64() - 0.01*level[name]
				reclaimable := base * 0.35 * math.Exp(level[name])
				offers = append(offers, zinniamast.Offer{
					FailureDomain: domain,
					Class:         class.Name,
					Market:        zinniamast.OnDemand,
					Price:         base,
				}, zinniamast.Offer{
					FailureDomain: domain,
					Class:         class.Name,
					Market:        zinniamast.Reclaimable,
					Price:         reclaimable,
				})
			}
		}
		hour := float64(i) * step.Hours()
		t.offers = append(t.offers, offers)
		t.load = append(t.load, peak*(0.6+0.4*math.Sin((hour-6)/24*2*math.Pi)))
		t.hazard = append(t.hazard, 0.0002)
		t.lost = append(t.lost, "")
		t.refused = append(t.refused, "")
	}
	for i, at := range []int{steps / 3, steps / 2, steps * 3 / 4} {
		t.lost[at] = domains[(i+random.IntN(4))%4]
		for j := at; j < at+int(30*time.Minute/step); j++ {
			t.refused[j] = t.lost[at]
		}
	}
	return t
}

// result is the outcome of a policy on the trace.
type result struct {
	cost     float64
	onTime   float64
	starts   int
	stops    int
	survived float64
}

type policy func(capacity.Snapshot) capacity.Actions

// replay replays the trace; load beyond the ready units in a step counts as late.
func (t *trace) replay(reclaimable float64, decide policy) result {
	var r result
	var fleet []capacity.Instance
	leaving := map[string]int{}
	var served, requested float64
	recentLoads := []float64{}
	next, survivingSteps := 0, 0
	random := rand.New(rand.NewPCG(1, 2))
	for i, load := range t.load {
		now := time.Unix(0, 0).Add(time.Duration(i) * step)
		fleet = slices.DeleteFunc(fleet, func(instance capacity.Instance) bool {
			end, ok := leaving[instance.ID]
			return ok && i >= end
		})
		for _, instance := range fleet {
			single := instance.Market == zinniamast.Reclaimable && random.Float64() < t.hazard[i]
			domainWide := instance.Market == zinniamast.Reclaimable && instance.FailureDomain == t.lost[i]
			if _, ok := leaving[instance.ID]; !ok && (single || domainWide) {
				leaving[instance.ID] = i + int(noticeLead/step)
			}
		}
		if i == warmUpSteps {
			// The fleet starts empty; results count from the end of the warm-up.
			r, served, requested, survivingSteps = result{}, 0, 0, 0
		}
		ready, byDomain := 0.0, map[string]float64{}
		var staying []capacity.Instance
		for j := range fleet {
			fleet[j].Ready = now.Sub(fleet[j].Started) >= loadTime
			if fleet[j].Ready {
				ready += unitsOf(fleet[j].Class)
				byDomain[fleet[j].FailureDomain] += unitsOf(fleet[j].Class)
			}
			if _, ok := leaving[fleet[j].ID]; !ok {
				staying = append(staying, fleet[j])
			}
			r.cost += priceOf(t.offers[i], fleet[j]) * step.Hours()
		}
		requested += load
		served += min(ready, load)
		largest := 0.0
		for _, units := range byDomain {
			largest = max(largest, units)
		}
		if ready-largest >= load {
			survivingSteps++
		}
		recentLoads = append(recentLoads, load*1.1)
		recentLoads = recentLoads[max(0, len(recentLoads)-20):]
		for j := range staying {
			staying[j].Price = priceOf(t.offers[i], staying[j])
		}
		offers := slices.DeleteFunc(slices.Clone(t.offers[i]), func(offer zinniamast.Offer) bool {
			return offer.FailureDomain == t.refused[i]
		})
		actions := decide(capacity.Snapshot{
			Now: now,
			Demands: []capacity.Demand{{
				Service:     "draft",
				Role:        "engine",
				Units:       slices.Max(recentLoads),
				Reclaimable: reclaimable,
			}},
			Classes:   classes,
			Offers:    offers,
			Instances: staying,
			Exchange:  true,
		})
		for _, id := range actions.Stops {
			leaving[id] = i + 1
			r.stops++
		}
		for _, purchase := range actions.Starts {
			next++
			r.starts++
			fleet = append(fleet, capacity.Instance{Instance: zinniamast.Instance{
				ID:            fmt.Sprint(next),
				FailureDomain: purchase.Offer.FailureDomain,
				Class:         purchase.Offer.Class,
				Market:        purchase.Offer.Market,
				Service:       "draft",
				Started:       now,
			}})
		}
	}
	r.onTime = served / requested
	r.survived = float64(survivingSteps) / float64(len(t.load)-warmUpSteps)
	return r
}

func unitsOf(class string) float64 {
	for _, c := range classes {
		if c.Name == class {
			return c.Units
		}
	}
	return 0
}

func priceOf(offers []zinniamast.Offer, instance capacity.Instance) float64 {
	for _, offer := range offers {
		if offer.FailureDomain == instance.FailureDomain && offer.Class == instance.Class && offer.Market == instance.Market {
			return offer.Price
		}
	}
	return 0
}

// cheapestFirst buys the cheapest units until they carry the load, in whatever failure
// domain, and returns ready instances that the load doesn't need.
func cheapestFirst(s capacity.Snapshot) capacity.Actions {
	var actions capacity.Actions
	total := 0.0
	for _, instance := range s.Instances {
		total += unitsOf(instance.Class)
	}
	best := slices.MinFunc(s.Offers, func(a, b zinniamast.Offer) int {
		return int(1e6 * (a.Price/unitsOf(a.Class) - b.Price/unitsOf(b.Class)))
	})
	for need := s.Demands[0].Units; total < need; total += unitsOf(best.Class) {
		actions.Starts = append(actions.Starts, capacity.Purchase{Offer: best})
	}
	for _, instance := range s.Instances {
		if units := unitsOf(instance.Class); instance.Ready && total-units >= s.Demands[0].Units {
			actions.Stops = append(actions.Stops, instance.ID)
			total -= units
		}
	}
	return actions
}

func planned(s capacity.Snapshot) capacity.Actions { return capacity.Plan(s, capacity.Rules{}) }

// Guards against a plan that is too expensive or serves too late, on one day of prices
// with single reclaims and three losses of all reclaimable instances in a failure
// domain. The plan must cost well below an all-on-demand fleet while serving on time,
// and serve more on time than the cheapest-first policy.
func TestCostOnOneDay(t *testing.T) {
	is := is.New(t)
	for _, peak := range []float64{5_000, 40_000} {
		day := newTrace(42, peak)
		ours := day.replay(0.67, planned)
		onDemand := day.replay(0, planned)
		cheapest := day.replay(1, cheapestFirst)
		for _, row := range []struct {
			name   string
			result result
		}{{"planned", ours}, {"on_demand", onDemand}, {"cheapest_first", cheapest}} {
			r := row.result
			t.Logf("peak %v %-14s cost %.0f on_time %.5f survives_domain_loss %.4f starts %d stops %d",
				peak, row.name, r.cost, r.onTime, r.survived, r.starts, r.stops)
		}
		is.True(ours.cost < 0.8*onDemand.cost)
		is.True(ours.onTime > 0.998)
		is.True(ours.onTime > cheapest.onTime)
		is.True(ours.survived > 0.9)
	}
}
