// Package throttle keeps the requests that all nodes together send to a replica within what
// the replica says in its answers that it bears: a rate limit, few rejections, or nothing for a
// while.
package throttle

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"zinniamast"
	"zinniamast/blackboard"
)

// Config holds the dependencies of a Throttle.
type Config struct {
	Upstreams *blackboard.Upstreams
	// IsOwner reports whether this node is the one that may send requests to a replica of
	// a failure domain while the replica names a limit, see Owners. If nil, this node is
	// the owner of every replica.
	IsOwner func(replica, failureDomain string) bool
	// Share returns this node's share of the places of a replica, see Owners. If nil, this
	// node has all of them.
	Share func(replica string) Share
	// Places returns how many of a replica's slots are this node's while capacity is short. If
	// nil, they are those of Share.
	Places func(service, replica string, slots int) int
	// Gossip exchanges the limits with the other nodes. If nil, this is the only node.
	Gossip zinniamast.Gossip
	// Logger logs each limit that starts, changes or ends. If nil, nothing is logged.
	Logger *slog.Logger
	// Registerer registers the metrics. If nil, they are not registered.
	Registerer prometheus.Registerer
	// Now returns the current time. If nil, it is time.Now.
	Now func() time.Time
}

const (
	// limitLifetime is how long a limit is kept after it was last named.
	limitLifetime = 10 * time.Minute
	// republishInterval is how often the owner repeats a limit that is still named.
	republishInterval = time.Minute
	// probeInterval is the longest time that the owner should leave a replica without a
	// request: only an answer shows that it names no limit any more.
	probeInterval = 2 * time.Second
	// minBurst is the smallest number of requests that may be sent at once.
	minBurst = 1
)

// Throttle limits the requests to replicas that name a rate limit.
//
// If every node used its part of a limit of two requests a second, most of the parts of a
// hundred nodes would be unused, and the first requests of all nodes together would exceed
// the limit. Therefore a single node, the owner, uses the whole limit. The others send such
// a replica nothing until the owner reports that it names no limit any more. A node that
// reads a limit in an answer follows it at once, even if no other node can be reached.
type Throttle struct {
	config     Config
	active     prometheus.Gauge
	rejections *prometheus.CounterVec
	rested     prometheus.Counter

	mu     sync.Mutex
	limits map[string]*limit
	// services holds the services that have brittle replicas, and ignored the replicas of
	// which a header was ignored.
	services map[string]*brittleService
	ignored  map[string]time.Time
	// rests holds the replicas that want no request from this node.
	rests map[string]rest
	// allocations holds the services some of whose replicas asked for rest.
	allocations map[string]*allocation
	// full holds the replicas that rejected a request of this node.
	full map[string]full
	// shares holds this node's places by service.
	shares map[string]*servicePlaces
}

// limit is the limit that a replica names.
type limit struct {
	// started is the start of the replica that named the limit.
	started time.Time
	// rate is the limit in requests per second; zero once the replica names none.
	rate float64
	// change numbers the starts and ends of the limit. Nodes that join receive reports of
	// several nodes in any order, and follow the one with the highest number.
	change uint64
	// namedAt is when this node last learned that the replica names the limit, and
	// publishedAt when it last told the others.
	namedAt     time.Time
	publishedAt time.Time
	// tokens is the number of requests that the owner may send now.
	tokens   float64
	filledAt time.Time
	// sentAt is when this node last sent the replica a request.
	sentAt time.Time
}

// New returns a throttle that subscribes to the limits that other nodes report.
func New(config Config) *Throttle {
	if config.IsOwner == nil {
		config.IsOwner = func(string, string) bool { return true }
	}
	if config.Share == nil {
		config.Share = func(string) Share {
			return Share{
				Nodes: 1,
			}
		}
	}
	if config.Places == nil {
		config.Places = func(_, replica string, slots int) int { return config.Share(replica).Of(slots) }
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	t := &Throttle{
		config: config,
		active: promauto.With(config.Registerer).NewGauge(prometheus.GaugeOpts{
			Name: "zinniamast_replica_limits",
			Help: "Replicas that name a rate limit.",
		}),
		rejections: promauto.With(config.Registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "zinniamast_brittle_rejections_total",
			Help: "Requests of this node that brittle replicas rejected, by how many they rejected in that second.",
		}, []string{"in_second"}),
		rested: promauto.With(config.Registerer).NewCounter(prometheus.CounterOpts{
			Name: "zinniamast_replica_rests_total",
			Help: "Answers by which a replica asked this node for rest.",
		}),
		limits:   map[string]*limit{},
		services: map[string]*brittleService{},
		ignored:  map[string]time.Time{},
		rests:    map[string]rest{},

		allocations: map[string]*allocation{},
		full:        map[string]full{},
		shares:      map[string]*servicePlaces{},
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicRateLimit, t.receive)
	}
	return t
}

