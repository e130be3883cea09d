package command

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"zinniamast/experiment"
)

// Experiment compares routing policies on a seeded workload in virtual time, and
// returns its exit code.
func Experiment(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	flags.SetOutput(errOut)
	scenarios := flags.String("scenarios", "", "comma-separated scenarios; empty runs all")
	policies := flags.String("policies", "", "comma-separated policies; empty compares all")
	seed := flags.Uint64("seed", 1, "seed of the work")
	cheapest := flags.Bool("cheapest", false, "also search for the cheapest fleets that meet the target")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	chosen, err := selectScenarios(*scenarios)
	if err != nil {
		fmt.Fprintln(errOut, "zinniamast experiment:", err)
		return exitUsage
	}
	compared, err := selectPolicies(*policies)
	if err != nil {
		fmt.Fprintln(errOut, "zinniamast experiment:", err)
		return exitUsage
	}
	err = experiment.WriteOutcomes(out, chosen, compared, *seed)
	if err == nil && *cheapest {
		fmt.Fprintln(out)
		err = experiment.WriteCheapest(out, chosen, compared, *seed)
	}
	if err != nil {
		fmt.Fprintln(errOut, "zinniamast experiment:", err)
		return exitFailed
	}
	return exitOK
}

func selectScenarios(names string) ([]experiment.Scenario, error) {
	all := experiment.Scenarios()
	if names == "" {
		return all, nil
	}
	byName := map[string]experiment.Scenario{}
	for _, scenario := range append(all, experiment.FullSize()) {
		byName[scenario.Name] = scenario
	}
	return selectByName(names, byName, "scenario")
}

func selectPolicies(names string) ([]experiment.Policy, error) {
	all := experiment.Policies()
	if names == "" {
		return all, nil
	}
	byName := map[string]experiment.Policy{}
	for _, policy := range all {
		byName[string(policy)] = policy
	}
	return selectByName(names, byName, "policy")
}

// selectByName returns the values whose names are in a comma-separated list.
func selectByName[T any](names string, byName map[string]T, kind string) ([]T, error) {
	var selected []T
	for name := range strings.SplitSeq(names, ",") {
		found, ok := byName[name]
		if !ok {
			return nil, fmt.Errorf("there is no %s %q", kind, name)
		}
		selected = append(selected, found)
	}
	return selected, nil
}
