package discovery

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
)

// The nodes of a failure domain take turns to read the list. Each shares what
// it finds, so the number of reads per domain does not depend on its number of
// nodes.
const (
	readSpacing     = 500 * time.Millisecond
	minReadInterval = time.Second
	maxReadInterval = 15 * time.Second
	readTimeout     = 5 * time.Second
)

const (
	// maxJoinsPublished bounds the joins that are published after one read. If
	// more join at once, the fleet is starting or a partition has ended; none
	// are published then, and each node finds them in its own list.
	maxJoinsPublished = 20
	// gossipTTL is how long a report is repeated to nodes that missed it.
	gossipTTL = 5 * time.Minute
)

// TopicJoined announces an upstream found in an instance list; the key is its
// ID.
const TopicJoined zinniamast.Topic = "upstream_joined"

// An upstream missing from the list is removed only after several lists and
// some time. If the list lacks most upstreams at once, the wait is much longer:
// a truncated list is likelier than such a loss, and health checks take dead
// upstreams out of use anyway.
const (
	missesUntilRemoval   = 3
	removeAfter          = 10 * time.Second
	removeAfterMassLoss  = time.Minute
	massLossMinUpstreams = 4
)

// Config configures a controller.
type Config struct {
	// Upstreams is the table to maintain.
	Upstreams *blackboard.Upstreams
	// Members determines how many nodes share the reads.
	Members *blackboard.Members
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// List is the platform's instance list, read no more often than its size
	// allows.
	List *PacedList
	// Gossip carries reports between nodes.
	Gossip zinniamast.Gossip
	// Build returns an upstream with its client, or nil if the instance is not
	// an upstream.
	Build func(zinniamast.Instance) *blackboard.Upstream
	// Logger receives the upstreams that join and leave; nil means
	// slog.Default.
	Logger *slog.Logger
}

// Controller maintains the table of upstreams.
type Controller struct {
	config Config

	mu sync.Mutex
	// reportedByPeers holds the upstreams that other nodes reported as leaving,
	// which are not published again.
	reportedByPeers map[string]bool
	// absences holds the upstreams missing from the latest lists.
	absences map[string]absence
	// hasRead reports whether a list has been read before.
	hasRead bool
}

type absence struct {
	count int
	since time.Time
}

// leavingReport is the value published about an upstream that leaves or is
// gone.
type leavingReport struct {
	// Started distinguishes successive starts of the same instance.
	Started time.Time `json:"started"`
	// LeavesAt is when the instance goes away, if known.
	LeavesAt time.Time `json:"leaves_at,omitzero"`
}

// New returns a controller that receives reports from other nodes at once; Run
// starts reading the list.
func New(config Config) *Controller {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	c := &Controller{
		config:          config,
		reportedByPeers: map[string]bool{},
		absences:        map[string]absence{},
	}
	config.Gossip.Subscribe(zinniamast.TopicUpstreamLeaving, func(item zinniamast.GossipItem) { c.receiveLeaving(item, false) })
	config.Gossip.Subscribe(zinniamast.TopicUpstreamGone, func(item zinniamast.GossipItem) { c.receiveLeaving(item, true) })
	config.Gossip.Subscribe(TopicJoined, c.receiveJoined)
	// The request path marks an upstream that refuses requests because it is
	// leaving; the first node to see that informs the others.
	config.Upstreams.OnLeaving(c.onLeaving)
	return c
}

// Run reads the list until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.Read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.nextReadDelay()):
		}
	}
}

// nextReadDelay returns the time until the next read by this node. Reading a
// list of thousands of entries costs more than all other traffic between nodes,
// so reads become rarer as the list grows and nodes rely on what the others
// find.
func (c *Controller) nextReadDelay() time.Duration {
	interval := c.config.List.Interval()
	return c.config.Members.TurnInterval(c.config.FailureDomain, readSpacing, max(minReadInterval, interval), max(maxReadInterval, interval))
}

// Read reads the list once and updates the table. If the read fails, the table
// stays as it is.
func (c *Controller) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := c.config.List.Read(ctx)
	if err != nil {
		c.config.Logger.Warn("instance_list_failed", "error", err)
		return
	}
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	joined := c.addInstances(instances)
	c.mu.Lock()
	first := !c.hasRead
	c.hasRead = true
	c.mu.Unlock()
	if !first && len(joined) <= maxJoinsPublished {
		for _, upstream := range joined {
			c.broadcast(TopicJoined, upstream.Instance.ID, upstream.Instance)
		}
	}
	c.removeAbsent(listed, time.Now())
}

