package routing

import (
	"zinniamast/blackboard"
	"zinniamast/config"
)

// targets caches the target for the time between tokens of each service, in seconds,
// under one version of the configuration.
type targets struct {
	version *blackboard.Version
	between map[string]float64
}

// betweenTarget returns the service's current target for the time between tokens, in
// seconds.
func (r *Router) betweenTarget(service string) float64 {
	version := r.config.Board.Configuration.Current()
	if r.targets.between == nil || r.targets.version != version {
		r.targets = targets{
			version: version,
			between: map[string]float64{},
		}
	}
	known, ok := r.targets.between[service]
	if !ok {
		where := config.Match{
			Model:         service,
			FailureDomain: r.config.FailureDomain,
		}
		known = r.config.Board.Configuration.Config().Resolve(where).BetweenTokensTarget.Seconds()
		r.targets.between[service] = known
	}
	return known
}
