// Package attempt runs an accepted model request to its end: attempt after
// attempt, each going on from the tokens that stand, until the answer is whole
// or the request is honestly given up.
package attempt

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/config"
	"zinniamast/prefix"
	"zinniamast/request"
)

const (
	// waitForUpstream is the pause before an accepted request asks routing again.
	waitForUpstream = 100 * time.Millisecond
	// routeRefusals is how often routing may refuse before a request that no
	// announced reclaim has moved is given up.
	routeRefusals = 10
)

// Config says what a runner works with.
type Config struct {
	Board      *blackboard.Board
	Router     zinniamast.Router
	Retry      zinniamast.RetryPolicy
	Quarantine zinniamast.Quarantine
	Logger     *slog.Logger
	Metrics    *Metrics
	// FailureDomain is the node's own, for the policy in force.
	FailureDomain string
	// Produced hears how many tokens an attempt gave, by model; nil is not told.
	Produced func(model string, tokens int)
	// KVBytesASecond is the transfer rate that moves of KV caches may count on, per replica.
	KVBytesASecond int64
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	config Config

	mu      sync.Mutex
	running map[string]*flight
}

// flight is one running attempt, as the mover sees it.
type flight struct {
	request  *request.Request
	upstream *blackboard.Upstream
	attempt  string
	// need is what a move asks routing for.
	need    *zinniamast.RouteRequest
	started time.Time
	gap     time.Duration
	stop    context.CancelCauseFunc
	// from is how many tokens stood before this attempt, and cached the prompt
	// tokens that the engine had, as it told at the end.
	from   int
	cached int
}

// moveOrder ends an attempt so that the next one goes on elsewhere.
type moveOrder struct {
	// target is where to go on; empty lets routing choose.
	target string
	// handle is the cache that the target has imported, if any.
	handle zinniamast.KVHandle
}

// Error implements error, so that an order can be a context's cause.
func (m *moveOrder) Error() string { return "moved to " + m.target }

// errHandedOff ends an attempt whose request a peer has taken over.
var errHandedOff = errors.New("request was handed to a peer")

// New returns a runner that moves requests away from leaving upstreams.
func New(config Config) *Runner {
	r := &Runner{
		config:  config,
		running: map[string]*flight{},
	}
	config.Board.Upstreams.OnLeaving(r.upstreamLeaves)
	return r
}

// Release ends the attempt of a request that a peer has taken over.
func (r *Runner) Release(q *request.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.running {
		if f.request == q {
			f.stop(errHandedOff)
		}
	}
}

// progress is what the attempts of one request share.
type progress struct {
	request *request.Request
	policy  config.Effective
	prefix  []uint64
	avoid   []string
	order   *moveOrder
	retries int
	// paid says that the budget has been charged for the next attempt, which is to
	// wait for so long.
	paid bool
	wait time.Duration
	// lost is what the last attempt leaves for the next one to compute again.
	lost     int
	refusals int
	// moved means that the last attempt was ended by an announced reclaim.
	moved bool
	// ran is the most that is known of the request's run.
	ran zinniamast.Ran
}

// Run runs a request until it is whole, failed or handed off.
func (r *Runner) Run(ctx context.Context, q *request.Request) {
	r.run(ctx, q, nil)
}

// Resume runs a request that another node began. It goes on at the same
// upstream if it can, whose cache still holds the prompt and the tokens.
func (r *Runner) Resume(ctx context.Context, q *request.Request, upstream string) {
	r.run(ctx, q, &moveOrder{
		target: upstream,
	})
}

func (r *Runner) run(ctx context.Context, q *request.Request, order *moveOrder) {
	call := &q.Call
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	p := &progress{
		request: q,
		order:   order,
		moved:   order != nil,
		prefix:  prefix.Hashes(nil, call.Messages),
		ran:     zinniamast.NotRun,
		policy: r.config.Board.Configuration.Config().Resolve(config.Match{
			Organisation:  call.Organisation,
			Model:         call.Model,
			FailureDomain: r.config.FailureDomain,
			Class:         string(call.Class),
		}),
	}
	r.config.Retry.Started(call.Organisation, call.Model)
	for r.once(ctx, p) {
	}
	if state := q.State(); state == request.StateFailed {
		r.config.Metrics.failed(q.Snapshot().Refusal)
	}
}

// once makes one attempt and reports whether another shall follow.
func (r *Runner) once(ctx context.Context, p *progress) bool {
	if ctx.Err() != nil {
		return r.giveUp(p, pastDeadline(ctx, p))
	}
	alone, err := r.config.Quarantine.Check(p.request.Call.Fingerprint)
	if err != nil {
		return r.giveUp(p, zinniamast.AsRefusal(err).WithRan(p.ran))
	}
	upstream, choice, err := r.route(p, alone)
	if err != nil {
		return r.waitForRoute(ctx, p, err)
	}
	p.refusals = 0
	attempt := rand.Text()
	if !p.request.Begin(attempt, upstream.Instance.ID) {
		return false
	}
	// Only what an attempt does compute again counts: a request that ends with
	// its attempt recomputes nothing.
	r.config.Metrics.lost(p.lost)
	p.lost = 0
	end := r.attempt(ctx, p, upstream, choice, attempt)
	return r.judge(ctx, p, upstream, attempt, end)
}

// route asks for an upstream, or follows a mover's order while it can.
func (r *Runner) route(p *progress, alone bool) (*blackboard.Upstream, zinniamast.Choice, error) {
	if p.order != nil && p.order.target != "" {
		upstream := r.config.Board.Upstreams.Get(p.order.target)
		if upstream != nil && !upstream.Leaving() {
			return upstream, zinniamast.Choice{
				Upstream: p.order.target,
			}, nil
		}
		p.order = nil
	}
	choice, err := r.config.Router.Route(r.need(p, alone))
	if err != nil {
		return nil, choice, err
	}
	upstream := r.config.Board.Upstreams.Get(choice.Upstream)
	if upstream == nil {
		return nil, choice, zinniamast.Refuse(zinniamast.ReasonNoUpstream, "upstream %s is gone", choice.Upstream).WithRetryAfter(waitForUpstream)
	}
	return upstream, choice, nil
}

func (r *Runner) need(p *progress, alone bool) *zinniamast.RouteRequest {
	call := &p.request.Call
	produced, _, _ := p.request.Progress()
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
		Avoid:               r.apart(p, alone),
		Alone:               alone,
	}
}

// apart adds to the replicas to avoid those where a suspect would tell nothing.
func (r *Runner) apart(p *progress, alone bool) []string {
	if !alone {
		return p.avoid
	}
	var replicas []string
	for _, upstream := range r.config.Board.Upstreams.Of(p.request.Call.Model) {
		if !upstream.Leaving() && !slices.Contains(p.avoid, upstream.Instance.ID) {
			replicas = append(replicas, upstream.Instance.ID)
		}
	}
	return append(slices.Clone(p.avoid), r.config.Quarantine.ReplicasToAvoid(p.request.Call.Fingerprint, replicas)...)
}
