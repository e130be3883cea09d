package capacity

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/lease"
)

// Config holds the dependencies and settings of a controller.
type Config struct {
	// Lease ensures that only one node acts at a time.
	Lease *lease.Lease
	// Table stores the intents.
	Table zinniamast.Table
	// Cloud starts and stops instances and lists offers and reclaim notices.
	Cloud zinniamast.Cloud
	// List lists the running instances; it may lag behind the cloud.
	List zinniamast.InstanceList
	// Weights grants permission to load models from the weight store.
	Weights zinniamast.WeightStore
	// Demands returns what the services need now; false means that figures of a
	// part of the fleet are missing, so that no instance may be returned.
	Demands func() ([]Demand, bool)
	// Classes returns the instance classes; the configuration may change them.
	Classes func() []Class
	// Engine returns the engine client of an instance, or nil if there is none.
	Engine func(instance zinniamast.Instance) zinniamast.Engine
	// Report returns an engine's last load report; false means that there is none.
	Report func(instance string) (zinniamast.LoadReport, bool)
	// AnnounceLeaving announces to every node that an instance takes no new work.
	AnnounceLeaving func(instance string, at time.Time)
	// Rules are the settings of the plan.
	Rules Rules
	// Interval is the time between rounds; zero means five seconds.
	Interval time.Duration
	// PeakWindow is how long a peak of demand counts; zero means 10 minutes.
	PeakWindow time.Duration
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Logger logs each action; nil means slog's default.
	Logger *slog.Logger
}

// Intervals and timeouts of the controller.
const (
	defaultInterval   = 5 * time.Second
	defaultPeakWindow = 10 * time.Minute
	// callTimeout bounds one call to the cloud or an engine.
	callTimeout = 3 * time.Second
	// exchangeInterval is how often the controller searches for a cheaper fleet.
	exchangeInterval = time.Minute
	// offersInterval is how often the controller reads offers and their prices.
	offersInterval = 30 * time.Second
	// takeOverDelay is how long no order is sent after a take-over: by then an
	// order that the former holder sent just before it lost the lease has arrived.
	takeOverDelay = 2 * callTimeout
)

// Controller buys and returns instances and sends orders to engines while its
// node holds the lease. It must be used by one goroutine only.
type Controller struct {
	config   Config
	metrics  *metrics
	peaks    *peakTracker
	refusals refusals
	orders   Orders

	record *record
	// fence is the fencing number under which record was read, takenOverAt when
	// this node took over with it.
	fence        uint64
	startedAt    time.Time
	takenOverAt  time.Time
	sequence     uint64
	offers       []zinniamast.Offer
	offersReadAt time.Time
	exchangedAt  time.Time
	prices       map[kindName]float64
}

// New returns a controller; Run starts its rounds.
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

// Run runs a round at each interval until ctx ends.
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

// round observes the fleet, plans actions, stores them as intents and carries them out.
func (c *Controller) round(ctx context.Context) {
	current, complete := c.config.Demands()
	demands := c.peaks.apply(time.Now(), current)
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
		// A node that has just started, or that receives no figures from a failure
		// domain, sees less demand than there is and would return instances in use.
		actions.Stops = nil
	}
	if c.recordIntents(view.now, actions) || changed {
		if !c.save(ctx) {
			return
		}
	}
	acted := c.startInstances(ctx)
	acted = c.stopInstances(ctx) || acted
	if acted && !c.save(ctx) {
		return
	}
	c.sendOrders(ctx, view, demands)
}

// prepare reports whether this node may act. After a take-over it reads the stored
// intents first.
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

// save writes the intents and reports whether that succeeded. After an error they
// are read again before the next action, since this write or one of another
// holder may have taken effect.
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
	c.config.Logger.Warn("capacity step failed", "step", step, "error", err)
}
