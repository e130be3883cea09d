// Package retry limits retries by budgets: first attempts of an organisation at a
// service add to its retry budget there, so that retries cannot amplify an outage.
package retry

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
)

// Config holds the settings of a Policy.
type Config struct {
	// Base is the maximum backoff before the first retry. If zero, it is 50 ms.
	Base time.Duration
	// Limit is the maximum backoff before any retry. If zero, it is 2 s.
	Limit time.Duration
	// Reserve is the number of retries that a budget allows without first attempts
	// that earned them, while retries help. If zero, it is 20.
	Reserve float64
	// Seed makes the jitter repeatable. If zero, a random seed is used.
	Seed uint64
	// Logger logs refused retries at debug level. If nil, nothing is logged.
	Logger *slog.Logger
	// Registerer registers the counters. If nil, they are not registered.
	Registerer prometheus.Registerer
	// Now returns the current time. If nil, it is time.Now.
	Now func() time.Time
}

// Defaults of Config fields that are zero.
const (
	defaultBase    = 50 * time.Millisecond
	defaultLimit   = 2 * time.Second
	defaultReserve = 20
)

// Policy implements zinniamast.RetryPolicy.
type Policy struct {
	config    Config
	decisions *prometheus.CounterVec

	mu        sync.Mutex
	random    *rand.Rand
	budgets   map[budgetKey]*budget
	services  map[string]*serviceState
	lastSweep time.Time
}

var _ zinniamast.RetryPolicy = (*Policy)(nil)

// budgetKey identifies an organisation's budget at a service.
type budgetKey struct {
	organisation string
	service      string
}

// serviceState holds the budget that all organisations share at a service, and
// whether retries help there.
type serviceState struct {
	budget *budget
	effect retryEffect
	// lastSuccess is the time at which a replica last started to answer.
	lastSuccess time.Time
}

// New returns a policy with empty budgets.
func New(config Config) *Policy {
	config.setDefaults()
	p := &Policy{
		config:    config,
		decisions: newDecisions(config.Registerer),
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		budgets:   map[budgetKey]*budget{},
		services:  map[string]*serviceState{},
	}
	return p
}

func (c *Config) setDefaults() {
	if c.Base == 0 {
		c.Base = defaultBase
	}
	if c.Limit == 0 {
		c.Limit = defaultLimit
	}
	if c.Reserve == 0 {
		c.Reserve = defaultReserve
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Started implements zinniamast.RetryPolicy.
func (p *Policy) Started(organisation, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.sweep(now)
	p.organisationBudget(organisation, service, now).countStarted()
	p.serviceState(service, now).budget.countStarted()
}

// Retry implements zinniamast.RetryPolicy. Its refusal has Ran set to NotRun, which
// applies only to the retry. The caller replaces it according to the outcome of
// the earlier attempts.
func (p *Policy) Retry(organisation, service string, retry int, ratio float64) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	state := p.serviceState(service, now)
	if retry > 1 {
		state.effect.failed++
	}
	own := p.organisationBudget(organisation, service, now)
	if !p.spend(own, state, ratio, p.config.Reserve) {
		p.decisions.WithLabelValues(decisionRefused).Inc()
		p.config.Logger.Debug("retry refused", "organisation", organisation, "service", service, "retry", retry)
		refusal := zinniamast.Refuse(zinniamast.ReasonRetryBudget,
			"the retry budget of %s at %s is spent", organisation, service)
		return 0, refusal.WithRetryAfter(own.timeToNextRetry(ratio))
	}
	state.effect.allowed++
	p.decisions.WithLabelValues(decisionAllowed).Inc()
	return p.backoff(retry), nil
}

// Succeeded implements zinniamast.RetryPolicy.
func (p *Policy) Succeeded(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	p.serviceState(service, now).lastSuccess = now
}

const (
	// maxFailovers is the number of retries per request that Failover allows beyond
	// the budget.
	maxFailovers = 2
	// successWindow is the maximum age of a service's last success for the service to
	// count as available.
	successWindow = time.Second
)

// Failover implements zinniamast.RetryPolicy.
//
// If one of a few replicas crashes, the retries of the dozens of streams that it
// ran would exhaust an organisation's budget at once, and the remaining streams
// would be refused although other replicas have capacity. Each stream needs one
// more attempt, which only replaces work of the crashed replica and adds no load.
// While no replica answers any request, such attempts would fail repeatedly, so
// the budget applies to them as well. Retries that exceeded the budget before are
// counted against it.
func (p *Policy) Failover(organisation, service string, retry int, ratio float64) (time.Duration, error) {
	p.mu.Lock()
	now := p.config.Now()
	state := p.serviceState(service, now)
	if retry <= maxFailovers && now.Sub(state.lastSuccess) < successWindow {
		if retry > 1 {
			state.effect.failed++
		}
		state.effect.allowed++
		state.budget.countRetried()
		p.organisationBudget(organisation, service, now).countRetried()
		wait := p.backoff(retry)
		p.mu.Unlock()
		p.decisions.WithLabelValues(decisionFailover).Inc()
		return wait, nil
	}
	p.mu.Unlock()
	return p.Retry(organisation, service, retry, ratio)
}

// spend counts one retry if both the organisation's and the service's budget
// allow it, and reports whether they do. The service's budget limits all
// organisations together: in an outage, many small organisations would otherwise
// use their reserves at once and double the load on a recovering service. The
// caller holds the lock.
func (p *Policy) spend(own *budget, state *serviceState, ratio, reserve float64) bool {
	retriesHelp := state.effect.retriesHelp()
	if !state.budget.allows(ratio, reserve, retriesHelp) {
		return false
	}
	if !own.allows(ratio, reserve, retriesHelp) {
		return false
	}
	state.budget.countRetried()
	own.countRetried()
	return true
}

// backoff returns a random duration between zero and a limit that doubles with
// each retry (full jitter), so that callers that failed together do not retry
// together.
func (p *Policy) backoff(retry int) time.Duration {
	bound := p.config.Base
	for range retry - 1 {
		bound = min(2*bound, p.config.Limit)
	}
	return time.Duration(p.random.Int64N(int64(bound) + 1))
}
