package egress

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics are the metrics of an Egress.
type metrics struct {
	linksDown       prometheus.Gauge
	relayed         *prometheus.CounterVec
	relayedForPeers prometheus.Counter
	placeAsks       *prometheus.CounterVec
	placesGiven     prometheus.Gauge
}

// Outcomes of requests that were to be relayed, as a metric label.
const (
	relayAnswered = "answered"
	relayFailed   = "failed"
	relayNoPeer   = "no_peer"
	relayNoPlace  = "no_place"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		linksDown: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_egress_links_down",
			Help: "Services whose replicas this instance cannot connect to.",
		}),
		relayed: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_egress_relayed_total",
			Help: "Requests relayed through another instance, by outcome.",
		}, []string{"outcome"}),
		relayedForPeers: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_egress_relayed_for_peers_total",
			Help: "Requests of other instances that this one sent to a replica.",
		}),
		placeAsks: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_egress_place_asks_total",
			Help: "Requests without a place here that were offered to another instance, by outcome.",
		}, []string{"outcome"}),
		placesGiven: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_egress_places_given",
			Help: "Places of this instance that requests of other instances use now.",
		}),
	}
}

// count counts a relayed request, with the error of its send.
func (m *metrics) count(err error) {
	if err != nil {
		m.relayed.WithLabelValues(relayFailed).Inc()
		return
	}
	m.relayed.WithLabelValues(relayAnswered).Inc()
}
