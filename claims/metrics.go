package claims

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// metrics holds the metrics of claims and of answers in the object store.
type metrics struct {
	begun   *prometheus.CounterVec
	ended   *prometheus.CounterVec
	unsaved prometheus.Gauge
	objects *prometheus.CounterVec
}

// Results of acquiring a claim, as metric label values.
const (
	begunOwned = "owned"
	// begunRecognised means that the write took effect although its response was lost.
	begunRecognised  = "recognised"
	begunTaken       = "taken"
	begunConflict    = "key_conflict"
	begunUnavailable = "store_unavailable"
)

// Results of writing, reading and deleting answers above MaxAnswer, as metric
// label values.
const (
	objectKept = "kept"
	// objectBusy means that the write budget was used up.
	objectBusy      = "busy"
	objectOversized = "oversized"
	objectFailed    = "failed"
	objectDeleted   = "deleted"
	// objectOrphaned means that an object to which no record refers was not deleted.
	objectOrphaned = "orphaned"
	objectRead     = "read"
	// objectMissed means that the object could not be read.
	objectMissed = "missed"
	// objectForeign means that the object does not match its record.
	objectForeign = "foreign"
)

var objectResults = []string{objectKept, objectBusy, objectOversized, objectFailed, objectDeleted,
	objectOrphaned, objectRead, objectMissed, objectForeign}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		begun: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_claims_begun_total",
			Help: "Claims asked for, by result.",
		}, []string{"result"}),
		ended: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_claims_ended_total",
			Help: "Claims ended by this node, by state.",
		}, []string{"state"}),
		unsaved: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_claims_unsaved",
			Help: "Outcomes that wait for the table.",
		}),
		objects: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_claims_objects_total",
			Help: "Answers above the table's bound, written and read, by result.",
		}, []string{"result"}),
	}
	for _, result := range []string{begunOwned, begunRecognised, begunTaken, begunConflict, begunUnavailable} {
		m.begun.WithLabelValues(result)
	}
	for _, state := range []State{StateFree, StateUnknown, StateRan, StateDone} {
		m.ended.WithLabelValues(string(state))
	}
	for _, result := range objectResults {
		m.objects.WithLabelValues(result)
	}
	return m
}
