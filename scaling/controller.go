package scaling

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/demand"
	"zinniamast/routes"
)

const (
	// interval is how often the holder looks.
	interval = 500 * time.Millisecond
	// sendTime is what the lease must still last for one order.
	sendTime = time.Second
	// refusedFor is how long a place where none was to be had is left alone.
	refusedFor = 4 * time.Second
	// plansAtOnce is how often a plan is made anew at once where some of it was
	// refused: a failure domain's replicas leave within seconds of their notice,
	// and the next place should not wait for the next look.
	plansAtOnce = 3
	// repeatAfter is when an order is sent again that is not fulfilled.
	repeatAfter = 6 * time.Second
	// settleFor is how long a process that has just started orders no replicas on
	// demand, and none fewer.
	//
	// Failure: replicas enter themselves in the list within a second or two. The
	// least number, ordered before they were seen, took the others away.
	settleFor = 2 * time.Second
	// growsFor is how long a list that has grown may still grow.
	growsFor = time.Second
	// unknownStart stands for a service that does not say how long its replicas
	// take to start.
	unknownStart = 4 * time.Second
)

// Lease is the right to order.
type Lease interface {
	// Check returns the fencing number if this node may act for at least need.
	Check(need time.Duration) (uint64, error)
}

// Config says what a controller works with.
type Config struct {
	Routes    *routes.Table
	Upstreams *blackboard.Upstreams
	Demand    *demand.Demand
	Lease     Lease
	Duties    zinniamast.Duties
	// FailureDomains are all there are.
	FailureDomains []string
	// Logger hears of orders; nil means slog's default.
	Logger *slog.Logger
}

// Controller orders replicas while this node holds the lease.
type Controller struct {
	config Config
	fence  uint64
	// began is when the process started.
	began time.Time
	// orders are what this holder ordered last.
	orders map[orderKey]order
	// refused holds until when a place is left alone.
	refused  map[orderKey]time.Time
	services map[string]*service
}

type orderKey struct {
	service string
	place   Place
}

type order struct {
	count int
	at    time.Time
	// seen is the most that were there since.
	seen int
}

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Controller{
		config:   config,
		began:    time.Now(),
		orders:   map[orderKey]order{},
		refused:  map[orderKey]time.Time{},
		services: map[string]*service{},
	}
}

// Run orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// look compares the plan with what was ordered.
func (c *Controller) look(ctx context.Context) {
	fence, err := c.config.Lease.Check(sendTime)
	table := c.config.Routes.Current()
	if err != nil || table == nil {
		return
	}
	if fence != c.fence {
		c.fence = fence
		clear(c.orders)
		clear(c.refused)
		clear(c.services)
	}
	for name, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		for range plansAtOnce {
			if !c.orderAll(ctx, name, c.state(service)) {
				break
			}
		}
	}
}

// orderAll orders what is planned and says whether some of it was refused.
func (c *Controller) orderAll(ctx context.Context, service string, s State) bool {
	refused := false
	for place, count := range Plan(s) {
		if c.order(ctx, service, place, count, s) {
			refused = true
		}
	}
	return refused
}

// service is what this holder knows of a service since it holds the lease.
type service struct {
	needs Needs
	// found is what was there at first; nil before the first look.
	found *found
	// bought are this holder's orders on demand.
	bought []bought
	// known says that the work of enough requests was known to size the demand.
	known bool
	// dry says that reclaimable replicas were refused when last asked for.
	dry bool
}

// found are the replicas that a new holder found. The list of them comes in
// parts; reclaimable ones that come later may be its own orders.
type found struct {
	reclaimable int
	onDemand    int
	// grew says that the last look showed more than the one before, and partial
	// that two looks in a row did once orders had begun: the list was not whole.
	grew    bool
	partial bool
	// grewAt is when a look last showed more.
	grewAt time.Time
}

