package experiment

import (
	"slices"
	"time"

	"zinniamast/prefix"
)

// Outcome is the result of a run, measured over the requests that arrived after the warm-up.
type Outcome struct {
	Scenario string `json:"scenario"`
	Policy   Policy `json:"policy"`
	Replicas int    `json:"replicas"`
	Requests int    `json:"requests"`
	// OnTime is the fraction of requests whose first token, token gaps and whole
	// answer met their targets.
	OnTime float64 `json:"on_time"`
	// CostPerThousand is the price of all instances per 1,000 requests on time.
	CostPerThousand float64 `json:"cost_per_thousand"`
	// Computed is the number of tokens per request that no cache covered, and
	// Recomputed the part of them that some replica had computed before.
	Computed   float64 `json:"computed"`
	Recomputed float64 `json:"recomputed"`
	// InteractiveFirstToken is the p95 time to the first token of urgent and normal requests.
	InteractiveFirstToken time.Duration `json:"quick_first_token"`
	// BetweenTokens is the p95 over requests of the mean time between tokens.
	BetweenTokens time.Duration `json:"between_tokens"`
	// Attempts is the number of attempts per admitted request.
	Attempts float64 `json:"attempts"`
	// Refused is the fraction of requests refused, and WorstOrganisation the
	// smallest fraction on time of any organisation.
	Refused           float64 `json:"refused"`
	WorstOrganisation float64 `json:"worst_organisation"`
	// GossipBytes is the number of gossip bytes that a node receives per second.
	GossipBytes float64 `json:"news_bytes"`
}

// tokensOf returns the number of tokens in the given number of leading blocks.
func tokensOf(blocks int) int { return prefix.Tokens(blocks - 1) }

// onTime reports whether a request completed and met all its latency targets.
func (q *request) onTime() bool {
	if q.refusal != "" || q.produced < q.answerTokens {
		return false
	}
	if q.firstToken.Sub(q.arrived) > q.kind.FirstTokenTarget || q.lastToken.Sub(q.arrived) > q.kind.Deadline {
		return false
	}
	return q.meanTokenGap() <= betweenTokensTarget
}

// meanTokenGap returns the mean time between the tokens of the request.
func (q *request) meanTokenGap() time.Duration {
	if q.produced < 2 {
		return 0
	}
	return q.lastToken.Sub(q.firstToken) / time.Duration(q.produced-1)
}

func (w *world) outcome(policy Policy) Outcome {
	o := Outcome{
		Scenario: w.scenario.Name,
		Policy:   policy,
		Replicas: w.scenario.Replicas,
	}
	var quick, gaps []time.Duration
	onTime, refused, attempts := 0, 0, 0
	byOrganisation := map[string][2]int{}
	for _, q := range w.requests {
		if q.arrived.Before(w.start.Add(w.scenario.Warmup)) {
			continue
		}
		o.Requests++
		counts := byOrganisation[q.organisation]
		counts[1]++
		if q.onTime() {
			onTime++
			counts[0]++
		}
		byOrganisation[q.organisation] = counts
		if q.refusal != "" {
			refused++
			continue
		}
		attempts += q.attempts
		o.Computed += float64(q.computed)
		o.Recomputed += float64(q.recomputed)
		gaps = append(gaps, q.meanTokenGap())
		if q.class != bulk {
			quick = append(quick, q.firstTokenWait())
		}
	}
	requests := float64(max(o.Requests, 1))
	o.OnTime = float64(onTime) / requests
	o.Refused = float64(refused) / requests
	o.Computed /= requests
	o.Recomputed /= requests
	o.Attempts = float64(attempts) / float64(max(o.Requests-refused, 1))
	o.CostPerThousand = w.cost() / float64(max(onTime, 1)) * 1000
	o.InteractiveFirstToken = quantile(quick, 0.95)
	o.BetweenTokens = quantile(gaps, 0.95)
	o.GossipBytes = float64(w.gossipBytes) / w.now.Sub(w.start).Seconds() / float64(len(w.nodes))
	o.WorstOrganisation = 1
	for _, counts := range byOrganisation {
		o.WorstOrganisation = min(o.WorstOrganisation, float64(counts[0])/float64(counts[1]))
	}
	return o
}

// firstTokenWait returns the time to the first token, or the deadline if none arrived.
func (q *request) firstTokenWait() time.Duration {
	if q.firstToken.IsZero() {
		return q.kind.Deadline
	}
	return q.firstToken.Sub(q.arrived)
}

// cost returns the price of all replicas over the measured time.
func (w *world) cost() float64 {
	from, to := w.start.Add(w.scenario.Warmup), w.start.Add(w.scenario.Length)
	total := 0.0
	for _, r := range w.replicas {
		begin, end := r.started, to
		if begin.Before(from) {
			begin = from
		}
		if r.removed && r.stopped.Before(to) {
			end = r.stopped
		}
		if end.After(begin) {
			total += r.speed.PricePerHour * end.Sub(begin).Hours()
		}
	}
	return total
}

func quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(fraction*float64(len(values))))]
}
