package entry

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
)

// storeMetrics measures calls to the platform's store.
type storeMetrics struct {
	calls *prometheus.HistogramVec
}

// Outcomes of a call to the store, as a metric label.
const (
	storeAnswered  = "answered"
	storeConflict  = "conflict"
	storeThrottled = "throttled"
	storeFailed    = "failed"
)

// storeBuckets are the histogram bounds of a call's duration in seconds. The store
// answers within some milliseconds, and a feed waits for up to a second.
var storeBuckets = []float64{.005, .01, .02, .05, .1, .3, 1, 1.5}

func newStoreMetrics(registerer prometheus.Registerer) *storeMetrics {
	return &storeMetrics{
		calls: promauto.With(registerer).NewHistogramVec(prometheus.HistogramOpts{
			Name:    "zinniamast_store_call_seconds",
			Help:    "Calls to the platform's store, by call and outcome; feeds wait for a change.",
			Buckets: storeBuckets,
		}, []string{"call", "outcome"}),
	}
}

// observe observes a completed call.
func (m *storeMetrics) observe(call string, took time.Duration, err error) {
	outcome := storeFailed
	switch {
	case err == nil:
		outcome = storeAnswered
	case errors.Is(err, zinniamast.ErrConflict):
		outcome = storeConflict
	case errors.Is(err, zinniamast.ErrThrottled):
		outcome = storeThrottled
	}
	m.calls.WithLabelValues(call, outcome).Observe(took.Seconds())
}
