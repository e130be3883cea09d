package limits

import (
	"sync"

	"zinniamast/blackboard"
	"zinniamast/config"
)

// weightTable caches the organisations' weights, by service, for one version of the
// configuration.
type weightTable struct {
	mu       sync.Mutex
	version  *blackboard.Version
	services map[string]map[uint64]float64
}

// weights returns the weights of a service's organisations by account hash.
func (a *Accounts) weights(service string) map[uint64]float64 {
	t := &a.cachedWeights
	t.mu.Lock()
	defer t.mu.Unlock()
	version := a.config.Board.Configuration.Current()
	if t.services == nil || t.version != version {
		t.version = version
		t.services = map[string]map[uint64]float64{}
	}
	weights, ok := t.services[service]
	if ok {
		return weights
	}
	weights = a.resolveWeights(service)
	t.services[service] = weights
	return weights
}

func (a *Accounts) resolveWeights(service string) map[uint64]float64 {
	current := a.config.Board.Configuration.Config()
	weights := map[uint64]float64{}
	for _, organisation := range current.Organisations {
		match := config.Match{
			Organisation:  organisation.Name,
			Model:         service,
			FailureDomain: a.config.FailureDomain,
		}
		weights[hashAccount(service, organisation.Name)] = current.Resolve(match).Share
	}
	return weights
}
