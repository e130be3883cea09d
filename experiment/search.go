package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// onTimeTarget is the share of requests that must be on time.
const onTimeTarget = 0.95

// maxReplicas is the largest fleet that a search tries.
const maxReplicas = 32

// Cheapest returns the outcome with the fewest replicas that meets the latency
// target for 95 in 100 requests: its cost is the cost at the latency target. A
// fleet meets the target only if every larger one does too, so that a size that
// meets it by chance does not count. If none meets it, the largest fleet's outcome and false
// are returned.
func Cheapest(scenario Scenario, policy Policy, seed uint64) (best Outcome, ok bool) {
	least := scenario.SlowReplicas + 1
	for replicas := maxReplicas; replicas >= least; replicas-- {
		scenario.Replicas = replicas
		o := Run(scenario, policy, seed)
		if o.OnTime < onTimeTarget {
			if !ok {
				return o, false
			}
			return best, true
		}
		best, ok = o, true
	}
	return best, ok
}

// WriteCheapest writes a table of the cost at the latency target, in Markdown.
func WriteCheapest(out io.Writer, scenarios []Scenario, policies []Policy, seed uint64) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| scenario\t| policy\t| replicas needed\t| on time %\t| cost per 1,000 on time\t| recomputed tokens\t|")
	fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, scenario := range scenarios {
		for _, policy := range policies {
			o, ok := Cheapest(scenario, policy, seed)
			needed := fmt.Sprint(o.Replicas)
			if !ok {
				needed = fmt.Sprintf("more than %d", maxReplicas)
			}
			fmt.Fprintf(table, "| %s\t| %s\t| %s\t| %.1f\t| %.3f\t| %.0f\t|\n",
				o.Scenario, o.Policy, needed, 100*o.OnTime, o.CostPerThousand, o.Recomputed)
		}
	}
	return table.Flush()
}