// addInstances adds and updates instances as listed and returns the new
// upstreams.
func (c *Controller) addInstances(instances []zinniamast.Instance) []*blackboard.Upstream {
	var built []*blackboard.Upstream
	for _, instance := range instances {
		known := c.config.Upstreams.Get(instance.ID)
		if known != nil && !instance.Started.After(known.Instance.Started) {
			if instance.Leaving {
				c.config.Upstreams.MarkLeaving(instance.ID, instance.LeavesAt)
			}
			continue
		}
		if instance.Leaving {
			continue
		}
		if upstream := c.config.Build(instance); upstream != nil {
			built = append(built, upstream)
		}
	}
	joined := c.config.Upstreams.AddAll(built)
	for _, upstream := range joined {
		instance := &upstream.Instance
		c.mu.Lock()
		delete(c.reportedByPeers, instance.ID)
		c.mu.Unlock()
		c.config.Logger.Info("upstream_joined", "upstream", instance.ID, "service", instance.Service, "failure_domain", instance.FailureDomain)
	}
	return joined
}

// removeAbsent records the upstreams missing from a list and removes those that
// have been missing for long enough.
func (c *Controller) removeAbsent(listed map[string]bool, now time.Time) {
	if len(listed) == 0 {
		return
	}
	all := c.config.Upstreams.All()
	var absent []*blackboard.Upstream
	c.mu.Lock()
	for _, upstream := range all {
		if listed[upstream.Instance.ID] {
			delete(c.absences, upstream.Instance.ID)
			continue
		}
		absent = append(absent, upstream)
	}
	c.mu.Unlock()
	wait := removeAfter
	if len(all) >= massLossMinUpstreams && 2*len(absent) > len(all) {
		wait = removeAfterMassLoss
	}
	for _, upstream := range absent {
		if c.countAbsence(upstream.Instance.ID, now, wait) {
			c.config.Upstreams.MarkLeaving(upstream.Instance.ID, now)
			c.config.Upstreams.Remove(upstream.Instance.ID)
			c.config.Logger.Info("upstream_gone", "upstream", upstream.Instance.ID)
		}
	}
}

// countAbsence records that a list lacks an upstream and reports whether the
// upstream is to be removed.
func (c *Controller) countAbsence(id string, now time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := c.absences[id]
	if missing.count == 0 {
		missing.since = now
	}
	missing.count++
	c.absences[id] = missing
	if missing.count < missesUntilRemoval || now.Sub(missing.since) < wait {
		return false
	}
	delete(c.absences, id)
	return true
}

// onLeaving publishes that an upstream is leaving when it is first marked in
// this node's table, unless another node reported it.
func (c *Controller) onLeaving(upstream *blackboard.Upstream) {
	id := upstream.Instance.ID
	c.mu.Lock()
	reported := c.reportedByPeers[id]
	c.mu.Unlock()
	c.config.Logger.Info("upstream_leaving", "upstream", id, "told", reported)
	if reported {
		return
	}
	c.publishLeaving(zinniamast.TopicUpstreamLeaving, upstream)
}

// ReportGone removes an upstream that no longer exists and informs all nodes.
func (c *Controller) ReportGone(id string) {
	upstream := c.config.Upstreams.Get(id)
	if upstream == nil {
		return
	}
	c.publishLeaving(zinniamast.TopicUpstreamGone, upstream)
	c.config.Upstreams.MarkLeaving(id, time.Now())
	c.config.Upstreams.Remove(id)
}

func (c *Controller) publishLeaving(topic zinniamast.Topic, upstream *blackboard.Upstream) {
	c.broadcast(topic, upstream.Instance.ID, leavingReport{
		Started:  upstream.Instance.Started,
		LeavesAt: upstream.LeavesAt(),
	})
}

// broadcast publishes a value about an upstream to every node.
func (c *Controller) broadcast(topic zinniamast.Topic, upstream string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		c.config.Logger.Error("sign_not_encoded", "upstream", upstream, "error", err)
		return
	}
	c.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      topic,
		Key:        upstream,
		Value:      value,
		Expires:    time.Now().Add(gossipTTL),
		AllDomains: true,
	})
}

// receiveLeaving handles a report from another node. It bars the reported start
// of the instance even if the instance is not known here yet, because a lagging
// list may still show it as running.
func (c *Controller) receiveLeaving(item zinniamast.GossipItem, gone bool) {
	var report leavingReport
	if err := json.Unmarshal(item.Value, &report); err != nil {
		c.config.Logger.Warn("sign_not_read", "upstream", item.Key, "origin", item.Origin, "error", err)
		return
	}
	known := c.config.Upstreams.Get(item.Key)
	if known != nil && known.Instance.Started.After(report.Started) {
		return
	}
	c.mu.Lock()
	c.reportedByPeers[item.Key] = true
	c.mu.Unlock()
	c.config.Upstreams.Bar(item.Key, report.Started)
	c.config.Upstreams.MarkLeaving(item.Key, report.LeavesAt)
	if gone {
		c.config.Upstreams.Remove(item.Key)
	}
}
