package scaling

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of the node that holds the lease.
type metrics struct {
	demand *prometheus.GaugeVec
	share  *prometheus.GaugeVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	labels := []string{"service", "failure_domain"}
	return &metrics{
		demand: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_scaling_domain_demand",
			Help: "Replicas that a failure domain's load needs; missing while it is unknown or another node orders replicas.",
		}, labels),
		share: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_scaling_domain_share",
			Help: "Fraction of a service's replicas that a failure domain gets by its demand; missing while replicas are spread evenly.",
		}, labels),
	}
}

// observe updates the metrics of a service.
func (m *metrics) observe(service string, domains []string, demand, shares map[string]float64) {
	for _, domain := range domains {
		setOrDelete(m.demand, demand, service, domain)
		setOrDelete(m.share, shares, service, domain)
	}
}

// setOrDelete sets the value of a failure domain, or deletes it if there is none.
func setOrDelete(gauge *prometheus.GaugeVec, values map[string]float64, service, domain string) {
	if value, ok := values[domain]; ok {
		gauge.WithLabelValues(service, domain).Set(value)
		return
	}
	gauge.DeleteLabelValues(service, domain)
}

// reset removes the metrics of all services.
func (m *metrics) reset() {
	m.demand.Reset()
	m.share.Reset()
}
