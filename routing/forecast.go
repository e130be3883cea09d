package routing

import (
	"zinniamast"
	"zinniamast/limits"
)

var _ limits.Predictor = (*Router)(nil)

// minForecastPoints is the number of answers observed from a machine class before a
// request may be refused because of its predicted speed. Priors may be far off, and
// a refused request yields no observation to correct them.
const minForecastPoints = 20

// Forecast implements limits.Predictor. It returns the earliest completion that any
// candidate offers now and the wait there. This need not be the chosen candidate,
// which may be later, within the target, because it is cheaper.
func (r *Router) Forecast(request *zinniamast.RouteRequest) limits.Forecast {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gatherCandidates(r.fleet(request.Service, now), request, now)
	best, _ := choose(r.candidates, request, r.config.HomeCostRatio)
	if best < 0 {
		return limits.Forecast{}
	}
	chosen := &r.candidates[best]
	forecast := limits.Forecast{
		Replicas: len(r.candidates),
		Work:     seconds(chosen.workSeconds),
	}
	if chosen.replica.speed.first.points < minForecastPoints {
		return forecast
	}
	forecast.Wait = chosen.wait
	forecast.Completion = chosen.completion
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank <= rankLate && c.completion < forecast.Completion {
			forecast.Wait = c.wait
			forecast.Completion = c.completion
		}
	}
	return forecast
}
