package forward

import "github.com/prometheus/client_golang/prometheus"

// metrics counts what becomes of requests.
type metrics struct {
	answered *prometheus.CounterVec
	refused  *prometheus.CounterVec
	again    *prometheus.CounterVec
	first    prometheus.Histogram
}

// firstBuckets are the bounds of the first answer's histogram, in seconds.
var firstBuckets = []float64{.01, .03, .1, .2, .4, .8, 1.6, 3.2, 6.4}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_answered_total",
			Help: "Requests answered by a replica, by the class of the status.",
		}, []string{"status"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_refused_total",
			Help: "Requests that the node ended itself, by reason.",
		}, []string{"reason"}),
		again: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_again_total",
			Help: "Requests sent again, by how the send before failed.",
		}, []string{"failure"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_first_seconds",
			Help:    "Time from a request's arrival to the first byte of its answer.",
			Buckets: firstBuckets,
		}),
	}
	if registerer != nil {
		registerer.MustRegister(m.answered, m.refused, m.again, m.first)
	}
	return m
}
