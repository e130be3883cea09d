package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteOutcomes runs every policy on every scenario and writes a table in Markdown.
func WriteOutcomes(out io.Writer, scenarios []Scenario, policies []Policy, seed uint64) error {
	table := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| scenario\t| policy\t| replicas\t| requests\t| on time %\t| cost per 1,000 on time\t| computed tokens\t| recomputed tokens\t| quick p95 first token ms\t| between tokens p95 ms\t| attempts\t| refused %\t| worst organisation %\t| news bytes/s\t|")
	fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, scenario := range scenarios {
		for _, policy := range policies {
			o := Run(scenario, policy, seed)
			o.write(table)
		}
	}
	return table.Flush()
}

func (o *Outcome) write(out io.Writer) {
	fmt.Fprintf(out, "| %s\t| %s\t| %d\t| %d\t| %.1f\t| %.3f\t| %.0f\t| %.0f\t| %d\t| %.1f\t| %.3f\t| %.1f\t| %.1f\t| %.0f\t|\n",
		o.Scenario, o.Policy, o.Replicas, o.Requests, 100*o.OnTime, o.CostPerThousand, o.Computed, o.Recomputed,
		o.InteractiveFirstToken.Milliseconds(), float64(o.BetweenTokens)/float64(time.Millisecond), o.Attempts,
		100*o.Refused, 100*o.WorstOrganisation, o.GossipBytes)
}
