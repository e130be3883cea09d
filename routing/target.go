package routing

import (
	"zinniamast/blackboard"
	"zinniamast/config"
)

// targets caches the target for the time between tokens of each service, in seconds,
// under one version of the configuration.
type targets struct {
	version        *blackboard.Version
	betweenSeconds map[string]float64
}

// betweenTargetSeconds returns the service's current target for the time between tokens.
func (r *Router) betweenTargetSeconds(service string) float64 {
	version := r.config.Board.Configuration.Current()
	if r.targets.betweenSeconds == nil || r.targets.version != version {
		r.targets = targets{
			version:        version,
			betweenSeconds: map[string]float64{},
		}
	}
	known, ok := r.targets.betweenSeconds[service]
	if !ok {
		where := config.Match{
			Model:         service,
			FailureDomain: r.config.FailureDomain,
		}
		known = r.config.Board.Configuration.Config().Resolve(where).BetweenTokensTarget.Seconds()
		r.targets.betweenSeconds[service] = known
	}
	return known
}
