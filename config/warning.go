package config

import (
	"fmt"
	"slices"
	"time"
)

// Fleet describes the running fleet, against which Warnings checks a change.
type Fleet struct {
	// Upstreams counts the replicas of each model deployment or plain service.
	Upstreams map[string]int
	// FailureDomains lists the known failure domains.
	FailureDomains []string
}

// Warnings returns the likely unintended effects of a valid change: all traffic
// would be refused, models or services that are in use would be withdrawn or left
// without an upstream, or an exception names an unknown failure domain.
func Warnings(before, after *Config, fleet Fleet) []string {
	var warnings []string
	warnings = append(warnings, after.allRefusedWarnings()...)
	warnings = append(warnings, after.noUpstreamWarnings(fleet)...)
	warnings = append(warnings, withdrawnWarnings(before, after, fleet)...)
	return append(warnings, after.unknownDomainWarnings(fleet)...)
}

func (c *Config) allRefusedWarnings() []string {
	var warnings []string
	if !slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return len(o.KeyHashes) > 0 }) {
		warnings = append(warnings, "organisations: none has a key, so every request would be refused")
	}
	if len(c.Models)+len(c.Services) == 0 {
		warnings = append(warnings, "models, services: none is offered, so every request would be refused")
	}
	effective := c.Resolve(Match{})
	if effective.Deadline < effective.FirstTokenTarget {
		warnings = append(warnings, fmt.Sprintf("defaults.deadline: %v is below the first token target of %v, so every model request would be refused or late",
			effective.Deadline, effective.FirstTokenTarget))
	}
	const smallestBodyBytes = 1 << 10
	if effective.MaxBody < smallestBodyBytes || effective.Deadline < 10*time.Millisecond {
		warnings = append(warnings, "defaults.max_body, defaults.deadline: are so small that ordinary requests would be refused")
	}
	return warnings
}

// noUpstreamWarnings warns if the fleet has replicas, but no offered model or
// service has one.
func (c *Config) noUpstreamWarnings(fleet Fleet) []string {
	offered, served := 0, 0
	for _, name := range c.offeredNames() {
		offered++
		served += fleet.Upstreams[name]
	}
	if offered == 0 || served > 0 || len(fleet.Upstreams) == 0 {
		return nil
	}
	return []string{"models, services: nothing that is offered has an upstream, so every request would be refused"}
}

// withdrawnWarnings warns about each model or service that is no longer offered
// while replicas of it run.
func withdrawnWarnings(before, after *Config, fleet Fleet) []string {
	if before == nil {
		return nil
	}
	remaining := after.offeredNames()
	var warnings []string
	for _, name := range before.offeredNames() {
		if count := fleet.Upstreams[name]; count > 0 && !slices.Contains(remaining, name) {
			warnings = append(warnings, fmt.Sprintf("%s: is withdrawn while %d upstreams serve it; its requests would be refused", name, count))
		}
	}
	return warnings
}

func (c *Config) unknownDomainWarnings(fleet Fleet) []string {
	var warnings []string
	for i, exception := range c.Exceptions {
		domain := exception.Match.FailureDomain
		if domain != "" && len(fleet.FailureDomains) > 0 && !slices.Contains(fleet.FailureDomains, domain) {
			warnings = append(warnings, fmt.Sprintf("exceptions[%d].match.failure_domain: no node is in %q; known are %s", i, domain, quotedList(fleet.FailureDomains)))
		}
	}
	return warnings
}

func (c *Config) offeredNames() []string {
	var names []string
	for _, model := range c.Models {
		names = append(names, model.Name)
	}
	for _, service := range c.Services {
		names = append(names, service.Name)
	}
	return names
}
