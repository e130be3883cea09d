package routing

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// speedKey identifies a speed: the replicas of one service on one machine class share it.
type speedKey struct {
	service string
	class   string
}

// speed is the learned speed of a service on a machine class.
type speed struct {
	// first predicts the seconds to the first token from the tokens to compute before
	// it, or the seconds of a call from the calls in progress.
	first curve
	// between predicts the seconds between tokens from the sequences in the batch.
	between curve
}

// Predictions for a machine class before any observation.
const (
	priorFirstSeconds              = 0.02
	priorFirstSecondsPerToken      = 0.0001
	priorBetweenSeconds            = 0.015
	priorBetweenSecondsPerSequence = 0.001
	priorCallSeconds               = 0.02
	priorCallSecondsPerCall        = 0.002
)

func (r *Router) speed(upstream *blackboard.Upstream, servesCalls bool) *speed {
	key := speedKey{
		service: upstream.Instance.Service,
		class:   upstream.Instance.Class,
	}
	known, ok := r.speeds[key]
	if ok {
		return known
	}
	fresh := &speed{
		first:   newCurve(priorFirstSeconds, priorFirstSecondsPerToken, 100, 4000),
		between: newCurve(priorBetweenSeconds, priorBetweenSecondsPerSequence, 1, 16),
	}
	if servesCalls {
		fresh.first = newCurve(priorCallSeconds, priorCallSecondsPerCall, 1, 16)
	}
	r.speeds[key] = fresh
	return fresh
}

// answerKey identifies requests whose answers are expected to have similar lengths.
type answerKey struct {
	service  string
	priority int
}

const (
	// defaultAnswerTokens is the expected length of answers before any observation.
	defaultAnswerTokens = 256
	// answerWeight is the weight of one answer in the mean length.
	answerWeight = 0.05
	// answerMargin multiplies the mean length: answers vary, and one that is longer
	// than the mean must still arrive on time.
	answerMargin = 1.5
)

// expectedAnswerTokens returns a length that a whole answer will probably not exceed.
func (r *Router) expectedAnswerTokens(request *zinniamast.RouteRequest) int {
	expected := float64(defaultAnswerTokens)
	known, ok := r.answers[answerKey{
		service:  request.Service,
		priority: request.Priority,
	}]
	if ok {
		expected = answerMargin * known.value
	}
	if request.MaxTokens > 0 {
		expected = min(expected, float64(request.MaxTokens))
	}
	return max(1, int(expected))
}

func (r *Router) learnAnswer(service string, priority, tokens int) {
	key := answerKey{
		service:  service,
		priority: priority,
	}
	known, ok := r.answers[key]
	if !ok {
		known = &average{}
		r.answers[key] = known
	}
	known.add(float64(tokens), answerWeight)
}

// priceKey identifies instances that have the same price.
type priceKey struct {
	class  string
	market zinniamast.Market
	domain string
}

// defaultHourlyPrice applies to instances without an offer.
const defaultHourlyPrice = 1

// SetPrices updates the prices of instances; prices without a new offer stay in force.
func (r *Router) SetPrices(offers []zinniamast.Offer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, offer := range offers {
		r.prices[priceKey{
			class:  offer.Class,
			market: offer.Market,
			domain: offer.FailureDomain,
		}] = offer.Price
	}
	for _, replica := range r.replicas {
		replica.pricePerSecond = r.price(replica.upstream)
	}
}

// price returns the price of a second of the upstream's instance.
func (r *Router) price(upstream *blackboard.Upstream) float64 {
	perHour, ok := r.prices[priceKey{
		class:  upstream.Instance.Class,
		market: upstream.Instance.Market,
		domain: upstream.Instance.FailureDomain,
	}]
	if !ok {
		perHour = defaultHourlyPrice
	}
	return perHour / time.Hour.Seconds()
}
