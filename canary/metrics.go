package canary

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of rollouts.
type metrics struct {
	share    *prometheus.GaugeVec
	logRatio *prometheus.GaugeVec
	answers  *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	labels := []string{"service", "version"}
	return &metrics{
		share: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_rollout_share",
			Help: "Fraction of a service's requests that its rollout grants the new version.",
		}, labels),
		logRatio: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_rollout_log_ratio",
			Help: "Natural logarithm of the likelihood ratio that the new version is bad; it is condemned at 11.5.",
		}, labels),
		answers: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_rollout_answers",
			Help: "Answers of the new version of all nodes that were compared.",
		}, labels),
	}
}

// observe updates the metrics of a service.
func (m *metrics) observe(s *service) {
	m.share.WithLabelValues(s.name, s.order.Version).Set(s.grant.Share)
	m.logRatio.WithLabelValues(s.name, s.order.Version).Set(s.finding.LogBad)
	m.answers.WithLabelValues(s.name, s.order.Version).Set(s.finding.Answers)
}
