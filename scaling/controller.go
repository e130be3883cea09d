package scaling

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
	"zinniamast/routes"
)

const (
	// planInterval is the time between two rounds of planning.
	planInterval = 500 * time.Millisecond
	// orderTimeout bounds one order; the lease must remain valid for at least as
	// long.
	orderTimeout = time.Second
	// refusalBackoff is how long no more replicas are ordered in a place that refused
	// an order.
	refusalBackoff = 4 * time.Second
	// maxPlansPerRound bounds the plans made for a service in one round. If a part of
	// a plan is refused, another plan follows at once: a failure domain's replicas
	// leave within seconds of their notice, so ordering elsewhere must not wait for
	// the next round.
	maxPlansPerRound = 3
	// repeatOrderAfter is the delay before an unfulfilled order is sent again.
	repeatOrderAfter = 6 * time.Second
	// startupDelay is the time after the start of the process in which it neither
	// orders on-demand replicas nor reduces the number of any. Replicas register
	// within a second or two; an order for the minimum number, sent before they are
	// listed, would stop the others.
	startupDelay = 2 * time.Second
	// listQuietTime is how long the list of replicas must not have grown to count as
	// complete.
	listQuietTime = time.Second
	// defaultBootTime applies to a service whose configuration does not state how
	// long its replicas take to start.
	defaultBootTime = 4 * time.Second
)

// Lease grants the right to order replicas.
type Lease interface {
	// Check returns the fencing number if this node holds the lease for at least
	// need.
	Check(need time.Duration) (uint64, error)
}

// Config configures a Controller.
type Config struct {
	Routes    *routes.Table
	Upstreams *blackboard.Upstreams
	Demand    *demand.Demand
	Lease     Lease
	Duties    zinniamast.Duties
	// FailureDomains lists all failure domains.
	FailureDomains []string
	// Rollouts are the rollouts of software versions; nil means that there are none.
	Rollouts Rollouts
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Logger logs the orders; nil means slog.Default.
	Logger *slog.Logger
}

// Rollouts knows which services are moved from one software version to another, for which
// the platform starts replicas of its own.
type Rollouts interface {
	// IsMoving reports whether a service is being moved, and then which version's replicas
	// carry its load.
	IsMoving(service string) (isMoving bool, carries func(version string) bool)
}

// Controller orders replicas while this node holds the lease.
type Controller struct {
	config Config
	fence  uint64
	// startedAt is when the process started.
	startedAt time.Time
	// orders holds the last order for each service and place since this node took the
	// lease.
	orders map[orderKey]order
	// refused holds the time until which no more replicas are ordered in a place.
	refused  map[orderKey]time.Time
	trackers map[string]*tracker
	metrics  *metrics
}

type orderKey struct {
	service string
	place   Place
}

type order struct {
	count int
	at    time.Time
	// maxPresent is the highest number of replicas present since the order.
	maxPresent int
}

// isPending reports whether replicas of the order may still be starting or stopping. No
// replica has left since, so present is the highest number so far.
func (o order) isPending(present int, now time.Time) bool {
	return present >= o.maxPresent && now.Sub(o.at) < repeatOrderAfter
}

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Controller{
		config:    config,
		startedAt: time.Now(),
		orders:    map[orderKey]order{},
		refused:   map[orderKey]time.Time{},
		trackers:  map[string]*tracker{},
		metrics:   newMetrics(config.Registerer),
	}
}

// Run plans and orders replicas until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.reconcile(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reconcile plans each scaled service and orders what differs from the last
// orders. It does nothing without the lease; under a new lease it starts from an
// empty state.
func (c *Controller) reconcile(ctx context.Context) {
	fence, err := c.config.Lease.Check(orderTimeout)
	table := c.config.Routes.Current()
	if err != nil || table == nil {
		c.metrics.reset()
		return
	}
	if fence != c.fence {
		c.fence = fence
		clear(c.orders)
		clear(c.refused)
		clear(c.trackers)
	}
	for name, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		for range maxPlansPerRound {
			s := c.state(service)
			plan := Plan(s)
			if !c.applyPlan(ctx, name, plan, s) {
				c.trackers[name].domains.RecordPlan(plan, s.Domains, time.Now())
				break
			}
		}
	}
}

// applyPlan sends the orders of a plan and reports whether any was refused.
func (c *Controller) applyPlan(ctx context.Context, service string, plan map[Place]int, s State) bool {
	refused := false
	for place, count := range plan {
		if c.order(ctx, service, place, count, s) {
			refused = true
		}
	}
	return refused
}

// tracker holds what this node has observed and ordered for a service since it
// took the lease.
type tracker struct {
	needs NeedHistory
	// initial describes the replicas present at first; nil before the first round.
	initial *initialReplicas
	// purchases are the on-demand orders of this node.
	purchases []purchase
	// isDemandKnown reports whether the work of enough requests has been known to
	// size the demand.
	isDemandKnown bool
	// reclaimableUnavailable reports whether the last order for more reclaimable
	// replicas was refused.
	reclaimableUnavailable bool
	// domains decides on the shares of the failure domains, and shares are the last ones.
	domains DomainDemand
	shares  map[string]float64
}

