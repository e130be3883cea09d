// Package attempt runs an accepted model request to completion. Each attempt
// resumes from the tokens that earlier attempts produced, until the answer is
// whole or the request fails with a refusal.
package attempt

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/config"
	"zinniamast/prefix"
	"zinniamast/quarantine"
	"zinniamast/request"
)

const (
	// routeRetryInterval is the pause before an accepted request is routed again.
	routeRetryInterval = 100 * time.Millisecond
	// maxRouteRefusals is how often routing may refuse a request before it fails.
	// It does not apply to requests moved by an announced reclaim.
	maxRouteRefusals = 10
)

// Config holds the dependencies and settings of a runner.
type Config struct {
	Board      *blackboard.Board
	Router     zinniamast.Router
	Retry      zinniamast.RetryPolicy
	Quarantine zinniamast.Quarantine
	// Parts holds back requests by the parts of their prompts; nil means that this node alone
	// finds those that crash replicas.
	Parts   zinniamast.PartQuarantine
	Logger  *slog.Logger
	Metrics *Metrics
	// FailureDomain is the failure domain of this node; it selects the policy.
	FailureDomain string
	// OnTokensProduced is called with the number of tokens that an attempt produced, by
	// model; it may be nil.
	OnTokensProduced func(model string, tokens int)
	// KVBytesPerSecond is the rate per replica at which KV cache transfers are planned.
	KVBytesPerSecond int64
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	config Config

	mu      sync.Mutex
	running map[string]*flight
}

// moveOrder is the cancellation cause that ends an attempt on a leaving replica so that
// the next one resumes on another.
type moveOrder struct {
	// target is the upstream to resume at; if it is empty, routing chooses one.
	target string
	// handle is the KV cache that the target has imported, if any.
	handle zinniamast.KVHandle
}

// Error implements error, so that an order can be the cause of a context.
func (m *moveOrder) Error() string { return "moved to " + m.target }

// errHandedOff ends an attempt whose request a peer has taken over.
var errHandedOff = errors.New("request was handed off to a peer")

// errHeldBack ends an attempt of a request that has become known to crash replicas before its
// replica began to answer.
var errHeldBack = errors.New("a part of the prompt crashes replicas")

// New returns a runner that moves requests off leaving upstreams.
func New(config Config) *Runner {
	if config.Parts == nil {
		config.Parts = quarantine.NewParts(quarantine.PartsConfig{})
	}
	r := &Runner{
		config:  config,
		running: map[string]*flight{},
	}
	config.Board.Upstreams.OnLeaving(r.upstreamLeaving)
	return r
}

// Release ends the attempt of a request that a peer has taken over.
func (r *Runner) Release(q *request.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.running {
		if f.request == q {
			f.cancel(errHandedOff)
		}
	}
}

// progress is the state that the attempts of one request share.
type progress struct {
	// ctx ends at the request's deadline.
	ctx     context.Context
	request *request.Request
	policy  config.EffectivePolicy
	prefix  []uint64
	avoid   []string
	// target is the upstream where a request that another node began resumes, if it is
	// available.
	target string
	// next is the attempt that takes over from the last one; nil if there is none.
	next    *flight
	retries int
	// retryCharged reports that the next attempt has been charged to the retry
	// budget; retryAt is the end of the backoff before it.
	retryCharged bool
	retryAt      time.Time
	// tokensToRecompute counts the tokens that the next attempt must compute again.
	tokensToRecompute int
	routeRefusals     int
	// reclaimed reports that an announced reclaim ended the last attempt; it remains set
	// until a replica continues the answer. moveWait is the last wait for one.
	reclaimed bool
	moveWait  time.Duration
	// ran is the strongest evidence so far that the request has run.
	ran zinniamast.Ran
}

// Run runs a request until its answer is whole, it fails or it is handed off.
func (r *Runner) Run(ctx context.Context, q *request.Request) {
	r.run(ctx, q, &progress{})
}

// Resume runs a request that another node began. It resumes at the same
// upstream if possible, since the KV cache there still holds the prompt and the
// produced tokens.
func (r *Runner) Resume(ctx context.Context, q *request.Request, upstream string) {
	r.run(ctx, q, &progress{
		target:    upstream,
		reclaimed: true,
	})
}

func (r *Runner) run(ctx context.Context, q *request.Request, p *progress) {
	call := &q.Call
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	p.ctx = ctx
	p.request = q
	p.prefix = prefix.Hashes(nil, call.Messages)
	p.ran = zinniamast.NotRun
	p.policy = r.config.Board.Configuration.Config().Resolve(config.Match{
		Organisation:  call.Organisation,
		Model:         call.Model,
		FailureDomain: r.config.FailureDomain,
		Class:         string(call.Class),
	})
	r.config.Retry.Started(call.Organisation, call.Model)
	for r.runAttempt(ctx, p) {
	}
	if p.next != nil {
		r.withdraw(p.next)
	}
	if state := q.State(); state == request.StateFailed {
		r.config.Metrics.requestFailed(q.Snapshot().Refusal)
	}
}

