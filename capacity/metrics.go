package capacity

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	starts   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	stops    prometheus.Counter
	orders   *prometheus.CounterVec
	waits    *prometheus.CounterVec
	unmet    prometheus.Gauge
	costs    prometheus.Gauge
	rounds   prometheus.Counter
	failures *prometheus.CounterVec
}

// Metric labels: steps of a round that may fail, and reasons for which an action is
// put off to a later round.
const (
	stepRecord   = "record"
	stepCloud    = "cloud"
	stepStart    = "start"
	stepStop     = "stop"
	stepOrder    = "order"
	waitWeights  = "weights"
	waitTakeOver = "take_over"
	waitDrain    = "drain"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	m := &metrics{
		starts: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_capacity_starts_total",
			Help: "Instances bought, by failure domain and market.",
		}, []string{"failure_domain", "market"}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_capacity_refused_total",
			Help: "Starts that the cloud refused, by failure domain and market.",
		}, []string{"failure_domain", "market"}),
		stops: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_capacity_stops_total",
			Help: "Instances returned.",
		}),
		orders: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_capacity_orders_total",
			Help: "Orders sent to engines, by action.",
		}, []string{"action"}),
		waits: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_capacity_waits_total",
			Help: "Actions put off to a later round, by reason.",
		}, []string{"reason"}),
		unmet: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_capacity_unmet_services",
			Help: "Services that would not survive the loss of a failure domain.",
		}),
		costs: factory.NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_capacity_cost_per_hour",
			Help: "Price of all instances that take work, per hour.",
		}),
		rounds: factory.NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_capacity_rounds_total",
			Help: "Rounds of the controller while it held the lease.",
		}),
		failures: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_capacity_failures_total",
			Help: "Steps of a round that failed, by step.",
		}, []string{"step"}),
	}
	return m
}
