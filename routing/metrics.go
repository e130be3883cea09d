package routing

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Circuit events, used as a metric label.
const (
	circuitOpened     = "opened"
	circuitCapped     = "capped"
	circuitPeerReport = "word"
)

type metrics struct {
	choices  *prometheus.CounterVec
	circuits *prometheus.CounterVec
	polls    *prometheus.CounterVec
	// byReason avoids a label lookup in each decision.
	byReason map[string]prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		choices: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_routing_choices_total",
			Help: "Choices of an upstream, by what decided.",
		}, []string{"reason"}),
		circuits: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_routing_circuits_total",
			Help: "Circuits opened, kept closed by the cap, and heard of from other nodes.",
		}, []string{"event"}),
		polls: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_routing_polls_total",
			Help: "Load reports and cache events read, by outcome.",
		}, []string{"outcome"}),
		byReason: map[string]prometheus.Counter{},
	}
	for _, reason := range []string{
		choiceCheapest, choiceHome, choiceSoonest, choiceNoTarget, choiceProbe, choiceAlone, choiceNone,
	} {
		m.byReason[reason] = m.choices.WithLabelValues(reason)
	}
	return m
}

func (m *metrics) countChoice(reason string) { m.byReason[reason].Inc() }
