package attempt

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
)

// Metrics counts failed attempts, failed requests, moves and recomputed tokens.
type Metrics struct {
	attemptFailures *prometheus.CounterVec
	requestFailures *prometheus.CounterVec
	moves           *prometheus.CounterVec
	// recomputed counts tokens computed again because an attempt ended early.
	recomputed prometheus.Counter
}

// Label values for the way in which a request is moved off a leaving replica.
const (
	moveByKV     = "kv"
	moveByResume = "resume"
)

// NewMetrics registers the runner's metrics.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	m := &Metrics{
		attemptFailures: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_attempt_failures_total",
			Help: "Attempts at model replicas that ended without a whole answer, by failure.",
		}, []string{"failure"}),
		requestFailures: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_requests_failed_total",
			Help: "Accepted model requests that ended in a refusal, by reason and whether they ran.",
		}, []string{"reason", "ran"}),
		moves: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_moves_total",
			Help: "Running requests taken off a leaving replica, by way.",
		}, []string{"way"}),
	}
	m.recomputed = factory.NewCounter(prometheus.CounterOpts{
		Name: "zinniamast_recomputed_tokens_total",
		Help: "Prompt and answer tokens computed again because an attempt ended early, at the most: caches may spare a part.",
	})
	for failure := range zinniamast.FailureOutcomes {
		m.attemptFailures.WithLabelValues(string(failure))
	}
	return m
}

func (m *Metrics) attemptFailed(failure zinniamast.Failure) {
	m.attemptFailures.WithLabelValues(string(failure)).Inc()
}

func (m *Metrics) requestFailed(refusal *zinniamast.Refusal) {
	m.requestFailures.WithLabelValues(string(refusal.Reason), string(refusal.Ran)).Inc()
}

func (m *Metrics) tokensRecomputed(tokens int) { m.recomputed.Add(float64(tokens)) }

func (m *Metrics) requestMoved(order *moveOrder) {
	way := moveByResume
	if order.handle.ID != "" {
		way = moveByKV
	}
	m.moves.WithLabelValues(way).Inc()
}
