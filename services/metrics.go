package services

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
)

// metrics counts refusals, retries, answers and hedges.
type metrics struct {
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	answers  *prometheus.CounterVec
	hedges   *prometheus.CounterVec
}

// Values of the label "decision": whether a late call was hedged, and the results
// of the hedges sent.
const (
	hedgeSent      = "sent"
	hedgeBudget    = "refused_budget"
	hedgeDown      = "refused_down"
	hedgeNoReplica = "refused_no_replica"
	hedgeAttempts  = "refused_attempts"
	hedgeWon       = "won"
	hedgeLost      = "lost"
	hedgeFailed    = "failed"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		refusals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_service_refusals_total",
			Help: "Refusals of service calls, by reason and whether the call ran.",
		}, []string{"reason", "ran"}),
		retries: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_service_retries_total",
			Help: "Attempts at service calls after a failed one, by failure.",
		}, []string{"failure"}),
		answers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_service_answers_total",
			Help: "Whole answers of services, by service.",
		}, []string{"service"}),
		hedges: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_hedges_total",
			Help: "Late idempotent calls by what was decided, and hedges by how their call ended.",
		}, []string{"decision"}),
	}
	for _, decision := range []string{hedgeSent, hedgeBudget, hedgeDown, hedgeNoReplica, hedgeAttempts, hedgeWon, hedgeLost, hedgeFailed} {
		m.hedges.WithLabelValues(decision)
	}
	for _, reason := range zinniamast.Reasons() {
		m.refusals.WithLabelValues(string(reason), string(zinniamast.NotRun))
	}
	for failure := range zinniamast.FailureOutcomes {
		m.retries.WithLabelValues(string(failure))
	}
	return m
}

func (m *metrics) countRefusal(refusal *zinniamast.Refusal) {
	m.refusals.WithLabelValues(string(refusal.Reason), string(refusal.Ran)).Inc()
}

func (m *metrics) countRetry(failure zinniamast.Failure) {
	m.retries.WithLabelValues(string(failure)).Inc()
}

func (m *metrics) countHedge(decision string) { m.hedges.WithLabelValues(decision).Inc() }

func (m *metrics) countAnswer(service string) { m.answers.WithLabelValues(service).Inc() }
