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

// partMetrics holds the metrics of the quarantine of prompt parts.
type partMetrics struct {
	held    prometheus.Gauge
	alone   prometheus.Counter
	refused prometheus.Counter
}

func newPartMetrics(registerer prometheus.Registerer) *partMetrics {
	factory := promauto.With(registerer)
	return &partMetrics{
		held: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_quarantined_parts",
			Help: "Sets of prompt parts that are held back because they crash replicas.",
		}),
		alone: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_suspect_part_requests_total",
			Help: "Checks of requests with a prompt part that is suspected of crashing replicas.",
		}),
		refused: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_quarantined_part_requests_total",
			Help: "Requests held back because a part of their prompts crashes replicas.",
		}),
	}
}
