package load

import (
	"context"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/checker"
)

// Backoff of a caller that receives no reply.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// minRetryDelay is the shortest delay after which a caller retries.
	minRetryDelay = 2 * time.Millisecond
)

// reasonSilence is the reason of retries after a try without a reply.
const reasonSilence = "silence"

// runner sends the traffic of one run.
type runner struct {
	config   Config
	checker  *checker.Checker
	models   *modelCaller
	services *serviceCaller
	first    *latency
	between  *latency
	// tasks holds all tasks drawn; only drive appends to it.
	tasks []*task

	mu      sync.Mutex
	retried map[string]int
}

// Run sends traffic to the targets and returns a report. It ends when every
// caller has its outcome, or when the context ends.
func Run(ctx context.Context, c Config) (*Report, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	transport, err := newBalancer(c.Targets, c.InFlight, c.IdleTimeout)
	if err != nil {
		return nil, err
	}
	r := &runner{
		config:  c,
		checker: checker.New(),
		first:   newLatency(),
		between: newLatency(),
		retried: map[string]int{},
	}
	r.models = newModelCaller(c, transport, r.first, r.between)
	r.services = newServiceCaller(c, transport)
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	return r.report(ctx)
}

// drive starts requests at the given rate and waits for all of them.
func (r *runner) drive(ctx context.Context) error {
	plan := newPlanner(r.config)
	slots := make(chan struct{}, r.config.InFlight)
	total := int(r.config.Rate * r.config.Duration.Seconds())
	begin := time.Now()
	var callers sync.WaitGroup
	defer callers.Wait()
	for i := range total {
		due := begin.Add(time.Duration(float64(i) / r.config.Rate * float64(time.Second)))
		if !sleep(ctx, time.Until(due)) {
			return nil
		}
		slots <- struct{}{}
		t, err := plan.next()
		if err != nil {
			return err
		}
		r.tasks = append(r.tasks, t)
		if err := r.checker.RecordSent(t.Request); err != nil {
			return err
		}
		callers.Go(func() {
			defer func() { <-slots }()
			if result, ok := r.perform(ctx, t); ok {
				r.checker.RecordOutcome(t.ID, result)
			}
		})
	}
	return nil
}

// sleep waits and reports false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// perform acts as one caller: it sends a request, and retries it under the same
// key, until it receives an answer or a refusal without a retry delay, or runs
// out of time. It reports false if the last try received no reply.
func (r *runner) perform(ctx context.Context, t *task) (checker.Outcome, bool) {
	ctx, cancel := context.WithDeadline(ctx, t.Deadline.Add(r.config.Margin))
	defer cancel()
	replies := &replyLog{}
	ctx = withReplyLog(ctx, replies)
	wait := firstBackoff
	for {
		got := r.call(ctx, t)
		if got.whole {
			return checker.Outcome{
				Whole:      true,
				Answer:     got.answer,
				Recomputed: got.recomputed,
				At:         time.Now(),
			}, true
		}
		last, uncertain := lastReply(replies.list())
		// After a try without a reply, another node may answer at once. The caller
		// retries as long as time remains, so that one dead node does not decide
		// the outcome.
		pause := min(wait, time.Until(t.Deadline)/2)
		if last.refusal != nil {
			pause = last.refusal.retryAfter()
		}
		if pause < minRetryDelay || time.Now().Add(pause).After(t.Deadline) {
			return finalOutcome(last, uncertain)
		}
		r.countRetry(last.refusal)
		if !sleep(ctx, pause) {
			return finalOutcome(last, uncertain)
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (r *runner) call(ctx context.Context, t *task) attemptResult {
	if t.messages != nil {
		return r.models.call(ctx, t)
	}
	return r.services.call(ctx, t)
}

func (r *runner) countRetry(last *refusal) {
	reason := reasonSilence
	if last != nil {
		reason = last.Reason
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retried[reason]++
}

// lastReply returns the last reply and whether an earlier try may have run.
func lastReply(replies []reply) (last reply, uncertain bool) {
	if len(replies) == 0 {
		return reply{}, false
	}
	for _, r := range replies[:len(replies)-1] {
		if r.refusal == nil || r.refusal.Ran != zinniamast.NotRun {
			uncertain = true
		}
	}
	return replies[len(replies)-1], uncertain
}

// finalOutcome returns the outcome of a caller that stops retrying. Its time is
// when the reply was received, because the client library may wait until the
// deadline before it returns.
func finalOutcome(last reply, uncertain bool) (checker.Outcome, bool) {
	if last.refusal == nil {
		return checker.Outcome{}, false
	}
	return checker.Outcome{
		Ran:       last.refusal.Ran,
		Reason:    last.refusal.Reason,
		Uncertain: uncertain,
		At:        last.at,
	}, true
}