// runAttempt makes one attempt and reports whether another one follows.
func (r *Runner) runAttempt(ctx context.Context, p *progress) bool {
	if ctx.Err() != nil {
		return r.giveUp(p, contextRefusal(ctx, p))
	}
	f := p.next
	if f == nil {
		alone, err := r.check(&p.request.Call)
		if err != nil {
			return r.giveUp(p, zinniamast.AsRefusal(err).WithRan(p.ran))
		}
		upstream, choice, err := r.route(p, alone)
		if err != nil {
			return r.waitForRoute(ctx, p, err)
		}
		f = r.newFlight(p, upstream, choice, nil)
	}
	p.routeRefusals = 0
	if !p.request.Begin(f.attempt, f.upstream.Instance.ID) {
		return false
	}
	// The metric counts tokens only when another attempt starts: a request that
	// ends with its attempt recomputes nothing.
	r.config.Metrics.tokensRecomputed(p.tokensToRecompute)
	p.tokensToRecompute = 0
	if p.next == nil {
		call := r.start(f)
		go r.open(f, call)
	}
	p.next = nil
	next, end := r.execute(f)
	p.next = next
	return r.handleAttemptEnd(ctx, p, f, end)
}

// route returns the upstream where a request of another node resumes if it is
// available, and otherwise the upstream that the router chooses.
func (r *Runner) route(p *progress, alone bool) (*blackboard.Upstream, zinniamast.Choice, error) {
	target := p.target
	p.target = ""
	routeRequest := r.routeRequest(p, alone)
	if upstream := r.config.Board.Upstreams.Get(target); upstream != nil && upstream.Accepts(routeRequest) {
		return upstream, zinniamast.Choice{
			Upstream: target,
		}, nil
	}
	return r.chooseUpstream(routeRequest)
}

// chooseUpstream returns the upstream that the router chooses.
func (r *Runner) chooseUpstream(routeRequest *zinniamast.RouteRequest) (*blackboard.Upstream, zinniamast.Choice, error) {
	choice, err := r.config.Router.Route(routeRequest)
	if err != nil {
		return nil, choice, err
	}
	upstream := r.config.Board.Upstreams.Get(choice.Upstream)
	if upstream == nil {
		return nil, choice, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "upstream %s is gone", choice.Upstream).WithRetryAfter(routeRetryInterval)
	}
	return upstream, choice, nil
}

func (r *Runner) routeRequest(p *progress, alone bool) *zinniamast.RouteRequest {
	call := &p.request.Call
	produced, _, _ := p.request.Progress()
	version, hasBegun := p.request.Version()
	return &zinniamast.RouteRequest{
		Request:             call.ID,
		Service:             call.Model,
		Organisation:        call.Organisation,
		Class:               string(call.Class),
		Priority:            call.Class.Priority(),
		PromptTokens:        call.PromptTokens,
		Produced:            produced,
		MaxTokens:           call.MaxTokens,
		Prefix:              p.prefix,
		Deadline:            call.Deadline,
		FirstTokenTarget:    p.policy.FirstTokenTarget,
		BetweenTokensTarget: p.policy.BetweenTokensTarget,
		Avoid:               r.avoidedReplicas(p, alone),
		Alone:               alone,
		Resumes:             hasBegun,
		Version:             version,
	}
}

// avoidedReplicas returns the replicas to avoid. For a request suspected of
// crashing replicas it adds those where another crash would not show which
// request caused it.
func (r *Runner) avoidedReplicas(p *progress, alone bool) []string {
	if !alone {
		return p.avoid
	}
	var replicas []string
	for _, upstream := range r.config.Board.Upstreams.Of(p.request.Call.Model) {
		if !upstream.Leaving() && !slices.Contains(p.avoid, upstream.Instance.ID) {
			replicas = append(replicas, upstream.Instance.ID)
		}
	}
	avoid := r.config.Quarantine.ReplicasToAvoid(p.request.Call.Fingerprint, replicas)
	replicas = slices.DeleteFunc(replicas, func(id string) bool { return slices.Contains(avoid, id) })
	return slices.Concat(p.avoid, avoid, r.config.Parts.ReplicasToAvoid(p.request.Call.PromptParts, replicas))
}

// check refuses a request that crashes replicas, be it by itself or by a part of its prompt,
// and reports whether it is suspected of that.
func (r *Runner) check(call *request.Call) (alone bool, err error) {
	hasSuspectPart, err := r.config.Parts.Check(call.PromptParts)
	if err != nil {
		return false, err
	}
	// Check may wait for reports of other nodes.
	isSuspect, err := r.config.Quarantine.Check(call.Fingerprint)
	return isSuspect || hasSuspectPart, err
}