// Limited returns which replicas of a service may get a request now. One is due if this node is
// its owner and has sent it none for probeInterval.
func (t *Throttle) Limited(service string) zinniamast.Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	var available zinniamast.Availability
	now := t.config.Now()
	t.limitFull(service, now, &available)
	t.limitResting(service, now, &available)
	t.limitBrittle(service, now, &available)
	t.limitAllocated(service, now, &available)
	for id, l := range t.limits {
		u := t.config.Upstreams.Get(id)
		if now.Sub(l.namedAt) > limitLifetime {
			delete(t.limits, id)
			t.countActive()
			continue
		}
		if u == nil || u.Instance.Service != service || !l.isNamedBy(u) {
			continue
		}
		switch {
		case !t.mayBeginLimited(l, u, now):
			available.Blocked = append(available.Blocked, id)
		case now.Sub(l.sentAt) >= probeInterval:
			available.Due = id
		}
	}
	return available
}

// isNamedBy reports whether the present start of a replica names the limit.
func (l *limit) isNamedBy(u *blackboard.Upstream) bool {
	return l.rate > 0 && u.Instance.Started.Equal(l.started)
}

// mayBeginLimited reports whether a replica may get a request within its limit. The caller
// holds the lock.
func (t *Throttle) mayBeginLimited(l *limit, u *blackboard.Upstream, now time.Time) bool {
	l.refill(now)
	return l.tokens >= 1 && t.config.IsOwner(u.Instance.ID, u.Instance.FailureDomain)
}

// refill adds the tokens of the time since the last call.
func (l *limit) refill(now time.Time) {
	l.tokens = min(l.tokens+l.rate*now.Sub(l.filledAt).Seconds(), max(minBurst, l.rate))
	l.filledAt = now
}

// Begin begins an attempt at a replica, which the caller ends with EndAttempt. It returns false
// if the replica may not get the request, as other requests began since Limited was asked.
func (t *Throttle) Begin(upstream *blackboard.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	l, ok := t.limits[upstream.Instance.ID]
	if ok && l.isNamedBy(upstream) && !t.mayBeginLimited(l, upstream, now) {
		return false
	}
	if t.isResting(upstream, now) || !t.beginBrittle(upstream, now) || !t.beginAllocated(upstream, now) {
		return false
	}
	if ok {
		l.tokens--
		l.sentAt = now
	}
	t.beginFull(upstream, now)
	upstream.BeginAttempt()
	return true
}

// Answered records what a replica said of itself in its answer to a request that was sent
// at the given time.
func (t *Throttle) Answered(upstream *blackboard.Upstream, sent time.Time, feedback zinniamast.Feedback) {
	t.recordLeaving(upstream, feedback)
	t.recordLimit(upstream, sent, feedback.Condition.RateLimit)
	t.recordBrittle(upstream, sent, feedback)
	t.recordRest(upstream, feedback.RestFor)
	t.recordAllocated(upstream, feedback)
	t.recordFull(upstream, sent, feedback.Rejected)
}

// recordLeaving records that a replica said that it leaves.
func (t *Throttle) recordLeaving(upstream *blackboard.Upstream, feedback zinniamast.Feedback) {
	if feedback.Leaving && t.config.Upstreams.AnnounceLeaving(upstream) {
		t.config.Logger.Info("replica marked as leaving", "replica", upstream.Instance.ID, "sign", "its answer says so")
	}
}

// recordLimit records the limit that a replica named; zero if it named none. An answer
// without a limit ends a limit only if the request was sent after the limit was last named,
// as answers may overtake each other.
func (t *Throttle) recordLimit(upstream *blackboard.Upstream, sent time.Time, rate float64) {
	instance := &upstream.Instance
	t.mu.Lock()
	l, known := t.limits[instance.ID]
	known = known && l.started.Equal(instance.Started)
	now := t.config.Now()
	var change uint64
	if known {
		change = l.change
	}
	shouldPublish := false
	switch {
	case rate > 0:
		isNew := !known || l.rate != rate
		if isNew {
			change++
		}
		l = t.set(instance.ID, instance.Started, rate, change, now)
		shouldPublish = isNew || now.Sub(l.publishedAt) > republishInterval
		if shouldPublish {
			l.publishedAt = now
		}
	case known && l.rate > 0 && sent.After(l.namedAt):
		change++
		t.set(instance.ID, instance.Started, 0, change, now)
		shouldPublish = true
	}
	t.mu.Unlock()
	if shouldPublish && t.config.Gossip != nil {
		t.publish(instance.ID, instance.Started, rate, change)
	}
}

// set records the limit that a start of a replica names; zero if none. A new limit begins
// without tokens, since nodes that did not know of it have just sent requests. The caller
// holds the lock.
func (t *Throttle) set(id string, started time.Time, rate float64, change uint64, now time.Time) *limit {
	l, known := t.limits[id]
	if !known || !l.started.Equal(started) {
		l = &limit{
			started:  started,
			filledAt: now,
			sentAt:   now,
		}
		t.limits[id] = l
	}
	l.namedAt = now
	l.change = change
	if l.rate == rate {
		return l
	}
	if l.rate == 0 {
		l.tokens, l.filledAt = 0, now
	}
	l.refill(now)
	l.rate = rate
	t.countActive()
	if rate > 0 {
		t.config.Logger.Info("replica limits its requests", "replica", id, "limit", rate)
	} else {
		t.config.Logger.Info("replica limits its requests no more", "replica", id)
	}
	return l
}

// countActive updates the metric. The caller holds the lock.
func (t *Throttle) countActive() {
	active := 0
	for _, l := range t.limits {
		if l.rate > 0 {
			active++
		}
	}
	t.active.Set(float64(active))
}
