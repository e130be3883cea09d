package limits

import (
	"sync"
	"time"

	"zinniamast/routes"
)

// AllowanceConfig says how a node divides organisations' allowances.
type AllowanceConfig struct {
	// Part returns the part of an organisation's allowance that this node may give out.
	Part func(organisation string) float64
	// Window, Overage and Slack are what the fleet may give out beyond the
	// allowance: in any Window the part Overage of it, and Slack tokens more.
	Window  time.Duration
	Overage float64
	Slack   float64
	// Now tells the time; nil is time.Now.
	Now func() time.Time
}

// Allowance gives out this node's part of each organisation's rate and burst.
// Parts add up to at most the whole, so that the bound holds over all nodes
// while they do not hear each other.
type Allowance struct {
	config  AllowanceConfig
	started time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

// bucket holds what an organisation may still take here.
type bucket struct {
	left float64
	at   time.Time
}

// NewAllowance returns allowances that fill from now on.
func NewAllowance(config AllowanceConfig) *Allowance {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Allowance{
		config:  config,
		started: config.Now(),
		buckets: map[string]*bucket{},
	}
}

// maxAllowanceWait bounds the time a caller is told to stay away; an amount
// larger than the node's whole burst would otherwise never fit.
const maxAllowanceWait = 10 * time.Second

// usedTolerance is the part of the tolerated excess that is given out; the rest
// is for nodes that have just come or not yet heard of a change.
const usedTolerance = 0.7

// burst is what may be given out at once: the organisation's burst and the
// tolerated excess of one window.
//
// Load: one organisation's requests are of very different sizes, and each
// node's part of the burst is smaller than the largest. Refusing those while
// the fleet as a whole is within the allowance would starve the large ones.
func (a *Allowance) burst(o *routes.Organisation) float64 {
	tolerated := a.config.Overage * (o.Rate*a.config.Window.Seconds() + o.Burst)
	if o.ByTokens {
		tolerated += a.config.Slack
	}
	return o.Burst + usedTolerance*tolerated
}

// Take takes an amount, or returns when it will be there.
func (a *Allowance) Take(o *routes.Organisation, amount float64) (time.Duration, bool) {
	part := a.config.Part(o.Name)
	rate, burst := o.Rate*part, a.burst(o)*part
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b, ok := a.buckets[o.Name]
	if !ok {
		// A process that was restarted begins with nothing: the one before it may
		// have given out its whole burst a moment ago.
		b = &bucket{
			at: a.started,
		}
		a.buckets[o.Name] = b
	}
	b.left = min(burst, b.left+rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	// An amount above the burst takes the bucket below zero, or a small node
	// would never let a large request through; the debt is paid off before the next.
	if b.left >= min(amount, burst) {
		b.left -= amount
		return 0, true
	}
	wait := time.Duration((min(amount, burst) - b.left) / rate * float64(time.Second))
	return min(wait, maxAllowanceWait), false
}