// initialReplicas counts the replicas that a new lease holder finds. The list of
// replicas arrives in parts; reclaimable ones that are listed later may be the
// result of its own orders, so they are counted once only.
type initialReplicas struct {
	reclaimable int
	onDemand    int
	// hasGrown reports whether the last round listed more replicas than the one
	// before. isPartial reports whether two rounds in a row did so once orders were
	// possible, which shows that the list was incomplete.
	hasGrown  bool
	isPartial bool
	// lastGrowth is when a round last listed more replicas.
	lastGrowth time.Time
}

// observe records the listed on-demand replicas that this node did not order.
// canOrder reports whether orders for them are possible yet.
func (r *initialReplicas) observe(onDemand int, canOrder bool, now time.Time) {
	grows := onDemand > r.onDemand
	if grows {
		r.lastGrowth = now
	}
	r.isPartial = r.isPartial || canOrder && grows && r.hasGrown
	r.hasGrown = grows
	r.onDemand = max(r.onDemand, onDemand)
}

// purchase is a number of on-demand replicas ordered at one time.
type purchase struct {
	count int
	at    time.Time
}

// recordPurchase records an order for count more on-demand replicas.
func (t *tracker) recordPurchase(count int, now time.Time) {
	if count > 0 {
		t.purchases = append(t.purchases, purchase{
			count: count,
			at:    now,
		})
	}
}

// ownReplicas returns how many of the on-demand replicas may come from this
// node's own orders. A replica that is present within half of the usual boot time
// was started before.
//
// If the demand is unknown and no reclaimable replicas are available, on-demand
// replicas ordered in place of reclaimed ones must not count as initial ones:
// otherwise as many again would be ordered, up to the maximum.
func (t *tracker) ownReplicas(now time.Time) int {
	sum := 0
	for _, p := range t.purchases {
		if now.Sub(p.at) >= t.needs.BootTime/2 {
			sum += p.count
		}
	}
	return sum
}

// isListComplete reports whether the list of replicas seems complete or the
// demand is known.
//
// The list may begin to arrive just after orders become possible. An order for
// only the on-demand replicas listed so far would stop the others.
func (t *tracker) isListComplete(now time.Time) bool {
	return t.isDemandKnown || t.initial == nil || now.Sub(t.initial.lastGrowth) >= listQuietTime
}

// trackerOf returns the tracker of a service and creates it if there is none.
func (c *Controller) trackerOf(service routes.Service) *tracker {
	t, ok := c.trackers[service.Name]
	if !ok {
		t = &tracker{
			needs: NeedHistory{
				BootTime: cmp.Or(service.Scaling.BootTime, defaultBootTime),
			},
		}
		c.trackers[service.Name] = t
	}
	return t
}

// recordNeed records how many replicas a service needs now. Until the demand is
// known, the initial number is desired, since the operator or the previous lease
// holder chose it. Beyond those, no on-demand replicas are bought before requests
// arrive. canOrder reports whether on-demand orders are possible yet.
//
// A node that takes the lease while requests arrive knows the need of one moment only,
// so the cheap replicas that it finds count as a need of that moment.
func (t *tracker) recordNeed(state State, canOrder bool, now time.Time) {
	t.isDemandKnown = t.isDemandKnown || sizedFraction(state.Load) >= minSizedFraction
	if t.isDemandKnown && t.needs.IsEmpty() {
		t.needs.Add(0, presentCount(state, zinniamast.Reclaimable), now)
	}
	if !t.isDemandKnown {
		t.observe(state, canOrder, now)
		required := 0
		if state.Load.Arrivals > 0 {
			required = withoutSpareDomain(t.initialCount(state), len(state.Domains))
		}
		t.needs.Add(required, withSpareDomain(t.initialCount(state), len(state.Domains)), now)
	}
	t.needs.Add(requiredReplicas(state), desiredReplicas(state), now)
}

// observe records the listed replicas while the demand is unknown.
func (t *tracker) observe(state State, canOrder bool, now time.Time) {
	if t.initial == nil {
		t.initial = &initialReplicas{
			reclaimable: presentCount(state, zinniamast.Reclaimable),
		}
	}
	t.initial.observe(presentCount(state, zinniamast.OnDemand)-t.ownReplicas(now), canOrder, now)
}

// initialCount returns the number of replicas before this node ordered any.
//
// The list of a large fleet arrives in parts over some seconds, and an order for
// only those listed so far stops the others: a fleet sized by the first part
// serves the first requests with a fifth of its replicas. If the list was
// incomplete, the count is at least the midpoint of the configured limits.
func (t *tracker) initialCount(state State) int {
	listed := t.initial.reclaimable + t.initial.onDemand
	if !t.initial.isPartial {
		return listed
	}
	return max(listed, midpointOfLimits(state))
}

// retainedCount returns how many replicas stay until cheaper ones are present:
// the initial number while the demand is unknown, and none afterwards.
func (t *tracker) retainedCount(state State) int {
	if t.isDemandKnown {
		return 0
	}
	return t.initialCount(state)
}