// see takes in the replicas on demand that a look shows and this holder did not
// order; ordering says that orders for them may go out.
func (f *found) see(onDemand int, ordering bool, now time.Time) {
	grows := onDemand > f.onDemand
	if grows {
		f.grewAt = now
	}
	f.partial = f.partial || ordering && grows && f.grew
	f.grew = grows
	f.onDemand = max(f.onDemand, onDemand)
}

// bought is a number of replicas on demand that this holder ordered at a time.
type bought struct {
	count int
	at    time.Time
}

// buy notes an order on demand for so many more replicas.
func (s *service) buy(count int, now time.Time) {
	if count > 0 {
		s.bought = append(s.bought, bought{
			count: count,
			at:    now,
		})
	}
}

// own is how many of the replicas on demand may be this holder's own orders: one
// that is there within half of the usual time to start was on its way before.
//
// Failure: the market is dry and nobody knows the demand. Replicas ordered on
// demand in place of reclaimed ones were taken for found ones, and as many again
// were ordered, up to the most.
func (s *service) own(now time.Time) int {
	sum := 0
	for _, b := range s.bought {
		if now.Sub(b.at) >= s.needs.Start/2 {
			sum += b.count
		}
	}
	return sum
}

// listed says whether the list of replicas seems whole, or callers have told what
// they need.
//
// Failure: the list begins a moment after orders may go out. An order for the
// replicas on demand that are seen takes the others away.
func (s *service) listed(now time.Time) bool {
	return s.known || s.found == nil || now.Sub(s.found.grewAt) >= growsFor
}

// serviceOf returns what is known of a service.
func (c *Controller) serviceOf(of routes.Service) *service {
	known, ok := c.services[of.Name]
	if !ok {
		known = &service{
			needs: Needs{
				Start: cmp.Or(of.Scaling.BootTime, unknownStart),
			},
		}
		c.services[of.Name] = known
	}
	return known
}

// add takes in what a service needs now. Until the demand is known, as many
// replicas as were found are wanted: it is what the operator, or the holder
// before, thought right. Beyond those, dear ones are not bought before callers
// come. Ordering says that orders on demand may go out.
func (s *service) add(state State, ordering bool, now time.Time) {
	s.known = s.known || sizedPart(state.Load) >= knownPart
	if !s.known {
		s.see(state, ordering, now)
		needed := 0
		if state.Load.Arrivals > 0 {
			needed = withoutSpareDomain(s.before(state), len(state.Domains))
		}
		s.needs.Add(needed, withSpareDomain(s.before(state), len(state.Domains)), now)
	}
	s.needs.Add(least(state), wanted(state), now)
}

// see takes in what a look shows while the demand is not known.
func (s *service) see(state State, ordering bool, now time.Time) {
	if s.found == nil {
		s.found = &found{
			reclaimable: presentIn(state, zinniamast.Reclaimable),
		}
	}
	s.found.see(presentIn(state, zinniamast.OnDemand)-s.own(now), ordering, now)
}

// before is how many replicas there were before this holder ordered any.
//
// Failure: the list of a large fleet comes in parts, for seconds, and an order
// for those that are seen takes the others away. Sized by the part that was seen,
// a fifth of the fleet met the first callers. A list that is not whole says
// little, and the middle of what may be ordered stands for it.
func (s *service) before(state State) int {
	seen := s.found.reclaimable + s.found.onDemand
	if !s.found.partial {
		return seen
	}
	return max(seen, middle(state))
}

// kept is how many replicas stay until cheaper ones are there: before anybody
// has asked, as many as there were.
func (s *service) kept(state State) int {
	if s.known {
		return 0
	}
	return s.before(state)
}

// presentIn is how many replicas of a market are there.
func presentIn(s State, market zinniamast.Market) int {
	sum := 0
	for place, count := range s.Present {
		if place.Market == market {
			sum += count
		}
	}
	return sum
}

