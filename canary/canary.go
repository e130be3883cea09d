package canary

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/xxh3"

	"zinniamast"
	"zinniamast/blackboard"
)

// Config configures a Canary.
type Config struct {
	// Node is this instance's name, and FailureDomain the one in which it runs.
	Node          string
	FailureDomain string
	Upstreams     *blackboard.Upstreams
	// LiveNodes returns the names of the running nodes of this failure domain.
	LiveNodes func() []string
	// KnownUntil returns the platform's revision up to which this node knows the orders. If
	// nil, it knows all.
	KnownUntil func() uint64
	// IsLeader reports whether this node leads the rollouts. If nil, it does not.
	IsLeader func() bool
	// TrueTime returns true time. If nil, it is Now.
	TrueTime func() time.Time
	// Gossip exchanges grants and verdicts. If nil, this is the only node.
	Gossip zinniamast.Gossip
	// Logger logs orders, grants and verdicts. If nil, nothing is logged.
	Logger *slog.Logger
	// Registerer registers the metrics. If nil, they are not registered.
	Registerer prometheus.Registerer
	// Now returns the current time. If nil, it is time.Now.
	Now func() time.Time
}

// Canary is one node's part in all rollouts: it decides which version a request goes to,
// counts the answers, and judges the new versions.
type Canary struct {
	config   Config
	metrics  *metrics
	mu       sync.Mutex
	services map[string]*service
}

// service is what a node knows of the rollouts of a service.
type service struct {
	name  string
	order zinniamast.RolloutOrder
	grant Grant
	// heardAt is when the newest grant was heard, and sealedAt when the first one that
	// allows no request to an old version was.
	heardAt  time.Time
	sealedAt time.Time
	// condemned are versions that proved bad, abandoned those whose rollouts did not end.
	condemned map[string]bool
	abandoned []string

	versions versions
	// onlyBarredSince is since when all listed replicas are of condemned versions.
	onlyBarredSince time.Time

	// own are the answers that this node has counted, and longest the longest time of one.
	own     Slots
	longest time.Duration
	// breaks are the latest connections that this node lost, by replica.
	breaks breaks
	// nodes are the reports of the nodes of this failure domain, and domains those of all
	// failure domains.
	nodes   map[string]receivedNode
	domains map[string]receivedDomain

	judge *judge
	// closedUntil is the number of the first slot that the judge has not closed.
	closedUntil int64
	finding     Finding
}

// New returns a canary that subscribes to the news of the other nodes.
func New(config Config) *Canary {
	if config.KnownUntil == nil {
		config.KnownUntil = func() uint64 { return math.MaxUint64 }
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.TrueTime == nil {
		config.TrueTime = config.Now
	}
	if config.IsLeader == nil {
		config.IsLeader = func() bool { return false }
	}
	if config.LiveNodes == nil {
		config.LiveNodes = func() []string { return nil }
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	c := &Canary{
		config:   config,
		metrics:  newMetrics(config.Registerer),
		services: map[string]*service{},
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(zinniamast.TopicRollout, c.receiveGrant)
		config.Gossip.Subscribe(zinniamast.TopicVersionVerdict, c.receiveVerdict)
	}
	return c
}

// service returns the state of a service. The caller holds the lock.
func (c *Canary) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{
			name:      name,
			condemned: map[string]bool{},
		}
		s.reset()
		c.services[name] = s
	}
	return s
}

// reset forgets the answers of an earlier rollout.
func (s *service) reset() {
	s.sealedAt = time.Time{}
	s.own = Slots{}
	s.breaks = breaks{}
	s.nodes = map[string]receivedNode{}
	s.domains = map[string]receivedDomain{}
	s.judge = newJudge()
	s.closedUntil = 0
	s.finding = Finding{}
}

// SetOrder records an order of the operator. A later order replaces an earlier one.
func (c *Canary) SetOrder(order zinniamast.RolloutOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.service(order.Service); order.Revision >= s.order.Revision {
		c.setOrder(s, order)
	}
}

