package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/capacity"
)

// simulatedFleet is a fleet on which plans take effect at once, for tests of the plan
// alone.
type simulatedFleet struct {
	snapshot capacity.Snapshot
	lastID   int
}

func (f *simulatedFleet) apply(actions capacity.Actions) {
	retained := f.snapshot.Instances[:0]
	for _, instance := range f.snapshot.Instances {
		stopped := false
		for _, id := range actions.Stops {
			stopped = stopped || id == instance.ID
		}
		if !stopped {
			retained = append(retained, instance)
		}
	}
	f.snapshot.Instances = retained
	for _, purchase := range actions.Starts {
		f.lastID++
		f.snapshot.Instances = append(f.snapshot.Instances, capacity.Instance{
			Instance: zinniamast.Instance{
				ID:            fmt.Sprint(f.lastID),
				FailureDomain: purchase.Offer.FailureDomain,
				Class:         purchase.Offer.Class,
				Market:        purchase.Offer.Market,
				Service:       purchase.Service,
				Started:       f.snapshot.Now,
			},
			Price: purchase.Offer.Price,
			Ready: true,
		})
	}
	f.snapshot.Now = f.snapshot.Now.Add(time.Hour)
}

// unitsAfterDomainLoss returns the units that a service retains after the loss of its
// largest failure domain.
func (f *simulatedFleet) unitsAfterDomainLoss(service string) float64 {
	total, domains, largest := 0.0, map[string]float64{}, 0.0
	for _, instance := range f.snapshot.Instances {
		if instance.Service == service {
			total += unitsOf(instance.Class)
			domains[instance.FailureDomain] += unitsOf(instance.Class)
		}
	}
	for _, units := range domains {
		largest = max(largest, units)
	}
	return total - largest
}

func randomFleet(rt *rapid.T) *simulatedFleet {
	seed := rapid.Uint64().Draw(rt, "seed")
	random := rand.New(rand.NewPCG(seed, 3))
	domains := rapid.IntRange(2, 6).Draw(rt, "domains")
	f := &simulatedFleet{snapshot: capacity.Snapshot{
		Now:      time.Unix(1e6, 0),
		Classes:  classes,
		Exchange: true,
	}}
	for i := range domains {
		for _, class := range classes {
			price := class.Units * (0.5 + random.Float64())
			f.snapshot.Offers = append(f.snapshot.Offers, zinniamast.Offer{
				FailureDomain: fmt.Sprint(i),
				Class:         class.Name,
				Market:        zinniamast.OnDemand,
				Price:         price,
			})
			if random.IntN(4) > 0 {
				f.snapshot.Offers = append(f.snapshot.Offers, zinniamast.Offer{
					FailureDomain: fmt.Sprint(i),
					Class:         class.Name,
					Market:        zinniamast.Reclaimable,
					Price:         price * (0.2 + 0.9*random.Float64()),
				})
			}
		}
	}
	for i := range rapid.IntRange(1, 3).Draw(rt, "services") {
		f.snapshot.Demands = append(f.snapshot.Demands, capacity.Demand{
			Service:     fmt.Sprint("service-", i),
			Role:        "engine",
			Units:       float64(rapid.IntRange(1, 20_000).Draw(rt, "units")),
			Reclaimable: rapid.SampledFrom([]float64{0, 0.5, 0.67, 1}).Draw(rt, "reclaimable"),
		})
	}
	return f
}

