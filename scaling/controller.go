package scaling

import (
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
	// repeatAfter is when an order is sent again that is not fulfilled.
	repeatAfter = 6 * time.Second
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
	// orders are what this holder ordered last.
	orders map[orderKey]order
	// refused holds until when a place is left alone.
	refused map[orderKey]time.Time
	// needs holds what each service needed lately.
	needs map[string]*Needs
}

type orderKey struct {
	service string
	place   Place
}

type order struct {
	count int
	at    time.Time
}

// New returns a controller; Run starts it.
func New(config Config) *Controller {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	return &Controller{
		config:  config,
		orders:  map[orderKey]order{},
		refused: map[orderKey]time.Time{},
		needs:   map[string]*Needs{},
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
		clear(c.needs)
		c.holdPresent(table)
	}
	for name, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		state := c.state(service)
		for place, count := range Plan(state) {
			c.order(ctx, name, place, count, state)
		}
	}
}

// firstFence is the fencing number of the first holder ever.
const firstFence = 1

// holdPresent counts what is there as needed for a while: a node that has just
// started has heard of no demand yet, and would give half the fleet back. The
// first holder starts with the fleet, before its callers, and holds nothing.
func (c *Controller) holdPresent(table *routes.Config) {
	if c.fence == firstFence {
		return
	}
	for name, service := range table.Services {
		if service.Scaling == nil {
			continue
		}
		present := 0
		for _, u := range c.config.Upstreams.Of(name) {
			if !u.Leaving() {
				present++
			}
		}
		c.needsOf(name).Add(withoutSpareDomain(present, len(c.domains(service))), time.Now())
	}
}

func (c *Controller) needsOf(service string) *Needs {
	known, ok := c.needs[service]
	if !ok {
		known = &Needs{}
		c.needs[service] = known
	}
	return known
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
	needs := c.needsOf(service.Name)
	needs.Add(least(s), now)
	s.Least = needs.Least(now)
	s.Needed = withSpareDomain(needs.Wanted(now), len(s.Domains))
	for key, until := range c.refused {
		if key.service == service.Name && now.Before(until) {
			s.Refused[key.place] = true
		}
	}
	return s
}

// order sends an order that differs from the last one, or that was not fulfilled.
func (c *Controller) order(ctx context.Context, service string, place Place, count int, s State) {
	key := orderKey{
		service: service,
		place:   place,
	}
	now := time.Now()
	last, known := c.orders[key]
	present := s.Present[place]
	if !known {
		last = order{
			count: present,
		}
	}
	if count == last.count && (present >= count || now.Sub(last.at) < repeatAfter) {
		c.orders[key] = last
		return
	}
	if count > present && now.Before(c.refused[key]) {
		return
	}
	c.send(ctx, key, count, s)
}

func (c *Controller) send(ctx context.Context, key orderKey, count int, s State) {
	fence, err := c.config.Lease.Check(sendTime)
	if err != nil || fence != c.fence {
		return
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
		"prompt_tokens_a_second", s.Load.Prompt, "fence", fence, "cause", err)
	switch {
	case err == nil:
		c.orders[key] = order{
			count: count,
			at:    time.Now(),
		}
	case errors.Is(err, zinniamast.ErrRefused):
		c.refused[key] = time.Now().Add(refusedFor)
	}
}