// setOrder replaces the order of a service. The caller holds the lock.
func (c *Canary) setOrder(s *service, order zinniamast.RolloutOrder) {
	if order == s.order || order.IsWithdrawn && !s.isActive() {
		return // A rollout that has ended stays as it is.
	}
	if order.Revision > s.order.Revision && !order.IsWithdrawn {
		s.reset()
	}
	if order.IsWithdrawn {
		// The rollout that it withdraws is still known by its version.
		order.Version = s.order.Version
	}
	s.order = order
	c.config.Logger.Info("rollout ordered", "service", s.name, "version", order.Version, "within", order.Within,
		"withdrawn", order.IsWithdrawn, "order", order.Revision)
}

// Orders returns the newest order of each service.
func (c *Canary) Orders() []zinniamast.RolloutOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	var orders []zinniamast.RolloutOrder
	for _, s := range c.services {
		if s.order.Revision > 0 {
			orders = append(orders, s.order)
		}
	}
	return orders
}

// Grants returns the newest grant of each service, for a node that starts.
func (c *Canary) Grants() []Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	var grants []Grant
	for _, s := range c.services {
		if s.grant.Order == 0 {
			continue
		}
		grant := s.grant
		grant.Condemned = slices.Sorted(maps.Keys(s.condemned))
		grants = append(grants, grant)
	}
	return grants
}

// IsActive reports whether a rollout is in progress.
func (c *Canary) IsActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if s.isActive() {
			return true
		}
	}
	return false
}

// IsJudge reports whether this node needs the counts of all nodes although it sums up none.
func (c *Canary) IsJudge() bool { return c.IsActive() && c.config.IsLeader() }

