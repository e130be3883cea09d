package retry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the metric label "decision".
const (
	decisionAllowed = "allowed"
	// decisionFailover counts failovers, which are allowed beyond the budget.
	decisionFailover    = "free"
	decisionRefused     = "refused"
	decisionHedged      = "hedged"
	decisionHedgeDenied = "hedge_denied"
)

func newDecisions(registerer prometheus.Registerer) *prometheus.CounterVec {
	factory := promauto.With(registerer)
	decisions := factory.NewCounterVec(prometheus.CounterOpts{
		Name: "zinniamast_retry_decisions_total",
		Help: "Decisions about retries and hedges.",
	}, []string{"decision"})
	for _, decision := range []string{decisionAllowed, decisionFailover, decisionRefused, decisionHedged, decisionHedgeDenied} {
		decisions.WithLabelValues(decision)
	}
	return decisions
}
