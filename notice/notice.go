// Package notice reads the cloud's reclaim notices and acts on each at once: it
// marks upstreams as leaving and starts the departure of this node's instance.
package notice

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// readSpacing is the time between the reads of one failure domain. Nodes
	// share each notice they find, so the rate of calls to the cloud API does
	// not depend on the number of nodes.
	readSpacing = 250 * time.Millisecond
	// minReadInterval and maxReadInterval bound the time between the reads of
	// one node.
	minReadInterval = 500 * time.Millisecond
	maxReadInterval = 10 * time.Second
	readTimeout     = 2 * time.Second
	// gossipTTL is how long a notice is repeated to nodes that missed it.
	gossipTTL = 2 * time.Minute
)

// TopicNotice announces that an instance is to be reclaimed; the key is its ID.
const TopicNotice zinniamast.Topic = "notice"

// Config configures a Controller.
type Config struct {
	Cloud     zinniamast.Cloud
	Upstreams *blackboard.Upstreams
	Members   *blackboard.Members
	Gossip    zinniamast.Gossip
	// Instance and FailureDomain identify this node.
	Instance      string
	FailureDomain string
	// OnInstanceReclaim is called once when this instance is to be reclaimed, with the
	// time.
	OnInstanceReclaim func(at time.Time)
	Logger            *slog.Logger
}

// Controller reads notices, shares them with other nodes and acts on them.
type Controller struct {
	config Config

	mu        sync.Mutex
	announced map[string]time.Time
	// isFailing reports whether the last read failed; only changes are logged.
	isFailing bool
}

// New returns a controller that receives notices from peers at once; Run starts
// reading the cloud's notices.
func New(config Config) *Controller {
	c := &Controller{
		config:    config,
		announced: map[string]time.Time{},
	}
	config.Gossip.Subscribe(TopicNotice, c.receive)
	return c
}

// Run reads notices, taking turns with the other nodes, until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.Read(ctx)
		c.remarkLeaving()
		select {
		case <-time.After(c.config.Members.TurnInterval(c.config.FailureDomain, readSpacing, minReadInterval, maxReadInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// Read reads the notices once and acts on them. If the read fails, nothing
// changes.
func (c *Controller) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	notices, err := c.config.Cloud.Notices(ctx)
	if c.setFailing(err != nil) {
		c.config.Logger.Warn("availability of reclaim notices changed", "available", err == nil, "cause", err)
	}
	if err != nil {
		return
	}
	// This instance's own notice is handled last, so that upstreams reclaimed
	// with it are already marked as leaving.
	slices.SortStableFunc(notices, func(a, b zinniamast.Notice) int {
		if a.Instance == b.Instance || a.Instance != c.config.Instance && b.Instance != c.config.Instance {
			return 0
		}
		if a.Instance == c.config.Instance {
			return 1
		}
		return -1
	})
	for _, n := range notices {
		if !c.record(n) {
			continue
		}
		value, err := json.Marshal(n)
		if err != nil {
			continue
		}
		c.config.Gossip.Publish(zinniamast.GossipItem{
			Topic:      TopicNotice,
			Key:        n.Instance,
			Value:      value,
			Expires:    time.Now().Add(gossipTTL),
			AllDomains: true,
		})
	}
}

// setFailing records whether reads fail and reports whether that changed.
func (c *Controller) setFailing(failing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.isFailing != failing
	c.isFailing = failing
	return changed
}

// receive handles a notice from a peer.
func (c *Controller) receive(item zinniamast.GossipItem) {
	var n zinniamast.Notice
	if err := json.Unmarshal(item.Value, &n); err != nil {
		c.config.Logger.Warn("failed to decode reclaim notice", "origin", item.Origin, "cause", err)
		return
	}
	c.record(n)
}

// record stores a notice, acts on it if it is new, and reports whether it was.
func (c *Controller) record(n zinniamast.Notice) bool {
	c.mu.Lock()
	at, isKnown := c.announced[n.Instance]
	isNew := !isKnown || !at.Equal(n.At)
	c.announced[n.Instance] = n.At
	c.dropExpired()
	c.mu.Unlock()
	if !isNew {
		return false
	}
	c.config.Logger.Info("reclaim announced", "reclaimed", n.Instance, "at", n.At)
	if n.Instance == c.config.Instance {
		c.config.OnInstanceReclaim(n.At)
		return true
	}
	c.config.Upstreams.MarkLeaving(n.Instance, n.At)
	return true
}

// remarkLeaving marks the upstreams of all pending notices again. A notice may
// arrive before the lagging list shows its upstream, which would otherwise be
// added as available for new work.
func (c *Controller) remarkLeaving() {
	c.mu.Lock()
	pending := map[string]time.Time{}
	for id, at := range c.announced {
		if time.Until(at) > 0 {
			pending[id] = at
		}
	}
	c.mu.Unlock()
	for id, at := range pending {
		c.config.Upstreams.MarkLeaving(id, at)
	}
}

// dropExpired removes notices whose time has passed by more than gossipTTL; the
// caller holds the lock.
func (c *Controller) dropExpired() {
	for id, at := range c.announced {
		if time.Since(at) > gossipTTL {
			delete(c.announced, id)
		}
	}
}