// IsMoving reports whether a rollout of the service is in progress, with replicas of several
// versions, and which of these carry most of its requests.
func (c *Canary) IsMoving(name string) (isMoving bool, carries func(version string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[name]
	if !ok || !s.isActive() {
		return false, nil
	}
	s.versions.update(c.config.Upstreams.Of(name))
	if !s.versions.has(s.order.Version) || !s.versions.hasOther(s.order.Version, nil) {
		return false, nil
	}
	target, isNew := s.order.Version, s.grant.Order == s.order.Revision && s.grant.Share >= 1
	return true, func(version string) bool { return (version == target) == isNew }
}

// isActive reports whether the newest order has not been answered with a final state.
func (s *service) isActive() bool {
	return s.order.Revision > 0 && !(s.grant.Order == s.order.Revision && s.grant.State.IsFinal())
}

func (s *service) isSealed() bool {
	return s.grant.Order == s.order.Revision && (s.grant.IsSealed || s.grant.State == zinniamast.RolloutCompleted)
}

// Query describes a send for which a version is selected.
type Query struct {
	Service string
	// Request is the ID of the caller's attempt, by which the versions share the requests.
	Request string
	// IsRetry means that the request was sent to another replica before.
	IsRetry bool
	// Resumes means that a replica of the software version Version began the stream.
	Resumes bool
	Version string
}

// Selection restricts the replicas of a send.
type Selection struct {
	// AvoidVersions lists software versions whose replicas must not be chosen.
	AvoidVersions []string
	// Only lists the replicas that may be chosen. If it is empty, all may be.
	Only []string
	// Trial is the new version that the request tries; empty if it tries none.
	Trial string
}

// WithoutTrial returns the selection for a request that no replica of the trial takes.
func (s Selection) WithoutTrial() Selection {
	return Selection{
		AvoidVersions: append(slices.Clone(s.AvoidVersions), s.Trial),
	}
}

// Select returns which replicas a send may go to.
func (c *Canary) Select(q Query) Selection {
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(q.Service)
	s.versions.update(c.config.Upstreams.Of(q.Service))
	if len(s.versions.all) <= 1 && len(s.condemned) == 0 {
		return Selection{}
	}
	barred := s.barred(c.config.KnownUntil())
	if s.areAllBarred(barred, now) {
		return Selection{}
	}
	target := s.order.Version
	if s.order.Revision == 0 || target == "" || !s.versions.has(target) {
		return Selection{
			AvoidVersions: barred,
		}
	}
	// A stream goes on at its version for as long as that may be sent anything.
	goesOn := q.Resumes && (q.Version == target || !s.isSealed())
	if goesOn || slices.Contains(barred, target) {
		return Selection{
			AvoidVersions: barred,
		}
	}
	share := s.share(barred, now)
	if s.grant.Order == s.order.Revision && s.grant.State == zinniamast.RolloutCompleted {
		return Selection{
			AvoidVersions: append(barred, s.versions.before(target)...),
		}
	}
	if share >= 1 {
		return Selection{
			AvoidVersions: append(barred, s.versions.except(target)...),
		}
	}
	isTrial := !q.IsRetry && fraction(q.Request) < share
	var chosen []string
	if isTrial {
		chosen = s.versions.chosen(target, s.order.Revision, s.grant.Replicas, s.grant.Turn)
	}
	if len(chosen) == 0 {
		return Selection{
			AvoidVersions: append(barred, target),
		}
	}
	return Selection{
		AvoidVersions: barred,
		Only:          chosen,
		Trial:         target,
	}
}

// share returns the fraction of the requests that go to the new version now.
func (s *service) share(barred []string, now time.Time) float64 {
	if !s.versions.hasOther(s.order.Version, barred) {
		return 1
	}
	if s.order.IsWithdrawn || s.grant.Order != s.order.Revision {
		return 0
	}
	switch s.grant.State {
	case zinniamast.RolloutCompleted:
		return 1
	case zinniamast.RolloutRolledBack:
		return 0
	}
	if s.grant.IsSealed || s.grant.Share >= 1 || now.Sub(s.heardAt) <= grantLifetime {
		return s.grant.Share
	}
	return 0
}

// barred returns the versions whose replicas get no requests: those that proved bad, those
// whose rollouts did not end, and those of which this node has only just heard, as there may
// be an order for them.
func (s *service) barred(knownUntil uint64) []string {
	var barred []string
	for version, v := range s.versions.all {
		isUnheard := v.firstRevision > knownUntil && !v.isOldest
		isAbandoned := version != s.order.Version && slices.Contains(s.abandoned, version)
		if s.condemned[version] || isAbandoned || isUnheard {
			barred = append(barred, version)
		}
	}
	return barred
}

// soleVersionDelay is how long all listed replicas must be of versions that get no requests
// until these are used: another version's replicas may be back by then.
const soleVersionDelay = 10 * time.Second

// areAllBarred reports whether there have been only replicas of barred versions for so long
// that they are used.
func (s *service) areAllBarred(barred []string, now time.Time) bool {
	if len(barred) < len(s.versions.all) {
		s.onlyBarredSince = time.Time{}
		return false
	}
	if s.onlyBarredSince.IsZero() {
		s.onlyBarredSince = now
	}
	return now.Sub(s.onlyBarredSince) > soleVersionDelay
}

// fraction maps a request's ID to a number from 0 to 1.
func fraction(request string) float64 {
	return float64(xxh3.HashStringSeed(request, fractionSeed)) / math.MaxUint64
}

// fractionSeed makes the division between versions independent of other uses of the hash.
const fractionSeed = 0x5ca1ab1e

// Observe counts the outcome of a send.
func (c *Canary) Observe(sample Sample) {
	at := c.config.TrueTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.services[sample.Service]
	if !ok || !s.isActive() {
		return
	}
	isNew := sample.Version == s.order.Version
	event, isFirst := s.breaks.add(&sample, at)
	if sample.IsFailed {
		c.config.Logger.Info("rollout answer failed", "service", s.name, "version", sample.Version, "is_new", isNew,
			"replica", sample.Replica, "failure", sample.Failure, "took", sample.Took.Round(time.Millisecond), "first_of_event", isFirst)
	}
	if isFirst || isNew {
		s.own.count(event, &sample, isNew, isFirst)
	}
	if !isNew && sample.Took > s.longest {
		s.longest = sample.Took
	}
}

// condemnAndTell bars the new version of a service and tells the others. The caller holds
// the lock.
func (c *Canary) condemnAndTell(s *service, f Finding) {
	v := verdict{
		Service: s.name,
		Version: s.order.Version,
		Order:   s.order.Revision,
	}
	if c.condemn(s, v) {
		c.config.Logger.Warn("version condemned", "service", s.name, "version", v.Version, "order", v.Order,
			"log_ratio", f.LogBad, "answers", f.Answers, "all_answers", f.Total, "share", s.grant.Share)
		c.publish(zinniamast.TopicVersionVerdict, s.name, v)
	}
}

// condemn bars a version unless it is too late for that. The caller holds the lock.
func (c *Canary) condemn(s *service, v verdict) bool {
	if s.condemned[v.Version] || v.Order == s.order.Revision && s.isSealed() {
		return false
	}
	s.condemned[v.Version] = true
	return true
}
