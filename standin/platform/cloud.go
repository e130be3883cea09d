package platform

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniamast"
)

// Cloud is the stand-in for the cloud and for its lagging instance list.
type Cloud struct {
	gate     *gate
	listGate *gate
	lag      time.Duration
	onStart  func(*zinniamast.Instance)

	mu        sync.Mutex
	offers    []zinniamast.Offer
	instances map[string]zinniamast.Instance
	// tokens maps idempotency tokens to the instances started with them.
	tokens map[string]zinniamast.Instance
	// history holds the recent listings, oldest first.
	history []listing
	stale   *listing
	next    int
}

// listing is the instance list at one time.
type listing struct {
	at        time.Time
	instances []zinniamast.Instance
}

func newCloud(c Config, g, list *gate) *Cloud {
	cloud := &Cloud{
		gate:      g,
		listGate:  list,
		lag:       c.ListLag,
		onStart:   c.OnStart,
		offers:    c.Offers,
		instances: map[string]zinniamast.Instance{},
		tokens:    map[string]zinniamast.Instance{},
	}
	for _, instance := range c.Instances {
		cloud.instances[instance.ID] = instance
	}
	// The initial instances are listed immediately, regardless of the lag.
	cloud.history = []listing{{
		instances: cloud.sorted(),
	}}
	list.onStaleChange = cloud.setStale
	return cloud
}

// setStale freezes the listing that is visible now, or lets the list follow
// changes again.
func (c *Cloud) setStale(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = nil
	if on {
		visible := c.visibleListing()
		c.stale = &visible
	}
}

// sorted returns the instances by ID; the caller holds the lock.
func (c *Cloud) sorted() []zinniamast.Instance {
	return slices.SortedFunc(maps.Values(c.instances), func(a, b zinniamast.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// recordListing records a change for the lagging list; the caller holds the lock.
func (c *Cloud) recordListing() {
	c.history = append(c.history, listing{
		at:        time.Now(),
		instances: c.sorted(),
	})
	for len(c.history) > 1 && time.Since(c.history[1].at) > c.lag {
		c.history = c.history[1:]
	}
}

// visibleListing returns the listing that is visible after the lag; the caller holds the lock.
func (c *Cloud) visibleListing() listing {
	shown := c.history[0]
	for _, l := range c.history {
		if time.Since(l.at) >= c.lag {
			shown = l
		}
	}
	return shown
}

// expire removes reclaimed instances whose leave time has passed; the caller holds the lock.
func (c *Cloud) expire() {
	changed := false
	for id, instance := range c.instances {
		if !instance.LeavesAt.IsZero() && !time.Now().Before(instance.LeavesAt) {
			delete(c.instances, id)
			changed = true
		}
	}
	if changed {
		c.recordListing()
	}
}

// Offers implements zinniamast.Cloud.
func (c *Cloud) Offers(ctx context.Context) ([]zinniamast.Offer, error) {
	if err := c.gate.admitRead(ctx, nil); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.offers), nil
}

// SetOffers replaces the offers of the cloud.
func (c *Cloud) SetOffers(offers []zinniamast.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offers = offers
}

// Start implements zinniamast.Cloud.
func (c *Cloud) Start(ctx context.Context, token string, offer zinniamast.Offer, role string) (zinniamast.Instance, error) {
	if err := c.gate.admitWrite(ctx, nil, 1); err != nil {
		return zinniamast.Instance{}, err
	}
	instance, fresh, err := c.start(token, offer, role)
	if err != nil {
		return zinniamast.Instance{}, err
	}
	items := 0
	if fresh {
		items = 1
	}
	return instance, c.gate.completeWrite(items)
}

func (c *Cloud) start(token string, offer zinniamast.Offer, role string) (zinniamast.Instance, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if instance, ok := c.tokens[token]; ok {
		return instance, false, nil
	}
	refused := c.gate.currentFault().RefuseStarts
	if slices.Contains(refused, "*") || slices.Contains(refused, offer.FailureDomain) {
		return zinniamast.Instance{}, false, zinniamast.ErrRefused
	}
	c.next++
	role, service, _ := strings.Cut(role, "/")
	instance := zinniamast.Instance{
		ID:            fmt.Sprintf("i-%06d", c.next),
		FailureDomain: offer.FailureDomain,
		Class:         offer.Class,
		Market:        offer.Market,
		Role:          role,
		Service:       service,
		Started:       time.Now(),
	}
	if c.onStart != nil {
		c.onStart(&instance)
	}
	c.instances[instance.ID] = instance
	c.tokens[token] = instance
	c.recordListing()
	return instance, true, nil
}

// Stop implements zinniamast.Cloud.
func (c *Cloud) Stop(ctx context.Context, id string) error {
	if err := c.gate.admitWrite(ctx, nil, 1); err != nil {
		return err
	}
	c.mu.Lock()
	if _, ok := c.instances[id]; ok {
		delete(c.instances, id)
		c.recordListing()
	}
	c.mu.Unlock()
	return c.gate.completeWrite(0)
}

// Notices implements zinniamast.Cloud.
func (c *Cloud) Notices(ctx context.Context) ([]zinniamast.Notice, error) {
	if err := c.gate.admitRead(ctx, nil); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	var notices []zinniamast.Notice
	for _, instance := range c.sorted() {
		if !instance.LeavesAt.IsZero() {
			notices = append(notices, zinniamast.Notice{
				Instance: instance.ID,
				At:       instance.LeavesAt,
			})
		}
	}
	return notices, nil
}

// List implements zinniamast.InstanceList.
func (c *Cloud) List(ctx context.Context) ([]zinniamast.Instance, error) {
	if err := c.listGate.admitRead(ctx, nil); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	if c.stale != nil {
		return slices.Clone(c.stale.instances), nil
	}
	return slices.Clone(c.visibleListing().instances), nil
}

// Add adds an instance that was not started through Start.
func (c *Cloud) Add(instance zinniamast.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[instance.ID] = instance
	c.recordListing()
}

// Live returns the existing instances, without the lag of the list.
func (c *Cloud) Live() []zinniamast.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire()
	return c.sorted()
}

// Reclaim announces that one instance is reclaimed after the given time.
func (c *Cloud) Reclaim(id string, after time.Duration) {
	c.reclaim(after, func(instance zinniamast.Instance) bool { return instance.ID == id })
}

// ReclaimDomain announces that all reclaimable instances of a failure domain are
// reclaimed after the given time.
func (c *Cloud) ReclaimDomain(failureDomain string, after time.Duration) {
	c.reclaim(after, func(instance zinniamast.Instance) bool {
		return instance.FailureDomain == failureDomain && instance.Market == zinniamast.Reclaimable
	})
}

func (c *Cloud) reclaim(after time.Duration, match func(zinniamast.Instance) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, instance := range c.instances {
		if !match(instance) {
			continue
		}
		instance.Leaving = true
		instance.LeavesAt = time.Now().Add(after)
		c.instances[id] = instance
	}
	c.recordListing()
}
