package forward

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of forwarded requests.
type metrics struct {
	answered     *prometheus.CounterVec
	refused      *prometheus.CounterVec
	brokenOff    *prometheus.CounterVec
	retried      *prometheus.CounterVec
	takeovers    *prometheus.CounterVec
	hedged       prometheus.Counter
	timeToFirst  prometheus.Histogram
	longestPause prometheus.Histogram
	timeToSend   prometheus.Histogram
}

// answerTimeBuckets are the histogram bounds of the time to the first byte and of
// the longest pause of a stream, in seconds.
var answerTimeBuckets = []float64{.01, .03, .1, .2, .4, .8, 1.6, 3.2, 6.4}

// sendTimeBuckets are the histogram bounds of the time from a request's arrival to
// its first send, in seconds. In that time the body is read and the allowance of
// the organisation is requested from its pool.
var sendTimeBuckets = []float64{.001, .003, .01, .03, .1, .3, 1}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		longestPause: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_pause_seconds",
			Help:    "Longest pause between two events of an answered stream.",
			Buckets: answerTimeBuckets,
		}),
		timeToSend: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_queued_seconds",
			Help:    "Time from a request's arrival to its first send.",
			Buckets: sendTimeBuckets,
		}),
		answered: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_answered_total",
			Help: "Requests answered by a replica, by the class of the status.",
		}, []string{"status"}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_refused_total",
			Help: "Requests that the node ended itself, by reason.",
		}, []string{"reason"}),
		brokenOff: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_broken_off_total",
			Help: "Requests whose connection was closed without a whole answer, by reason.",
		}, []string{"reason"}),
		retried: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_again_total",
			Help: "Requests sent again, by how the send before failed.",
		}, []string{"failure"}),
		takeovers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_forward_takeovers_total",
			Help: "Requests sent to a second replica while the first was silent, by outcome: done, failed, or withdrawn as the first continued.",
		}, []string{"outcome"}),
		hedged: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_forward_hedged_total",
			Help: "Streams sent to a second replica because their first event was late.",
		}),
		timeToFirst: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_forward_first_seconds",
			Help:    "Time from a request's arrival to the first byte of its answer.",
			Buckets: answerTimeBuckets,
		}),
	}
	return m
}
