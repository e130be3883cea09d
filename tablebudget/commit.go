package tablebudget

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"zinniamast"
)

// commit sends one batch and answers or retries each of its calls. A throttled
// batch is retried without waiting for the rate limit again: with that wait,
// callers would reach their deadlines although the table has capacity again.
func (p *Client) commit(batch []*writeCall) {
	for retries := 0; len(batch) > 0; retries++ {
		err := p.sendBatch(batch)
		if !errors.Is(err, zinniamast.ErrThrottled) {
			p.finishBatch(batch, err)
			return
		}
		drainBucket(p.writes)
		batch = p.waitAfterThrottle(batch, retries)
	}
}

// sendBatch sends the batch in one request.
func (p *Client) sendBatch(batch []*writeCall) error {
	var writes []zinniamast.Write
	for _, c := range batch {
		writes = append(writes, c.writes...)
		p.metrics.writes.WithLabelValues(c.role).Add(float64(len(c.writes)))
	}
	p.metrics.batch.Observe(float64(len(writes)))
	return p.send(p.stop, func(ctx context.Context) error {
		return p.config.Table.Write(ctx, writes)
	})
}

// finishBatch answers or retries each call of the batch.
func (p *Client) finishBatch(batch []*writeCall, err error) {
	var conflict *zinniamast.ConflictError
	switch {
	case err == nil:
		for _, c := range batch {
			c.done <- nil
		}
	case errors.As(err, &conflict):
		p.finishConflict(batch, conflict)
	case errors.Is(err, zinniamast.ErrUnavailable):
		p.requeue(batch)
	default:
		p.retryUnknown(batch)
	}
}

// waitAfterThrottle waits for the backoff and returns the calls that are still
// worth sending.
func (p *Client) waitAfterThrottle(batch []*writeCall, retries int) []*writeCall {
	p.metrics.retries.WithLabelValues(retryThrottled).Add(float64(len(batch)))
	p.updateSent(batch, false)
	timer := time.NewTimer(backoff(retries))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stop.Done():
	}
	if p.stop.Err() != nil || !p.breaker.isClosed() {
		for _, c := range batch {
			c.done <- c.abortError()
		}
		return nil
	}
	return p.updateSent(batch, true)
}

// updateSent updates whether the table may have received the calls. If they are
// about to be sent, it returns those that can still be answered in time.
func (p *Client) updateSent(batch []*writeCall, sending bool) []*writeCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sendable []*writeCall
	for _, c := range batch {
		c.sent = c.outcomeUnknown
		if sending && p.isWorthSending(c) {
			c.sent = true
			sendable = append(sendable, c)
		}
	}
	return sendable
}

// finishConflict answers the calls that conflict and requeues the others; a
// transaction with a conflict writes nothing.
func (p *Client) finishConflict(batch []*writeCall, conflict *zinniamast.ConflictError) {
	var unaffected, unknown []*writeCall
	conflicts := map[*writeCall]*zinniamast.ConflictError{}
	first := 0
	for _, c := range batch {
		failed := indexesWithin(conflict.Failed, first, len(c.writes))
		first += len(c.writes)
		switch {
		case len(failed) == 0:
			unaffected = append(unaffected, c)
		case c.outcomeUnknown:
			conflicts[c] = &zinniamast.ConflictError{
				Failed: failed,
			}
			unknown = append(unknown, c)
		default:
			c.done <- &zinniamast.ConflictError{
				Failed: failed,
			}
		}
	}
	if len(unaffected) > 0 {
		p.metrics.retries.WithLabelValues(retryNeighbour).Add(float64(len(unaffected)))
		p.requeue(unaffected)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentResolves)
	for _, c := range unknown {
		group.Go(func() error {
			c.done <- p.resolve(c, conflicts[c])
			return nil
		})
	}
	_ = group.Wait()
}

// maxConcurrentResolves limits the calls of a batch that resolve a lost answer
// at the same time.
const maxConcurrentResolves = 8

// indexesWithin returns the indexes in [first, first+count), relative to first.
func indexesWithin(indexes []int, first, count int) []int {
	var relative []int
	for _, i := range indexes {
		if i >= first && i < first+count {
			relative = append(relative, i-first)
		}
	}
	return relative
}

// retryUnknown retries calls whose answer was lost. A read alone is not enough:
// the first request may still be in flight and take effect after the read. The
// same conditional write, sent again, either takes effect, after which the
// first no longer can, or conflicts, and then a read shows with which write.
func (p *Client) retryUnknown(batch []*writeCall) {
	for _, c := range batch {
		c.outcomeUnknown = true
		p.retryLater(c, retryLost)
	}
}

// resolve distinguishes a conflict with an earlier request of the same call from
// one with another write, by the token of the stored item.
func (p *Client) resolve(c *writeCall, conflict *zinniamast.ConflictError) error {
	p.metrics.resolved.Inc()
	conflictsWithOther := false
	for _, w := range c.writes {
		item, err := p.WithRole(c.role).Get(p.stop, w.Item.Key)
		switch {
		case errors.Is(err, zinniamast.ErrNotFound):
			if w.Delete && len(c.writes) == 1 {
				return nil
			}
		case err != nil:
			// err is not wrapped: after a throttled read, errors.Is would report the
			// write as refused.
			return merry.Errorf("table: write open: read after a lost answer: %v", err)
		case item.Token == w.Item.Token:
			// One write of the transaction took effect, so all of them did.
			return nil
		case item.Revision <= w.Expect+1 && !w.Delete:
			conflictsWithOther = true
		}
	}
	if conflictsWithOther {
		return conflict
	}
	// The item has been changed again, so this write may have taken effect in
	// between.
	return merry.New("table: write open: the item changed again since")
}
