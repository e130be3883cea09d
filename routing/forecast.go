package routing

import (
	"zinniamast"
	"zinniamast/limits"
)

var _ limits.Predictor = (*Router)(nil)

// minForecastPoints is how many answers a machine class must have given before a
// request is refused on its predicted speed. Priors may be wrong by far, and a
// refusal teaches nothing.
const minForecastPoints = 20

// Forecast implements limits.Predictor: the best that any candidate offers
// now. The shortest wait need not be the chosen candidate's, which may wait
// within the target because it is cheaper.
func (r *Router) Forecast(need *zinniamast.Need) limits.Forecast {
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gatherCandidates(r.fleet(need.Service, now), need, now)
	best, _ := choose(r.candidates, need, r.config.HomeCost)
	if best < 0 {
		return limits.Forecast{}
	}
	chosen := &r.candidates[best]
	forecast := limits.Forecast{
		Replicas: len(r.candidates),
		Work:     seconds(chosen.work),
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