// presentCount returns the number of present replicas of a market.
func presentCount(s State, market zinniamast.Market) int {
	sum := 0
	for place, count := range s.Present {
		if place.Market == market {
			sum += count
		}
	}
	return sum
}

// domains returns the failure domains in which a service runs or may run.
func (c *Controller) domains(service routes.Service) []string {
	if len(service.Scaling.Prices) == 0 {
		return slices.Clone(c.config.FailureDomains)
	}
	return slices.Collect(maps.Keys(service.Scaling.Prices))
}

// state collects the input of a plan.
func (c *Controller) state(service routes.Service) State {
	s := State{
		Service: service,
		Load:    c.config.Demand.Total(service.Name),
		Domains: c.domains(service),
		Refused: map[Place]bool{},
		Present: map[Place]int{},
		Ordered: map[Place]int{},
	}
	carries := func(string) bool { return true }
	if c.config.Rollouts != nil {
		s.IsMoving, carries = c.config.Rollouts.IsMoving(service.Name)
	}
	for _, u := range c.config.Upstreams.Of(service.Name) {
		if u.Leaving() || s.IsMoving && !carries(u.Instance.Version) {
			continue
		}
		s.Present[Place{
			FailureDomain: u.Instance.FailureDomain,
			Market:        u.Instance.Market,
		}]++
	}
	for key, last := range c.orders {
		if key.service == service.Name {
			s.Ordered[key.place] = last.count
		}
	}
	now := time.Now()
	t := c.trackerOf(service)
	t.recordNeed(s, c.isStartupOver(now), now)
	s.Required = t.needs.Required(now)
	s.Desired = t.needs.Desired(now)
	s.Retained = t.retainedCount(s)
	s.ReclaimableUnavailable = t.reclaimableUnavailable
	for key, until := range c.refused {
		if key.service == service.Name && now.Before(until) {
			s.Refused[key.place] = true
		}
	}
	s.Expected = c.expected(s, now)
	s.Shares = c.domainShares(s, now)
	s.Rising, s.Falling = t.domains.Trends(now)
	return s
}

// isStartupOver reports whether startupDelay is over, so that on-demand replicas may
// be ordered and the number of any replicas reduced.
func (c *Controller) isStartupOver(now time.Time) bool { return now.Sub(c.startedAt) >= startupDelay }

// order sends an order if it differs from the last one, if the last one was not
// fulfilled, or if some of its replicas have left since. It reports whether the
// order was refused.
//
// A failure domain may be reclaimed seconds after replicas were ordered there.
// The replicas that left must not count as still starting, or no replacement
// would be ordered until repeatOrderAfter.
func (c *Controller) order(ctx context.Context, service string, place Place, count int, s State) (refused bool) {
	key := orderKey{
		service: service,
		place:   place,
	}
	now := time.Now()
	settled := c.isStartupOver(now) && c.trackers[service].isListComplete(now)
	if !settled && (place.Market == zinniamast.OnDemand || count < s.Present[place]) {
		return false
	}
	if (s.IsMoving || !c.config.Demand.IsComplete()) && count < s.Present[place] {
		return false
	}
	last, ok := c.orders[key]
	present := s.Present[place]
	if !ok {
		last = order{
			count: present,
		}
	}
	last.maxPresent = max(last.maxPresent, present)
	if count == last.count && (present >= count || last.isPending(present, now)) {
		c.orders[key] = last
		return false
	}
	if count > present && now.Before(c.refused[key]) {
		return false
	}
	return c.send(ctx, key, count, s)
}

func (c *Controller) send(ctx context.Context, key orderKey, count int, s State) (refused bool) {
	fence, err := c.config.Lease.Check(orderTimeout)
	if err != nil || fence != c.fence {
		return false
	}
	// An order that was sent is awaited even while the node stops, since the lease is
	// released afterwards.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	err = c.config.Duties.Scale(ctx, fence, zinniamast.ScaleOrder{
		Service:       key.service,
		FailureDomain: key.place.FailureDomain,
		Market:        key.place.Market,
		Count:         count,
	})
	c.config.Logger.Info("replicas ordered", "service", key.service, "failure_domain", key.place.FailureDomain,
		"market", key.place.Market, "count", count, "present", s.Present[key.place], "running", s.Load.Running,
		"prompt_tokens_a_second", s.Load.Prompt, "work", s.Load.Work, "least", s.Required, "wanted", s.Desired, "fence", fence, "cause", err)
	if count > s.Present[key.place] && key.place.Market == zinniamast.Reclaimable {
		c.trackers[key.service].reclaimableUnavailable = errors.Is(err, zinniamast.ErrRefused)
	}
	switch {
	case err == nil:
		if key.place.Market == zinniamast.OnDemand {
			c.trackers[key.service].recordPurchase(count-max(s.Present[key.place], c.orders[key].count), time.Now())
		}
		c.orders[key] = order{
			count: count,
			at:    time.Now(),
		}
	case errors.Is(err, zinniamast.ErrRefused):
		c.refused[key] = time.Now().Add(refusalBackoff)
	}
	return errors.Is(err, zinniamast.ErrRefused)
}
