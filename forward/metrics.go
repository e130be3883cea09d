package forward

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics counts what becomes of requests.
type metrics struct {
	answered *prometheus.CounterVec
	refused  *prometheus.CounterVec
	broken   *prometheus.CounterVec
	again    *prometheus.CounterVec
	first    prometheus.Histogram
	pause    prometheus.Histogram
	queued   prometheus.Histogram
}

// firstBuckets are the bounds of the first answer's histogram, in seconds.
var firstBuckets = []float64{.01, .03, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// queuedBuckets are the bounds of the time before a request is sent, in seconds:
// its body is read and its organisation's pool is asked.
var queuedBuckets = []float64{.001, .003, .01, .03, .1, .3, 1}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		pause: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_pause_seconds",
			Help:    "Longest pause between two events of an answered stream.",
			Buckets: firstBuckets,
		}),
		queued: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_queued_seconds",
			Help:    "Time from a request's arrival to its first send.",
			Buckets: queuedBuckets,
		}),
		answered: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_answered_total",
			Help: "Requests answered by a replica, by the class of the status.",
		}, []string{"status"}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_refused_total",
			Help: "Requests that the node ended itself, by reason.",
		}, []string{"reason"}),
		broken: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_broken_off_total",
			Help: "Requests whose connection was closed without a whole answer, by reason.",
		}, []string{"reason"}),
		again: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_again_total",
			Help: "Requests sent again, by how the send before failed.",
		}, []string{"failure"}),
		first: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_first_seconds",
			Help:    "Time from a request's arrival to the first byte of its answer.",
			Buckets: firstBuckets,
		}),
	}
	return m
}
