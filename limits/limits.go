// Package limits implements admission control: a request is admitted if its
// answer can meet its deadline, its organisation stays within its share, and the
// node has memory for it.
//
// One lock guards the accounts of usage. It is held for microseconds and never
// during a call to another package.
package limits

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
)

// Config configures a Limiter.
type Config struct {
	// Board holds the current configuration and the cluster members.
	Board *blackboard.Board
	// Node is this instance's name.
	Node string
	// FailureDomain is the failure domain in which the node runs.
	FailureDomain string
	// Gossip exchanges usage between nodes; nil means a single node.
	Gossip zinniamast.Gossip
	// Predictor forecasts waits and completion times; nil admits by memory alone.
	Predictor Predictor
	// MemoryCap bounds the memory of prompts and partial answers, in bytes;
	// zero means 512 MiB.
	MemoryCap int64
	// Logger receives refusals at debug level; nil discards them.
	Logger *slog.Logger
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Predictor forecasts the wait and completion time of a request that starts now.
type Predictor interface {
	// Forecast returns the forecast for the replica that routing would choose.
	Forecast(request *zinniamast.RouteRequest) Forecast
}

// Forecast is the predicted cost and timing of a request.
type Forecast struct {
	// Replicas is the number of replicas that accept work.
	Replicas int
	// Wait is the time before computation for the request starts.
	Wait time.Duration
	// Completion is the time to the complete answer, including Wait.
	Completion time.Duration
	// Work is the compute time that the request takes.
	Work time.Duration
}

const defaultMemoryCap = 512 << 20

// Limiter implements zinniamast.Limiter.
type Limiter struct {
	config  Config
	metrics *metrics
	memory  atomic.Int64
	recent  recentRefusals
	// accounts is the organisations' usage, in seconds of compute time.
	accounts *Accounts
}

var _ zinniamast.Limiter = (*Limiter)(nil)

// New returns a limiter without admitted requests.
func New(config Config) *Limiter {
	config.setDefaults()
	l := &Limiter{
		config: config,
		accounts: NewAccounts(AccountsConfig{
			Board:         config.Board,
			Node:          config.Node,
			FailureDomain: config.FailureDomain,
			Gossip:        config.Gossip,
			Now:           config.Now,
		}),
	}
	l.metrics = newMetrics(config.Registerer, &l.memory)
	return l
}

func (c *Config) setDefaults() {
	if c.MemoryCap == 0 {
		c.MemoryCap = defaultMemoryCap
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Board == nil {
		c.Board = blackboard.New()
	}
}

// Admit implements zinniamast.Limiter.
func (l *Limiter) Admit(ask zinniamast.Admission) (zinniamast.Ticket, error) {
	now := l.config.Now()
	if refusal := l.check(&ask, now); refusal != nil {
		return nil, l.refuse(&ask, refusal)
	}
	t := &ticket{
		limiter: l,
	}
	if !t.Grow(ask.Bytes) {
		return nil, l.refuse(&ask, zinniamast.Refuse(zinniamast.ReasonMemoryFull,
			"this node holds as much as it may").WithRetryAfter(memoryRetryAfter))
	}
	l.metrics.decisions.WithLabelValues(decisionAdmitted).Inc()
	return t, nil
}

func (l *Limiter) refuse(ask *zinniamast.Admission, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	l.metrics.decisions.WithLabelValues(string(refusal.Reason)).Inc()
	l.recent.add(ask, refusal.Reason, l.config.Now())
	l.config.Logger.Debug("request not admitted", "organisation", ask.Organisation, "service", ask.Service,
		"class", ask.Class, "reason", string(refusal.Reason), "retry_after", refusal.RetryAfter.String())
	return refusal
}

// check refuses requests that cannot meet their deadline or exceed their
// organisation's share. A request refused here has not run and gets a retry time
// if a retry can succeed, whereas the work of one that is admitted and misses its
// deadline is wasted.
func (l *Limiter) check(ask *zinniamast.Admission, now time.Time) *zinniamast.Refusal {
	if !ask.Deadline.IsZero() && !now.Before(ask.Deadline) {
		return zinniamast.Refuse(zinniamast.ReasonPastDeadline, "the deadline has passed")
	}
	if l.config.Predictor == nil {
		return nil
	}
	forecast := l.config.Predictor.Forecast(&zinniamast.RouteRequest{
		Service:      ask.Service,
		Organisation: ask.Organisation,
		Class:        ask.Class,
		Priority:     ask.Priority,
		PromptTokens: ask.PromptTokens,
		MaxTokens:    ask.MaxTokens,
		Deadline:     ask.Deadline,
	})
	if forecast.Replicas == 0 {
		return zinniamast.Refuse(zinniamast.ReasonNoUpstream,
			"no replica of %s takes work", ask.Service).WithRetryAfter(noUpstreamRetryAfter)
	}
	if refusal := checkDeadline(ask, &forecast, now); refusal != nil {
		return refusal
	}
	return l.checkShare(ask, &forecast, now)
}

// noUpstreamRetryAfter is the time after which a service without replicas may have
// one again.
const noUpstreamRetryAfter = 5 * time.Second

// checkDeadline refuses a request whose complete answer would miss its deadline.
// The refusal has a retry time only if the answer would be in time without the queue.
func checkDeadline(ask *zinniamast.Admission, forecast *Forecast, now time.Time) *zinniamast.Refusal {
	if ask.Deadline.IsZero() {
		return nil
	}
	remaining := ask.Deadline.Sub(now)
	late := forecast.Completion - remaining
	if late <= 0 {
		return nil
	}
	refusal := zinniamast.Refuse(zinniamast.ReasonDeadlineUnmet,
		"the answer would take %s and the deadline is in %s",
		forecast.Completion.Round(time.Millisecond), remaining.Round(time.Millisecond))
	if forecast.Completion-forecast.Wait > remaining {
		return refusal
	}
	return refusal.WithRetryAfter(roundUpRetryAfter(late))
}

// roundUpRetryAfter rounds a retry time up to whole seconds, the resolution of the
// Retry-After header.
func roundUpRetryAfter(wait time.Duration) time.Duration {
	rounded := (wait + time.Second - 1).Truncate(time.Second)
	return min(max(rounded, time.Second), maxRetryAfter)
}

// maxRetryAfter bounds retry times, since predictions further ahead are unreliable.
const maxRetryAfter = time.Minute
