package experiment_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast/experiment"
)

func scenario(t *testing.T, name string) experiment.Scenario {
	t.Helper()
	for _, s := range experiment.Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return experiment.Scenario{}
}

// TestRoutingBounds guards against a routing change that answers fewer requests
// on time or recomputes more tokens. The bounds are on counts and virtual time,
// so a busy machine does not make it fail. Each bound is a little wider than the
// figure in docs/MEASURES.md.
func TestRoutingBounds(t *testing.T) {
	if testing.Short() {
		t.Skip("short runs look for data races; the experiment in virtual time has none")
	}
	for _, bound := range []struct {
		scenario   string
		onTime     float64
		recomputed float64
		// recomputedFraction bounds the recomputed tokens as a fraction of those
		// of each reference policy.
		recomputedFraction float64
	}{
		{
			scenario:           "cedarline_day",
			onTime:             0.965,
			recomputed:         140,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "atlas_day",
			onTime:             0.985,
			recomputed:         105,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "mixed_speeds",
			onTime:             0.91,
			recomputed:         345,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "domain_reclaimed",
			onTime:             0.965,
			recomputed:         200,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "stale_reports",
			onTime:             0.955,
			recomputed:         270,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "restart_storm",
			onTime:             0.915,
			recomputed:         850,
			recomputedFraction: 0.8,
		},
		{
			scenario:           "bulk_flood",
			onTime:             0.96,
			recomputed:         500,
			recomputedFraction: 0.7,
		},
		{
			scenario:           "one_bursts",
			onTime:             0.88,
			recomputed:         300,
			recomputedFraction: 0.7,
		},
	} {
		t.Run(bound.scenario, func(t *testing.T) {
			is := is.New(t)
			result := mean(scenario(t, bound.scenario), experiment.Zinniamast)
			t.Logf("on time %.3f, recomputed %.0f, gossip %.0f bytes/s", result.OnTime, result.Recomputed, result.GossipBytes)
			is.True(result.OnTime >= bound.onTime)
			is.True(result.Recomputed <= bound.recomputed)
			is.True(result.Attempts <= 1.03)
			is.True(result.GossipBytes <= 1500)
			for _, policy := range []experiment.Policy{experiment.LeastOutstanding, experiment.PrefixBounded} {
				reference := mean(scenario(t, bound.scenario), policy)
				is.True(result.CostPerThousand <= reference.CostPerThousand)
				is.True(result.Recomputed <= bound.recomputedFraction*reference.Recomputed)
			}
		})
	}
}

// mean returns the mean outcome of a scenario over three seeds. The recomputed
// tokens of a single seed vary by a quarter, which can hide a difference between
// policies or show one that does not exist.
func mean(s experiment.Scenario, policy experiment.Policy) experiment.Outcome {
	const seeds = 3
	var m experiment.Outcome
	for seed := range uint64(seeds) {
		o := experiment.Run(s, policy, seed+1)
		m.OnTime += o.OnTime / seeds
		m.Recomputed += o.Recomputed / seeds
		m.Attempts += o.Attempts / seeds
		m.GossipBytes += o.GossipBytes / seeds
		m.CostPerThousand += o.CostPerThousand / seeds
		m.InteractiveFirstToken += o.InteractiveFirstToken / seeds
	}
	return m
}

// Long requests begin to arrive three times as often. If their prompts are
// spread over all replicas, they evict the prefixes that quick requests share,
// and the first tokens of quick requests are late.
func TestFloodOfLongRequestsKeepsQuickFirstTokens(t *testing.T) {
	if testing.Short() {
		t.Skip("short runs look for data races; the experiment in virtual time has none")
	}
	is := is.New(t)
	flooded := scenario(t, "bulk_flood")
	calm := flooded
	calm.FloodFactor = 1
	with := mean(flooded, experiment.Zinniamast).InteractiveFirstToken
	without := mean(calm, experiment.Zinniamast).InteractiveFirstToken
	t.Logf("p95 first token of quick requests: %s with the flood, %s without", with, without)
	// The ratio is 1.13 with these seeds and 1.09 in the mean of sixteen seeds; it
	// is 1.19 if long prompts are not kept together.
	is.True(float64(with) <= 1.15*float64(without))
}

// A run with the same seed gives the same figures. Otherwise a bound could not
// distinguish a worse policy from another order of the same events.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	s := scenario(t, "one_bursts")
	is.Equal(experiment.Run(s, experiment.Zinniamast, 3), experiment.Run(s, experiment.Zinniamast, 3))
}
