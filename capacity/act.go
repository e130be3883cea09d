package capacity

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniamast"
)

// maxConcurrentCalls bounds the purchases that are sent to the cloud in parallel.
const maxConcurrentCalls = 8

// leavingPropagationTime is how long it may take until every node knows that an
// instance takes no new work. Until then an idle instance may still get requests.
const leavingPropagationTime = 10 * time.Second

// startInstances carries out the pending purchases and reports whether the intents changed.
func (c *Controller) startInstances(ctx context.Context) bool {
	var mu sync.Mutex
	changed := false
	refused := map[string]bool{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i := range c.record.Starts {
		s := &c.record.Starts[i]
		if s.Instance.ID != "" {
			continue
		}
		group.Go(func() error {
			instance, err := c.buy(ctx, s)
			mu.Lock()
			defer mu.Unlock()
			changed = c.recordStartResult(s, instance, err, refused) || changed
			return nil
		})
	}
	_ = group.Wait()
	c.record.Starts = slices.DeleteFunc(c.record.Starts, func(s pendingStart) bool { return refused[s.Token] })
	return changed
}

func (c *Controller) buy(ctx context.Context, s *pendingStart) (zinniamast.Instance, error) {
	guarded, cancel, _, err := c.config.Lease.Guard(ctx, callTimeout)
	if err != nil {
		return zinniamast.Instance{}, err
	}
	defer cancel()
	role := s.Purchase.Role + "/" + s.Purchase.Service
	return c.config.Cloud.Start(guarded, s.Token, s.Purchase.Offer, role)
}

// recordStartResult records the result of a purchase and reports whether the
// intents changed. A lost answer changes nothing: the next round, or the next
// lease holder, retries the purchase with the same token.
func (c *Controller) recordStartResult(s *pendingStart, instance zinniamast.Instance, err error, refused map[string]bool) bool {
	offer := s.Purchase.Offer
	labels := []string{offer.FailureDomain, string(offer.Market)}
	switch {
	case err == nil:
		s.Instance = instance
		c.refusals.clear(offer)
		c.metrics.starts.WithLabelValues(labels...).Inc()
		c.config.Logger.Info("capacity", "action", "start", "instance", instance.ID, "service", s.Purchase.Service,
			"failure_domain", offer.FailureDomain, "class", offer.Class, "market", offer.Market, "price", offer.Price)
		return true
	case errors.Is(err, zinniamast.ErrRefused):
		refused[s.Token] = true
		c.refusals.recordRefusal(time.Now(), offer)
		c.metrics.refused.WithLabelValues(labels...).Inc()
		return true
	default:
		c.recordFailure(stepStart, err)
		return false
	}
}

// stopInstances drains instances, returns the idle ones to the cloud and reports
// whether the intents changed.
func (c *Controller) stopInstances(ctx context.Context) bool {
	changed := false
	for i := range c.record.Stops {
		s := &c.record.Stops[i]
		if s.Done {
			continue
		}
		c.config.AnnounceLeaving(s.Instance, time.Time{})
		if !c.isIdle(s) {
			c.metrics.waits.WithLabelValues(waitDrain).Inc()
			continue
		}
		if err := c.returnInstance(ctx, s.Instance); err != nil {
			c.recordFailure(stepStop, err)
			continue
		}
		s.Done = true
		changed = true
		c.metrics.stops.Inc()
		c.config.Logger.Info("capacity", "action", "stop", "instance", s.Instance)
	}
	return changed
}

func (c *Controller) returnInstance(ctx context.Context, id string) error {
	guarded, cancel, _, err := c.config.Lease.Guard(ctx, callTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	return c.config.Cloud.Stop(guarded, id)
}

// isIdle reports whether an instance has finished its work. Only a report from after
// leavingPropagationTime counts; otherwise the stop would cut off requests that
// arrived since the report.
func (c *Controller) isIdle(s *pendingStop) bool {
	report, ok := c.config.Report(s.Instance)
	return ok && report.Running+report.Waiting == 0 && report.At.Sub(s.At) > leavingPropagationTime
}

// sendOrders orders engines to load and unload models until they hold what the
// demands require.
func (c *Controller) sendOrders(ctx context.Context, v *view, demands []Demand) {
	if v.now.Sub(c.takenOverAt) < takeOverDelay {
		c.metrics.waits.WithLabelValues(waitTakeOver).Inc()
		return
	}
	var replicas []Replica
	for id, instance := range v.listed {
		report, ok := c.config.Report(id)
		if v.leaving[id] || !ok {
			continue
		}
		replicas = append(replicas, Replica{
			Instance: id,
			Service:  instance.Service,
			Loaded:   report.Models,
			Reported: report.At,
		})
	}
	slices.SortFunc(replicas, func(a, b Replica) int {
		return cmp.Or(v.listed[a.Instance].Started.Compare(v.listed[b.Instance].Started),
			strings.Compare(a.Instance, b.Instance))
	})
	c.orders.Retain(func(id string) bool { return v.listed[id].ID != "" && !v.leaving[id] })
	for _, command := range c.orders.Plan(v.now, demands, replicas) {
		if !c.sendOrder(ctx, v.listed[command.Instance], command) {
			return
		}
	}
}

// sendOrder sends one order and reports whether more may be sent in this round.
func (c *Controller) sendOrder(ctx context.Context, instance zinniamast.Instance, command Command) bool {
	guarded, cancel, fence, err := c.config.Lease.Guard(ctx, callTimeout)
	if err != nil {
		return false
	}
	defer cancel()
	engine := c.config.Engine(instance)
	if engine == nil {
		return true
	}
	if command.Order.Action == "load" {
		if err := c.config.Weights.Permit(guarded, command.Order.Model); err != nil {
			// The weight store's rate limit is reached; the remaining orders wait for
			// the next round.
			c.metrics.waits.WithLabelValues(waitWeights).Inc()
			return false
		}
	}
	command.Order.Fence = fence
	c.orders.Sent(time.Now(), command)
	if err := engine.Order(guarded, command.Order); err != nil {
		c.recordFailure(stepOrder, err)
		return true
	}
	c.metrics.orders.WithLabelValues(command.Order.Action).Inc()
	c.config.Logger.Info("capacity", "action", command.Order.Action, "instance", instance.ID,
		"model", command.Order.Model, "fence", fence)
	return true
}
