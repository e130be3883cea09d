// Package notice reads the cloud's reclaim notices and acts on each at once:
// upstreams are marked as leaving, entry instances are told to leave.
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
	// readsApart is how far apart the reads of one failure domain are: each
	// sign that one node finds is news to all, so the calls on the cloud's API
	// stay the same however many nodes a domain has.
	readsApart = 250 * time.Millisecond
	// minInterval and maxInterval bound one node's turn.
	minInterval = 500 * time.Millisecond
	maxInterval = 10 * time.Second
	readTimeout = 2 * time.Second
	// newsLife is how long a notice is repeated to nodes that missed it.
	newsLife = 2 * time.Minute
)

// TopicNotice tells that an instance is reclaimed; the key is its ID.
const TopicNotice zinniamast.Topic = "notice"

// Config says what a controller works with.
type Config struct {
	Cloud     zinniamast.Cloud
	Upstreams *blackboard.Upstreams
	Members   *blackboard.Members
	Gossip    zinniamast.Gossip
	// Instance and FailureDomain are this node's own.
	Instance      string
	FailureDomain string
	// OnOwn hears once that this instance is reclaimed, and when.
	OnOwn  func(at time.Time)
	Logger *slog.Logger
}

// Controller acts on notices.
type Controller struct {
	config Config

	mu    sync.Mutex
	known map[string]time.Time
	// failing says that the last read failed; only a change is worth a line.
	failing bool
}

// New returns a controller that hears peers at once; Run reads the cloud's notices.
func New(config Config) *Controller {
	c := &Controller{
		config: config,
		known:  map[string]time.Time{},
	}
	config.Gossip.Subscribe(TopicNotice, c.hear)
	return c
}

// Run reads notices in turn with the other nodes until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.Read(ctx)
		c.apply()
		select {
		case <-time.After(c.config.Members.Turn(c.config.FailureDomain, readsApart, minInterval, maxInterval)):
		case <-ctx.Done():
			return
		}
	}
}

// Read takes the notices in. Where the cloud does not answer nothing changes.
func (c *Controller) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	notices, err := c.config.Cloud.Notices(ctx)
	if c.changed(err != nil) {
		c.config.Logger.Warn("cloud's notices", "available", err == nil, "cause", err)
	}
	if err != nil {
		return
	}
	// This instance's own notice comes last, when the upstreams that leave with
	// it are known to.
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
		if !c.learn(n) {
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
			Expires:    time.Now().Add(newsLife),
			AllDomains: true,
		})
	}
}

// changed records whether reads fail and reports whether that is new.
func (c *Controller) changed(failing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.failing != failing
	c.failing = failing
	return changed
}

// hear takes a peer's notice in.
func (c *Controller) hear(news zinniamast.GossipItem) {
	var n zinniamast.Notice
	if err := json.Unmarshal(news.Value, &n); err != nil {
		c.config.Logger.Warn("notice not read", "origin", news.Origin, "cause", err)
		return
	}
	c.learn(n)
}

// learn acts on a notice and reports whether it was new.
func (c *Controller) learn(n zinniamast.Notice) bool {
	c.mu.Lock()
	at, known := c.known[n.Instance]
	fresh := !known || !at.Equal(n.At)
	c.known[n.Instance] = n.At
	c.forget()
	c.mu.Unlock()
	if !fresh {
		return false
	}
	c.config.Logger.Info("reclaim announced", "reclaimed", n.Instance, "at", n.At)
	if n.Instance == c.config.Instance {
		c.config.OnOwn(n.At)
		return true
	}
	c.config.Upstreams.MarkLeaving(n.Instance, n.At)
	return true
}

// apply marks again what is announced and not yet carried out. A notice may
// come before the lagging list has shown its upstream; without this the list
// would bring it in as one that takes new work.
func (c *Controller) apply() {
	c.mu.Lock()
	ahead := map[string]time.Time{}
	for id, at := range c.known {
		if time.Until(at) > 0 {
			ahead[id] = at
		}
	}
	c.mu.Unlock()
	for id, at := range ahead {
		c.config.Upstreams.MarkLeaving(id, at)
	}
}

// forget drops notices long carried out; the caller holds the lock.
func (c *Controller) forget() {
	for id, at := range c.known {
		if time.Since(at) > newsLife {
			delete(c.known, id)
		}
	}
}
