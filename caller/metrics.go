package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
)

// Metrics counts answers and refusals and measures the time to the first token.
type Metrics struct {
	refusals   *prometheus.CounterVec
	answers    *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
}

// NewMetrics registers the metrics. Every refusal reason starts with the value
// zero, so that its series exists before the first refusal.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	factory := promauto.With(registerer)
	m := &Metrics{
		refusals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_refusals_total",
			Help: "Refusals of model requests, by reason and whether the request ran.",
		}, []string{"reason", "ran"}),
		answers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_answers_total",
			Help: "Whole answers delivered, by model.",
		}, []string{"model"}),
		firstToken: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "zinniamast_first_token_seconds",
			Help:    "Wait from acceptance to the first token, by class.",
			Buckets: []float64{.01, .05, .1, .2, .3, .4, .6, 1, 2, 5, 10},
		}, []string{"class"}),
	}
	for _, reason := range zinniamast.Reasons() {
		m.refusals.WithLabelValues(string(reason), string(zinniamast.NotRun))
	}
	return m
}

func (m *Metrics) countRefusal(refusal *zinniamast.Refusal) {
	m.refusals.WithLabelValues(string(refusal.Reason), string(refusal.Ran)).Inc()
}

func (m *Metrics) countAnswer(model string) { m.answers.WithLabelValues(model).Inc() }

func (m *Metrics) observeFirstToken(class string, wait time.Duration) {
	m.firstToken.WithLabelValues(class).Observe(wait.Seconds())
}
