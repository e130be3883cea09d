package queue

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of a queue.
type metrics struct {
	waiting   *prometheus.GaugeVec
	hadToWait *prometheus.CounterVec
	refused   *prometheus.CounterVec
	waited    prometheus.Histogram
}

// waitBuckets are the histogram bounds of waits, in seconds.
var waitBuckets = []float64{.01, .03, .1, .2, .4, .8, 1.6}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		waiting: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "zinniamast_queue_waiting",
			Help: "Requests that wait for a place at a replica, by service, class and organisation.",
		}, []string{"service", "class", "organisation"}),
		hadToWait: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_queue_had_to_wait_total",
			Help: "Requests that had to wait for a place at a replica, by service, class and organisation.",
		}, []string{"service", "class", "organisation"}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_queue_refused_total",
			Help: "Requests refused because no replica had or would have a place in time, by service, class, organisation and reason.",
		}, []string{"service", "class", "organisation", "reason"}),
		waited: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_queue_wait_seconds",
			Help:    "Time from the start of a wait to its turn or refusal.",
			Buckets: waitBuckets,
		}),
	}
}

// classLabel returns the metric label of a class.
func classLabel(class int) string { return strconv.Itoa(class) }

const (
	// maxOrganisationLabels bounds the organisations that have labels of their own: a
	// configuration may have thousands of small ones.
	maxOrganisationLabels = 64
	// otherOrganisations is the label of the others.
	otherOrganisations = "other"
)

// organisationLabel returns the metric label of an organisation: its name for the first that wait
// or are refused. The caller holds the lock.
func (q *Queue) organisationLabel(organisation string) string {
	if q.labels[organisation] {
		return organisation
	}
	if len(q.labels) == maxOrganisationLabels {
		return otherOrganisations
	}
	q.labels[organisation] = true
	return organisation
}

// waitingGauge returns the gauge of the requests that wait like an entry. The caller holds the lock.
func (s *service) waitingGauge(e *Entry) prometheus.Gauge {
	return s.queue.metrics.waiting.WithLabelValues(s.name, classLabel(e.class), s.queue.organisationLabel(e.request.Organisation))
}