// Guards against a plan that leaves a demand unmet or never converges. For any offers,
// demands and present instances the fleet must meet the demand without any one
// failure domain and then stay as it is; a plan that starts and stops instances for
// ever would load weights all day.
func TestPlanMeetsDemandAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := randomFleet(rt)
		rules := capacity.Rules{MaxLoading: 1000}
		for round := 0; ; round++ {
			actions := capacity.Plan(f.snapshot, rules)
			if len(actions.Unmet) > 0 {
				rt.Fatalf("services with unmet demand: %v", actions.Unmet)
			}
			if len(actions.Starts)+len(actions.Stops) == 0 {
				break
			}
			if round > 200 {
				rt.Fatalf("plan still has actions after %d rounds: %+v", round, actions)
			}
			f.apply(actions)
		}
		for _, d := range f.snapshot.Demands {
			if remaining := f.unitsAfterDomainLoss(d.Service); remaining+1e-3 < d.Units {
				rt.Fatalf("%s: %v units remain, want %v", d.Service, remaining, d.Units)
			}
		}
		// All instances of a failure domain are reclaimed: the plan replaces them.
		lost := f.snapshot.Instances[0].FailureDomain
		var retained []capacity.Instance
		for _, instance := range f.snapshot.Instances {
			if instance.FailureDomain != lost {
				retained = append(retained, instance)
			}
		}
		f.snapshot.Instances = retained
		f.apply(capacity.Plan(f.snapshot, rules))
		for _, d := range f.snapshot.Demands {
			if remaining := f.unitsAfterDomainLoss(d.Service); remaining+1e-3 < d.Units {
				rt.Fatalf("%s after the loss of %s: %v units remain, want %v", d.Service, lost, remaining, d.Units)
			}
		}
	})
}

// Guards against a plan that depends on offers that are refused, first in the cheapest
// failure domain, then in all but one. It must use the other domains; with one
// domain left it must still carry the load and report that it could not survive
// the loss of a domain.
func TestPlanAvoidsRefusedFailureDomains(t *testing.T) {
	is := is.New(t)
	f := &simulatedFleet{snapshot: capacity.Snapshot{
		Classes: classes,
		Demands: []capacity.Demand{{
			Service:     "draft",
			Units:       4000,
			Reclaimable: 0.67,
		}},
	}}
	for i, domain := range []string{"a", "b", "c"} {
		f.snapshot.Offers = append(f.snapshot.Offers, zinniamast.Offer{
			FailureDomain: domain,
			Class:         "small",
			Market:        zinniamast.OnDemand,
			Price:         float64(i + 1),
		})
	}
	f.snapshot.Offers = f.snapshot.Offers[1:]
	actions := capacity.Plan(f.snapshot, capacity.Rules{})
	is.Equal(len(actions.Unmet), 0)
	for _, start := range actions.Starts {
		is.True(start.Offer.FailureDomain != "a")
	}
	f.snapshot.Offers = f.snapshot.Offers[1:]
	actions = capacity.Plan(f.snapshot, capacity.Rules{})
	is.Equal(actions.Unmet, []string{"draft"})
	is.Equal(len(actions.Starts), 10)
}

// BenchmarkPlan measures one plan for fleets of different sizes.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		services int
		exchange bool
	}{{1, false}, {4, false}, {20, false}, {1, true}, {20, true}} {
		services := c.services
		b.Run(fmt.Sprintf("services=%d/exchange=%v", services, c.exchange), func(b *testing.B) {
			f := &simulatedFleet{snapshot: capacity.Snapshot{
				Classes:  classes,
				Exchange: c.exchange,
			}}
			for i := range 14 {
				for _, class := range classes {
					for n, market := range []zinniamast.Market{zinniamast.OnDemand, zinniamast.Reclaimable} {
						f.snapshot.Offers = append(f.snapshot.Offers, zinniamast.Offer{
							FailureDomain: fmt.Sprint(i),
							Class:         class.Name,
							Market:        market,
							Price:         class.Units * (1 + 0.01*float64(i)) / float64(n*2+1),
						})
					}
				}
			}
			for i := range services {
				f.snapshot.Demands = append(f.snapshot.Demands, capacity.Demand{
					Service:     fmt.Sprint(i),
					Units:       420_000,
					Reclaimable: 0.67,
				})
			}
			for range 3 {
				f.apply(capacity.Plan(f.snapshot, capacity.Rules{MaxLoading: 10_000}))
			}
			for b.Loop() {
				capacity.Plan(f.snapshot, capacity.Rules{})
			}
			b.ReportMetric(float64(len(f.snapshot.Instances)), "instances")
		})
	}
}
