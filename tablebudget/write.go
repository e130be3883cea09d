package tablebudget

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast"
)

// writeCall is one call of Write until it is answered.
type writeCall struct {
	role   string
	writes []zinniamast.Write
	bytes  int
	// deadline is the deadline of the caller.
	deadline time.Time
	done     chan error

	// Client.mu guards the following fields until the call is taken into a batch.

	// sent means that the table may have received the writes.
	sent bool
	// outcomeUnknown means that an earlier answer was lost, so that the writes
	// may have taken effect.
	outcomeUnknown bool
	// abandoned means that the caller no longer waits.
	abandoned bool
	retries   int
}

// write queues the writes and waits for their result.
func (p *Client) write(ctx context.Context, role string, writes []zinniamast.Write) error {
	if len(writes) == 0 {
		return nil
	}
	if err := zinniamast.CheckWrites(writes); err != nil {
		return err
	}
	if !p.breaker.isClosed() {
		p.metrics.countRefusal(refusedUnavailable)
		return zinniamast.ErrUnavailable
	}
	ctx, cancel := p.withDeadline(ctx)
	defer cancel()
	c := p.newWriteCall(role, writes)
	c.deadline, _ = ctx.Deadline()
	if !p.enqueue(c) {
		p.metrics.countRefusal(refusedQueue)
		return zinniamast.ErrThrottled
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return p.abandon(c, ctx.Err())
	}
}

func (p *Client) newWriteCall(role string, writes []zinniamast.Write) *writeCall {
	c := &writeCall{
		role:   role,
		writes: slices.Clone(writes),
		done:   make(chan error, 1),
	}
	for i := range c.writes {
		if c.writes[i].Item.Token == "" {
			c.writes[i].Item.Token = p.newToken()
		}
		c.bytes += len(c.writes[i].Item.Value)
	}
	return c
}

// enqueue returns false if the queue is full or the Client is closed.
func (p *Client) enqueue(c *writeCall) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= p.config.MaxQueue || p.stop.Err() != nil {
		return false
	}
	p.queue = append(p.queue, c)
	p.ready.Signal()
	return true
}

// abandon withdraws a call whose context has ended. Only a call that was never
// sent is reported as not done; the outcome of any other is unknown.
func (p *Client) abandon(c *writeCall, cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	default:
	}
	c.abandoned = true
	if !c.sent {
		p.metrics.countRefusal(refusedBudget)
		return zinniamast.ErrThrottled
	}
	return merry.Prepend(cause, "table: write open")
}

// dispatch sends a batch whenever calls are queued, a slot is free and the rate
// limit allows it. Calls that arrive while it waits for one of these are sent
// together; a single write on an idle Client is sent immediately.
func (p *Client) dispatch() {
	for p.awaitQueue() {
		select {
		case p.slots <- struct{}{}:
		case <-p.stop.Done():
			return
		}
		if p.writes.Wait(p.stop) != nil {
			return
		}
		batch := p.takeBatch()
		p.running.Go(func() {
			defer func() { <-p.slots }()
			p.commit(batch)
		})
	}
}

// awaitQueue waits until calls are queued; it returns false if the Client is closed.
func (p *Client) awaitQueue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == 0 && p.stop.Err() == nil {
		p.ready.Wait()
	}
	return p.stop.Err() == nil
}

// takeBatch removes the next batch from the queue: as many calls as fit, without
// calls that share a key, since a transaction may contain an item only once.
func (p *Client) takeBatch() []*writeCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch, remaining []*writeCall
	keys := map[zinniamast.Key]bool{}
	items, bytes := 0, 0
	for _, c := range p.queue {
		if !p.isWorthSending(c) {
			continue
		}
		fits := items+len(c.writes) <= p.config.MaxBatch && bytes+c.bytes <= maxBatchBytes
		if len(batch) > 0 && (!fits || overlaps(keys, c.writes)) {
			remaining = append(remaining, c)
			continue
		}
		for _, w := range c.writes {
			keys[w.Item.Key] = true
		}
		items += len(c.writes)
		bytes += c.bytes
		c.sent = true
		batch = append(batch, c)
	}
	p.queue = remaining
	return batch
}

// isWorthSending reports whether the caller of a call still waits and can be
// answered in time, and refuses a call that cannot be. p.mu must be held. A write
// sent too late would be answered after the caller's deadline: it would use the
// rate limit and the caller would get an unknown outcome.
func (p *Client) isWorthSending(c *writeCall) bool {
	if c.abandoned {
		return false
	}
	if !c.outcomeUnknown && time.Until(c.deadline) < p.latency() {
		p.metrics.countRefusal(refusedBudget)
		c.done <- zinniamast.ErrThrottled
		return false
	}
	return true
}

func overlaps(keys map[zinniamast.Key]bool, writes []zinniamast.Write) bool {
	return slices.ContainsFunc(writes, func(w zinniamast.Write) bool { return keys[w.Item.Key] })
}

// Bounds of the backoff of calls that are retried.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// backoff returns the jittered delay before a retry; retries is the number of
// earlier retries.
func backoff(retries int) time.Duration {
	wait := min(initialBackoff<<min(retries, 10), maxBackoff)
	return wait/2 + rand.N(wait)
}

// retryLater queues a call again after a jittered delay.
func (p *Client) retryLater(c *writeCall, reason string) {
	p.metrics.retries.WithLabelValues(reason).Inc()
	wait := backoff(c.retries)
	p.mu.Lock()
	c.retries++
	c.sent = c.outcomeUnknown
	p.mu.Unlock()
	started := p.spawn(func() {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.stop.Done():
		}
		p.requeue([]*writeCall{c})
	})
	if !started {
		c.done <- c.abortError()
	}
}

// requeue puts calls back at the front of the queue, or fails them if the Client
// is closed or the breaker is open.
func (p *Client) requeue(calls []*writeCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop.Err() != nil || !p.breaker.isClosed() {
		for _, c := range calls {
			c.done <- c.abortError()
		}
		return
	}
	for _, c := range calls {
		c.sent = c.outcomeUnknown
	}
	p.queue = append(slices.Clone(calls), p.queue...)
	p.ready.Signal()
}

// abortError returns the error of a call that is given up.
func (c *writeCall) abortError() error {
	if c.outcomeUnknown {
		return merry.New("table: write open: the answer was lost and the table is out")
	}
	return zinniamast.ErrUnavailable
}

// failQueued fails all queued calls. Keeping them until their deadlines while
// the table is unavailable would only delay their errors.
func (p *Client) failQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.queue {
		c.done <- c.abortError()
	}
	p.queue = nil
}
