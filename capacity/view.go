package capacity

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniamast"
)

// view is the state of the fleet that a round observes.
type view struct {
	now     time.Time
	listed  map[string]zinniamast.Instance
	leaving map[string]bool
}

// observe reads instances, notices and, if the last ones are stale, offers from the
// platform.
func (c *Controller) observe(ctx context.Context) (*view, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := &view{
		now:     time.Now(),
		listed:  map[string]zinniamast.Instance{},
		leaving: map[string]bool{},
	}
	var instances []zinniamast.Instance
	var notices []zinniamast.Notice
	offers := c.offers
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		instances, err = c.config.List.List(ctx)
		return err
	})
	group.Go(func() (err error) {
		notices, err = c.config.Cloud.Notices(ctx)
		return err
	})
	stale := v.now.Sub(c.offersReadAt) >= offersInterval
	if stale {
		group.Go(func() (err error) {
			offers, err = c.config.Cloud.Offers(ctx)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if stale {
		c.offers, c.offersReadAt = offers, v.now
		for _, offer := range offers {
			c.prices[kindNameOf(offer)] = offer.Price
		}
	}
	for _, instance := range instances {
		v.listed[instance.ID] = instance
		v.leaving[instance.ID] = instance.Leaving
	}
	// A notice counts at once, even if the lagging list doesn't show it yet: the
	// replacement must load its weights while the old instance still serves.
	for _, notice := range notices {
		v.leaving[notice.Instance] = true
	}
	for _, s := range c.record.Stops {
		v.leaving[s.Instance] = true
	}
	return v, nil
}

// plan decides on the actions for a view.
func (c *Controller) plan(v *view, demands []Demand) Actions {
	s := Snapshot{
		Now:     v.now,
		Demands: demands,
		Classes: c.config.Classes(),
		Offers:  c.refusals.availableOffers(v.now, c.offers),
	}
	if v.now.Sub(c.exchangedAt) >= exchangeInterval {
		s.Exchange = true
		c.exchangedAt = v.now
	}
	models := map[string][]string{}
	for _, d := range demands {
		models[d.Service] = d.Models
	}
	cost := 0.0
	add := func(instance zinniamast.Instance) {
		if v.leaving[instance.ID] || instance.Role == "entry" {
			return
		}
		price := c.prices[kindNameOf(zinniamast.Offer{
			FailureDomain: instance.FailureDomain,
			Class:         instance.Class,
			Market:        instance.Market,
		})]
		cost += price
		s.Instances = append(s.Instances, Instance{
			Instance: instance,
			Price:    max(price, epsilon),
			Ready:    c.isServing(instance, models[instance.Service]),
		})
	}
	for _, instance := range v.listed {
		add(instance)
	}
	for _, start := range c.record.Starts {
		if _, listed := v.listed[start.Instance.ID]; !listed {
			add(start.expectedInstance())
		}
	}
	slices.SortFunc(s.Instances, func(a, b Instance) int {
		return cmp.Or(a.Started.Compare(b.Started), strings.Compare(a.ID, b.ID))
	})
	c.metrics.costs.Set(cost)
	actions := Plan(s, c.config.Rules)
	c.metrics.unmet.Set(float64(len(actions.Unmet)))
	return actions
}

// expectedInstance returns the instance that results from a purchase. Its ID is empty
// until the cloud has answered.
func (s pendingStart) expectedInstance() zinniamast.Instance {
	instance := s.Instance
	instance.FailureDomain = s.Purchase.Offer.FailureDomain
	instance.Class = s.Purchase.Offer.Class
	instance.Market = s.Purchase.Offer.Market
	instance.Role = s.Purchase.Role
	instance.Service = s.Purchase.Service
	instance.Started = s.At
	return instance
}

// isServing reports whether an instance has loaded all the given models and is not leaving.
func (c *Controller) isServing(instance zinniamast.Instance, models []string) bool {
	if instance.ID == "" {
		return false
	}
	report, ok := c.config.Report(instance.ID)
	return ok && !report.Leaving && len(missing(models, report.Models)) == 0
}

// recordIntents adds the actions to the intents and reports whether there were any.
func (c *Controller) recordIntents(now time.Time, actions Actions) bool {
	for _, purchase := range actions.Starts {
		c.sequence++
		c.record.Starts = append(c.record.Starts, pendingStart{
			Token: strconv.FormatUint(c.fence, 10) + "-" + strconv.FormatUint(c.record.revision, 10) + "-" +
				strconv.FormatUint(c.sequence, 10),
			Purchase: purchase,
			At:       now,
		})
	}
	for _, id := range actions.Stops {
		c.record.Stops = append(c.record.Stops, pendingStop{
			Instance: id,
			At:       now,
		})
	}
	return len(actions.Starts)+len(actions.Stops) > 0
}
