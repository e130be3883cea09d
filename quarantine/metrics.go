package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the counters of the quarantine.
type metrics struct {
	crashes prometheus.Counter
	alone   prometheus.Counter
	refused prometheus.Counter
	freed   prometheus.Counter
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
		crashes: counter("zinniamast_crashes_total", "Replicas that died under the requests running there."),
		alone:   counter("zinniamast_suspects_alone_total", "Attempts of suspects that were sent to a replica of their own."),
		refused: counter("zinniamast_quarantined_total", "Requests held back because they crash what runs them."),
		freed:   counter("zinniamast_freed_total", "Requests that operators let run again, as heard here."),
	}
}
