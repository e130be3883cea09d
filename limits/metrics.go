package limits

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
)

// decisionAdmitted is the label value of admitted requests; those of refused
// requests are the refusal reasons.
const decisionAdmitted = "admitted"

// refusalReasons lists the reasons for which the limiter refuses requests.
var refusalReasons = []zinniamast.Reason{
	zinniamast.ReasonPastDeadline,
	zinniamast.ReasonDeadlineUnmet,
	zinniamast.ReasonNoUpstream,
	zinniamast.ReasonNoCapacity,
	zinniamast.ReasonOverShare,
	zinniamast.ReasonMemoryFull,
}

type metrics struct {
	decisions *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, memory *atomic.Int64) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		decisions: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_limits_decisions_total",
			Help: "Requests let in, or refused by reason.",
		}, []string{"decision"}),
	}
	m.decisions.WithLabelValues(decisionAdmitted)
	for _, reason := range refusalReasons {
		m.decisions.WithLabelValues(string(reason))
	}
	factory.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "zinniamast_limits_memory_bytes",
		Help: "Bytes of prompts and partial answers held.",
	}, func() float64 { return float64(memory.Load()) })
	return m
}
