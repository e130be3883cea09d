package canary

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"zinniamast"
)

// Grant is what the leader of a rollout allows all nodes.
type Grant struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Order is the revision of the order.
	Order uint64 `json:"order"`
	// Fence is the fencing number of the leader, and Step the number of its grants so far.
	Fence uint64 `json:"fence"`
	Step  uint64 `json:"step"`
	// Share is the fraction of the requests that go to the new version, and Replicas the
	// number of its replicas that take them, by turns. Turn is the number of the turn.
	Share    float64 `json:"share"`
	Replicas int     `json:"replicas"`
	Turn     int     `json:"turn"`
	// Answers is the number of the new version's answers so far, and IsTrusted reports whether
	// they speak for it. A later leader may know only a part of them.
	Answers   float64 `json:"answers,omitempty"`
	IsTrusted bool    `json:"trusted,omitempty"`
	// Usual are the old versions' rates of failures while they were healthy, for a time after a
	// takeover: nodes that have started since know only later ones.
	Usual []zinniamast.RouteFailures `json:"usual,omitempty"`
	// IsSealed means that no request may go to an old version any more.
	IsSealed bool                    `json:"sealed,omitempty"`
	State    zinniamast.RolloutState `json:"state"`
	// Condemned and Abandoned are versions that get no requests.
	Condemned []string `json:"condemned,omitempty"`
	Abandoned []string `json:"abandoned,omitempty"`
}

// supersedes reports whether a grant replaces an earlier one. A rollout that has ended does
// not begin again.
func (g *Grant) supersedes(earlier *Grant) bool {
	switch {
	case g.Order != earlier.Order:
		return g.Order > earlier.Order
	case earlier.State.IsFinal() != g.State.IsFinal():
		return g.State.IsFinal()
	case g.Fence != earlier.Fence:
		return g.Fence > earlier.Fence
	default:
		return g.Step > earlier.Step
	}
}

const (
	// grantLifetime is how long a grant below the whole share counts after it was heard. The
	// leader repeats it every grantInterval.
	grantLifetime = 3 * time.Second
	grantInterval = 700 * time.Millisecond
	// shareSteps is the number of steps of the share of which each is logged.
	shareSteps = 4
	// newsLifetime is how long nodes that join still hear of grants and verdicts.
	newsLifetime = 10 * time.Minute
)

// verdict tells that a version proved bad.
type verdict struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Order   uint64 `json:"order"`
}

// publish tells the other nodes.
func (c *Canary) publish(topic zinniamast.Topic, key string, value any) {
	if c.config.Gossip == nil {
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		c.config.Logger.Error("rollout news cannot be encoded", "topic", topic, "cause", err)
		return
	}
	c.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      topic,
		Key:        key,
		Value:      raw,
		Expires:    time.Now().Add(newsLifetime),
		AllDomains: true,
	})
}

// Publish puts a grant of this node's leader in force and tells the others.
func (c *Canary) Publish(grant Grant) {
	c.Apply(grant)
	c.publish(zinniamast.TopicRollout, grant.Service, grant)
}

func (c *Canary) receiveGrant(item zinniamast.GossipItem) {
	var grant Grant
	if err := json.Unmarshal(item.Value, &grant); err != nil {
		c.config.Logger.Warn("grant of a rollout unreadable", "origin", item.Origin, "cause", err)
		return
	}
	c.Apply(grant)
}

func (c *Canary) receiveVerdict(item zinniamast.GossipItem) {
	var v verdict
	if err := json.Unmarshal(item.Value, &v); err != nil {
		c.config.Logger.Warn("verdict on a version unreadable", "origin", item.Origin, "cause", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.condemn(c.service(v.Service), v)
}

// Apply puts a grant in force unless a later one is.
func (c *Canary) Apply(grant Grant) {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(grant.Service)
	if grant.Order > s.order.Revision {
		c.setOrder(s, zinniamast.RolloutOrder{
			Service:  grant.Service,
			Version:  grant.Version,
			Revision: grant.Order,
		})
	}
	if grant.Order == s.order.Revision {
		s.judge.restore(grant.Usual)
	}
	if !grant.supersedes(&s.grant) {
		return
	}
	isNews := grant.State != s.grant.State || grant.Order != s.grant.Order || grant.IsSealed != s.grant.IsSealed ||
		math.Round(grant.Share*shareSteps) != math.Round(s.grant.Share*shareSteps)
	if grant.IsSealed && !s.isSealed() {
		s.sealedAt = now
	}
	s.grant, s.heardAt = grant, now
	for _, version := range grant.Condemned {
		s.condemned[version] = true
	}
	if grant.State == zinniamast.RolloutCompleted {
		delete(s.condemned, grant.Version)
	}
	s.abandoned = slices.Clone(grant.Abandoned)
	if isNews {
		c.config.Logger.Info("rollout granted", "service", grant.Service, "version", grant.Version, "state", grant.State,
			"share", grant.Share, "replicas", grant.Replicas, "sealed", grant.IsSealed, "order", grant.Order, "fence", grant.Fence, "step", grant.Step)
	}
}

// Restore puts a record in force, for a node that has heard no grant since its start.
func (c *Canary) Restore(record zinniamast.RolloutRecord) {
	c.Apply(Grant{
		Service:   record.Service,
		Version:   record.Version,
		Order:     record.Order,
		Usual:     record.Usual,
		State:     record.State,
		Condemned: record.Condemned,
		Abandoned: record.Abandoned,
	})
}