// domains are the failure domains in which a service runs or may run.
func (c *Controller) domains(service routes.Service) []string {
	if len(service.Scaling.Prices) == 0 {
		return slices.Clone(c.config.FailureDomains)
	}
	return slices.Collect(maps.Keys(service.Scaling.Prices))
}

// state gathers what a plan is made from.
func (c *Controller) state(service routes.Service) State {
	s := State{
		Service: service,
		Load:    c.config.Demand.Of(service.Name),
		Domains: c.domains(service),
		Refused: map[Place]bool{},
		Present: map[Place]int{},
		Ordered: map[Place]int{},
	}
	for _, u := range c.config.Upstreams.Of(service.Name) {
		if u.Leaving() {
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
	known := c.serviceOf(service)
	known.add(s, c.settled(now), now)
	s.Least = known.needs.Least(now)
	s.Needed = known.needs.Wanted(now)
	s.Kept = known.kept(s)
	s.Dry = known.dry
	for key, until := range c.refused {
		if key.service == service.Name && now.Before(until) {
			s.Refused[key.place] = true
		}
	}
	return s
}

// settled says whether the process has been there long enough to order on demand,
// and fewer of any.
func (c *Controller) settled(now time.Time) bool { return now.Sub(c.began) >= settleFor }

// order sends an order that differs from the last one, that was not fulfilled, or
// of which some have gone again, and says whether it was refused.
//
// Failure: a failure domain is reclaimed seconds after replicas were ordered
// there. Those that went were taken for some that still start, and nothing was
// ordered in their place until the time for that was over.
func (c *Controller) order(ctx context.Context, service string, place Place, count int, s State) (refused bool) {
	key := orderKey{
		service: service,
		place:   place,
	}
	now := time.Now()
	settled := c.settled(now) && c.services[service].listed(now)
	if !settled && (place.Market == zinniamast.OnDemand || count < s.Present[place]) {
		return false
	}
	last, known := c.orders[key]
	present := s.Present[place]
	if !known {
		last = order{
			count: present,
		}
	}
	last.seen = max(last.seen, present)
	waiting := present == last.seen && now.Sub(last.at) < repeatAfter
	if count == last.count && (present >= count || waiting) {
		c.orders[key] = last
		return false
	}
	if count > present && now.Before(c.refused[key]) {
		return false
	}
	return c.send(ctx, key, count, s)
}

func (c *Controller) send(ctx context.Context, key orderKey, count int, s State) (refused bool) {
	fence, err := c.config.Lease.Check(sendTime)
	if err != nil || fence != c.fence {
		return false
	}
	// Once sent it is waited for, also by a node that stops: the lease is released after it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTime)
	defer cancel()
	err = c.config.Duties.Scale(ctx, fence, zinniamast.ScaleOrder{
		Service:       key.service,
		FailureDomain: key.place.FailureDomain,
		Market:        key.place.Market,
		Count:         count,
	})
	c.config.Logger.Info("replicas ordered", "service", key.service, "failure_domain", key.place.FailureDomain,
		"market", key.place.Market, "count", count, "present", s.Present[key.place], "running", s.Load.Running,
		"prompt_tokens_a_second", s.Load.Prompt, "work", s.Load.Work, "least", s.Least, "wanted", s.Needed, "fence", fence, "cause", err)
	if count > s.Present[key.place] && key.place.Market == zinniamast.Reclaimable {
		c.services[key.service].dry = errors.Is(err, zinniamast.ErrRefused)
	}
	switch {
	case err == nil:
		if key.place.Market == zinniamast.OnDemand {
			c.services[key.service].buy(count-max(s.Present[key.place], c.orders[key].count), time.Now())
		}
		c.orders[key] = order{
			count: count,
			at:    time.Now(),
		}
	case errors.Is(err, zinniamast.ErrRefused):
		c.refused[key] = time.Now().Add(refusedFor)
	}
	return errors.Is(err, zinniamast.ErrRefused)
}
