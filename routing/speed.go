package routing

import (
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// speedKey names what shares a speed: one service on one machine class.
type speedKey struct {
	service string
	class   string
}

// speed is what is learned of a machine class.
type speed struct {
	// first predicts seconds to the first token from the tokens to compute
	// before it, or from the calls in progress at a plain service.
	first curve
	// between predicts seconds between tokens from the sequences in the batch.
	between curve
}

// What is believed of a machine class before any observation.
const (
	priorFirstSeconds              = 0.02
	priorFirstSecondsPerToken      = 0.0001
	priorBetweenSeconds            = 0.015
	priorBetweenSecondsPerSequence = 0.001
	priorCallSeconds               = 0.02
	priorCallSecondsPerCall        = 0.002
)

func (r *Router) speed(upstream *blackboard.Upstream, plain bool) *speed {
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
	if plain {
		fresh.first = newCurve(priorCallSeconds, priorCallSecondsPerCall, 1, 16)
	}
	r.speeds[key] = fresh
	return fresh
}

// answerKey names requests that are expected to answer at like length.
type answerKey struct {
	service  string
	priority int
}

const (
	// defaultAnswerTokens is the length believed of answers before any was seen.
	defaultAnswerTokens = 256
	// answerWeight is how fast the expected length follows.
	answerWeight = 0.05
	// answerMargin is what is added to the mean length: answers vary, and one
	// that is longer than expected must still arrive on time.
	answerMargin = 1.5
)

// expectedAnswerTokens is the length that a whole answer will probably not exceed.
func (r *Router) expectedAnswerTokens(need *zinniamast.Need) int {
	expected := float64(defaultAnswerTokens)
	known, ok := r.answers[answerKey{
		service:  need.Service,
		priority: need.Priority,
	}]
	if ok {
		expected = answerMargin * known.value
	}
	if need.MaxTokens > 0 {
		expected = min(expected, float64(need.MaxTokens))
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

// priceKey names what has one price.
type priceKey struct {
	class  string
	market zinniamast.Market
	domain string
}

// defaultHourlyPrice stands where no offer was seen.
const defaultHourlyPrice = 1

// SetPrices tells what instances cost now; the last price of an offer stays until the next.
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

// price returns what a second of the upstream costs.
func (r *Router) price(upstream *blackboard.Upstream) float64 {
	hour, ok := r.prices[priceKey{
		class:  upstream.Instance.Class,
		market: upstream.Instance.Market,
		domain: upstream.Instance.FailureDomain,
	}]
	if !ok {
		hour = defaultHourlyPrice
	}
	return hour / time.Hour.Seconds()
}
