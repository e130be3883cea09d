package capacity

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/lease"
)

// Config says what the controller works with.
type Config struct {
	// Lease makes this node the only one to act.
	Lease *lease.Lease
	// Table keeps the intents.
	Table zinniamast.Table
	// Cloud sells and takes back instances.
	Cloud zinniamast.Cloud
	// List shows instances, lagging.
	List zinniamast.InstanceList
	// Weights permits loads.
	Weights zinniamast.WeightStore
	// Demands returns what the services need now; false means that a part of
	// the fleet was not heard, so that nothing may be returned.
	Demands func() ([]Demand, bool)
	// Classes returns the machine classes; the configuration may change them.
	Classes func() []Class
	// Engine returns the client of an instance, or nil where there is none.
	Engine func(instance zinniamast.Instance) zinniamast.Engine
	// Report returns an engine's last report; false means that it never reported.
	Report func(instance string) (zinniamast.LoadReport, bool)
	// Leave tells every node that an instance takes no new work.
	Leave func(instance string, at time.Time)
	// Rules are the plan's constants.
	Rules Rules
	// Interval is the time between rounds; zero means five seconds.
	Interval time.Duration
	// PeakWindow is how long a peak of demand is remembered; zero means 10 minutes.
	PeakWindow time.Duration
	// Registerer takes the metrics; nil keeps them private.
	Registerer prometheus.Registerer
	// Logger takes a line for each action; nil means slog's default.
	Logger *slog.Logger
}

// The controller's pace.
const (
	defaultInterval   = 5 * time.Second
	defaultPeakWindow = 10 * time.Minute
	// callTimeout bounds one call to the cloud or an engine.
	callTimeout = 3 * time.Second
	// exchangeInterval is how often a cheaper fleet is looked for.
	exchangeInterval = time.Minute
	// offersInterval is how often prices are read.
	offersInterval = 30 * time.Second
	// takeOverDelay is how long after a take-over no order is given: an order that
	// the former holder sent in its last moment has come by then.
	takeOverDelay = 2 * callTimeout
)

// Controller buys, returns and orders while it holds the lease. It belongs to
// one goroutine.
type Controller struct {
	config   Config
	metrics  *metrics
	peaks    *peakTracker
	refusals refusals
	orders   Orders

	record *record
	// fence is the number that record was read under; taken is since when.
	fence        uint64
	startedAt    time.Time
	takenOverAt  time.Time
	sequence     uint64
	offers       []zinniamast.Offer
	offersReadAt time.Time
	exchangedAt  time.Time
	prices       map[kindName]float64
}

// New returns a controller; Run works it.
func New(c Config) *Controller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.PeakWindow == 0 {
		c.PeakWindow = defaultPeakWindow
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return &Controller{
		config:    c,
		metrics:   newMetrics(c.Registerer),
		peaks:     newPeakTracker(c.PeakWindow),
		prices:    map[kindName]float64{},
		startedAt: time.Now(),
	}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	for {
		c.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// round looks, plans, writes down what it will do and does it.
func (c *Controller) round(ctx context.Context) {
	asked, complete := c.config.Demands()
	demands := c.peaks.apply(time.Now(), asked)
	if !c.prepare(ctx) {
		return
	}
	c.metrics.rounds.Inc()
	view, err := c.observe(ctx)
	if err != nil {
		c.recordFailure(stepCloud, err)
		return
	}
	changed := c.record.prune(view.now, view.listed)
	actions := c.plan(view, demands)
	if !complete || view.now.Sub(c.startedAt) < c.config.PeakWindow {
		// A node that has just started, or that does not hear a failure domain,
		// sees less demand than there is; it would return what is in use.
		actions.Stops = nil
	}
	if c.recordIntents(view.now, actions) || changed {
		if !c.save(ctx) {
			return
		}
	}
	did := c.startInstances(ctx)
	did = c.stopInstances(ctx) || did
	if did && !c.save(ctx) {
		return
	}
	c.sendOrders(ctx, view, demands)
}

// prepare says whether this node may act, and reads the intents after a take-over.
func (c *Controller) prepare(ctx context.Context) bool {
	fence, err := c.config.Lease.Check(2 * callTimeout)
	if err != nil {
		c.record = nil
		return false
	}
	if c.record != nil && c.fence == fence {
		return true
	}
	if c.fence != fence {
		c.takenOverAt = time.Now()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := readRecord(ctx, c.config.Table)
	if err != nil {
		c.recordFailure(stepRecord, err)
		return false
	}
	c.record, c.fence, c.sequence = r, fence, 0
	return r.Fence <= fence
}

// save writes the intents. Whatever goes wrong, they are read again before
// the next action: the write may stand, or another holder's may.
func (c *Controller) save(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.record.Fence = c.fence
	if err := c.record.write(ctx, c.config.Table); err != nil {
		c.recordFailure(stepRecord, err)
		c.record = nil
		return false
	}
	return true
}

func (c *Controller) recordFailure(step string, err error) {
	c.metrics.failures.WithLabelValues(step).Inc()
	c.config.Logger.Warn("capacity", "step", step, "error", err)
}
