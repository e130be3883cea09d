package handoff

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts the requests that are handed over between nodes.
type metrics struct {
	given        prometheus.Counter
	taken        prometheus.Counter
	leaseStarted prometheus.Counter
	refused      prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{
			Name: name,
			Help: help,
		})
	}
	return &metrics{
		given:        counter("zinniamast_handoff_given_total", "Requests that a peer acknowledged holding."),
		taken:        counter("zinniamast_handoff_taken_total", "Requests taken over from peers."),
		leaseStarted: counter("zinniamast_handoff_lease_started_total", "Requests started because their giver went silent."),
		refused:      counter("zinniamast_handoff_refused_total", "Requests that no peer would hold at the first try."),
	}
}
