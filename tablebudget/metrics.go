package tablebudget

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Reasons of refusals and retries, used as metric labels.
const (
	refusedUnavailable = "unavailable"
	refusedBudget      = "budget"
	refusedQueue       = "queue_full"

	retryThrottled = "throttled"
	retryLost      = "answer_lost"
	retryNeighbour = "neighbour_conflict"
)

type metrics struct {
	reads     *prometheus.CounterVec
	writes    *prometheus.CounterVec
	batch     prometheus.Histogram
	retries   *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	resolved  prometheus.Counter
	available prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		reads: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_table_reads_total",
			Help: "Read calls to the platform's table, by role.",
		}, []string{"role"}),
		writes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_table_written_items_total",
			Help: "Items sent to the platform's table, by role.",
		}, []string{"role"}),
		batch: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "zinniamast_table_batch_items",
			Help:    "Items per write call; the count is the number of write calls.",
			Buckets: []float64{1, 2, 5, 10, 25, 50, 100},
		}),
		retries: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_table_retries_total",
			Help: "Writes sent again, by reason.",
		}, []string{"reason"}),
		refusals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_table_refusals_total",
			Help: "Calls refused on this node before they were sent, by reason.",
		}, []string{"reason"}),
		resolved: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_table_resolved_total",
			Help: "Writes whose lost answer was resolved by reading.",
		}),
		available: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_table_available",
			Help: "1 while the platform's table answers, 0 while it is out.",
		}),
	}
	m.available.Set(1)
	for _, reason := range []string{retryThrottled, retryLost, retryNeighbour} {
		m.retries.WithLabelValues(reason)
	}
	for _, reason := range []string{refusedUnavailable, refusedBudget, refusedQueue} {
		m.refusals.WithLabelValues(reason)
	}
	return m
}

func (m *metrics) countRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }
