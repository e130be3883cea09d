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

// The nodes of a domain read the list in turns: each sign found by one is news
// to all, so the reads per domain stay the same however many nodes it has.
const (
	readsApart      = 500 * time.Millisecond
	minReadInterval = time.Second
	maxReadInterval = 15 * time.Second
	readTimeout     = 5 * time.Second
)

const (
	// maxJoinsTold bounds the joins that one read tells others: beyond that
	// the fleet starts or a partition ends, and everybody reads for itself.
	maxJoinsTold = 20
	// newsLife is how long a sign is repeated to nodes that missed it.
	newsLife = 5 * time.Minute
)

// TopicJoined tells of an upstream that a list has shown; the key is its ID.
const TopicJoined zinniamast.Topic = "upstream_joined"

// An upstream that a list leaves out is gone only after several lists and some
// time; much longer if the list lost most upstreams at once, since a list cut
// short is likelier than that, and health checks take a dead one out anyway.
const (
	missesUntilGone = 3
	goneAfter       = 10 * time.Second
	doubtfulAfter   = time.Minute
	fewUpstreams    = 4
)

// Config configures a controller.
type Config struct {
	// Upstreams is the table to keep.
	Upstreams *blackboard.Upstreams
	// Members tells how many nodes share the reading.
	Members *blackboard.Members
	// FailureDomain is this node's.
	FailureDomain string
	// List is the platform's instance list, read no oftener than its size allows.
	List *PacedList
	// Gossip carries signs between nodes.
	Gossip zinniamast.Gossip
	// Build returns a replica with its client, or nil for what is no upstream.
	Build func(zinniamast.Instance) *blackboard.Upstream
	// Logger hears of upstreams that come and go; nil means slog's default.
	Logger *slog.Logger
}

// Controller keeps the table of upstreams.
type Controller struct {
	config Config

	mu sync.Mutex
	// told holds the upstreams whose leaving came as news, which is not news again.
	told map[string]bool
	// missing holds upstreams that the latest lists left out.
	missing map[string]miss
	// read says that a list has been taken in before.
	read bool
}

type miss struct {
	count int
	since time.Time
}

// sign is the value of news about an upstream.
type sign struct {
	// Started tells the instance's lives apart.
	Started time.Time `json:"started"`
	// LeavesAt is when it goes away, if known.
	LeavesAt time.Time `json:"leaves_at,omitzero"`
}

// New returns a controller that hears news at once; Run starts reading the list.
func New(config Config) *Controller {
	if config.Logger == nil {
		config.Logger = slog.Default()
	}
	c := &Controller{
		config:  config,
		told:    map[string]bool{},
		missing: map[string]miss{},
	}
	config.Gossip.Subscribe(zinniamast.TopicUpstreamLeaving, func(news zinniamast.GossipItem) { c.hear(news, false) })
	config.Gossip.Subscribe(zinniamast.TopicUpstreamGone, func(news zinniamast.GossipItem) { c.hear(news, true) })
	config.Gossip.Subscribe(TopicJoined, c.hearJoined)
	// The request path marks an upstream that refuses because it leaves; whoever
	// sees that first tells the others.
	config.Upstreams.OnLeaving(c.leaves)
	return c
}

// Run reads the list until the context ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.Read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.turn()):
		}
	}
}

// turn is when this node reads next. A list of thousands costs more than all
// else that nodes exchange; then the turns are rarer, and what one node finds
// is news to all.
func (c *Controller) turn() time.Duration {
	pace := c.config.List.Pace()
	return c.config.Members.Turn(c.config.FailureDomain, readsApart, max(minReadInterval, pace), max(maxReadInterval, pace))
}

// Read takes one list in. A list that cannot be read changes nothing.
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
	joined := c.enter(instances)
	c.mu.Lock()
	first := !c.read
	c.read = true
	c.mu.Unlock()
	if !first && len(joined) <= maxJoinsTold {
		for _, upstream := range joined {
			c.tell(TopicJoined, upstream.Instance.ID, upstream.Instance)
		}
	}
	c.miss(listed, time.Now())
}

// enter takes instances in as the platform shows them and returns the new upstreams.
func (c *Controller) enter(instances []zinniamast.Instance) []*blackboard.Upstream {
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
		delete(c.told, instance.ID)
		c.mu.Unlock()
		c.config.Logger.Info("upstream_joined", "upstream", instance.ID, "service", instance.Service, "failure_domain", instance.FailureDomain)
	}
	return joined
}

// miss counts the upstreams that a list left out and removes those gone.
func (c *Controller) miss(listed map[string]bool, now time.Time) {
	if len(listed) == 0 {
		return
	}
	all := c.config.Upstreams.All()
	var absent []*blackboard.Upstream
	c.mu.Lock()
	for _, upstream := range all {
		if listed[upstream.Instance.ID] {
			delete(c.missing, upstream.Instance.ID)
			continue
		}
		absent = append(absent, upstream)
	}
	c.mu.Unlock()
	wait := goneAfter
	if len(all) >= fewUpstreams && 2*len(absent) > len(all) {
		wait = doubtfulAfter
	}
	for _, upstream := range absent {
		if c.gone(upstream.Instance.ID, now, wait) {
			c.config.Upstreams.MarkLeaving(upstream.Instance.ID, now)
			c.config.Upstreams.Remove(upstream.Instance.ID)
			c.config.Logger.Info("upstream_gone", "upstream", upstream.Instance.ID)
		}
	}
}

// gone counts a miss and says whether it was the last.
func (c *Controller) gone(id string, now time.Time, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := c.missing[id]
	if missed.count == 0 {
		missed.since = now
	}
	missed.count++
	c.missing[id] = missed
	if missed.count < missesUntilGone || now.Sub(missed.since) < wait {
		return false
	}
	delete(c.missing, id)
	return true
}

// leaves hears of the first sign in this node's table and tells the others,
// unless they told it.
func (c *Controller) leaves(upstream *blackboard.Upstream) {
	id := upstream.Instance.ID
	c.mu.Lock()
	told := c.told[id]
	c.mu.Unlock()
	c.config.Logger.Info("upstream_leaving", "upstream", id, "told", told)
	if told {
		return
	}
	c.publish(zinniamast.TopicUpstreamLeaving, upstream)
}

// ReportGone tells all nodes that an upstream no longer exists.
func (c *Controller) ReportGone(id string) {
	upstream := c.config.Upstreams.Get(id)
	if upstream == nil {
		return
	}
	c.publish(zinniamast.TopicUpstreamGone, upstream)
	c.config.Upstreams.MarkLeaving(id, time.Now())
	c.config.Upstreams.Remove(id)
}

func (c *Controller) publish(topic zinniamast.Topic, upstream *blackboard.Upstream) {
	c.tell(topic, upstream.Instance.ID, sign{
		Started:  upstream.Instance.Started,
		LeavesAt: upstream.LeavesAt(),
	})
}

// tell tells every node something of an upstream.
func (c *Controller) tell(topic zinniamast.Topic, upstream string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		c.config.Logger.Error("sign_not_encoded", "upstream", upstream, "error", err)
		return
	}
	c.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      topic,
		Key:        upstream,
		Value:      value,
		Expires:    time.Now().Add(newsLife),
		AllDomains: true,
	})
}

// hear takes another node's sign in. It bars this life of the instance also
// where it is not known here yet: the list may show it later, still as alive.
func (c *Controller) hear(news zinniamast.GossipItem, gone bool) {
	var s sign
	if err := json.Unmarshal(news.Value, &s); err != nil {
		c.config.Logger.Warn("sign_not_read", "upstream", news.Key, "origin", news.Origin, "error", err)
		return
	}
	known := c.config.Upstreams.Get(news.Key)
	if known != nil && known.Instance.Started.After(s.Started) {
		return
	}
	c.mu.Lock()
	c.told[news.Key] = true
	c.mu.Unlock()
	c.config.Upstreams.Bar(news.Key, s.Started)
	c.config.Upstreams.MarkLeaving(news.Key, s.LeavesAt)
	if gone {
		c.config.Upstreams.Remove(news.Key)
	}
}
