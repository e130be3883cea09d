package claims

import (
	"context"
	"errors"
	"time"

	"zinniamast"
)

// pendingOutcome is an outcome that is not stored in the table yet.
type pendingOutcome struct {
	before Record
	after  Record
	expect uint64
	event  Event
	// upload is set if the answer is written to the object store.
	upload *upload
}

// save writes an outcome in the background and retries until the table has
// stored it. After Close no write is started, and the claim counts as unsaved.
func (c *Claims) save(claim *Claim, p *pendingOutcome) {
	c.metrics.unsaved.Inc()
	c.unsaved.Add(1)
	started := c.writers.start(func() {
		saved := c.saveUntilDone(claim.name, p)
		c.metrics.unsaved.Dec()
		c.unsaved.Add(-1)
		if !saved {
			return
		}
		if p.upload != nil {
			c.linkObject(claim.name, p)
		}
		c.removeLocal(claim)
		close(claim.saved)
	})
	if !started {
		c.unsaved.Add(-1)
	}
}

// SaveOutcome saves in the background the outcome of a call that needed no claim,
// because only this process could dispatch its key. If MaxUnsaved is reached, or
// a claim on the key is in memory already, the outcome is dropped, and in the
// first case the key reads as unknown once this process has ended.
func (c *Claims) SaveOutcome(call Call, event Event, answer *zinniamast.ServiceAnswer) {
	claim, isNew, err := c.register(call)
	if err != nil || !isNew {
		c.config.Logger.Warn("outcome of unclaimed call not saved", "organisation", call.Organisation,
			"service", call.Service, "key", call.Key)
		return
	}
	claim.endUnclaimed(event, answer)
}

// Read returns the record of a key from the table, with its stored answer.
func (c *Claims) Read(ctx context.Context, call Call) (Record, error) {
	record, _, err := c.get(ctx, call.name())
	if err == nil {
		c.loadAnswer(ctx, &record)
	}
	return record, err
}

// saveUntilDone retries until the outcome is saved; it reports false if the node
// stops first.
func (c *Claims) saveUntilDone(name string, p *pendingOutcome) bool {
	delay := minRetryDelay
	for {
		if c.saveOnce(name, p) {
			return true
		}
		if wait(c.closing, delay) != nil {
			return false
		}
		delay = min(2*delay, storeRetryAfter)
	}
}

// saveOnce writes the outcome once. It reports whether no further write is
// needed: the table has this outcome or one that replaces it.
func (c *Claims) saveOnce(name string, p *pendingOutcome) bool {
	select {
	case c.writeSlots <- struct{}{}:
	case <-c.closing.Done():
		return false
	}
	defer func() { <-c.writeSlots }()
	err := c.write(c.closing, recordWrites(&p.before, &p.after, p.expect, c.config.Retention))
	if err == nil {
		return true
	}
	if !errors.Is(err, zinniamast.ErrConflict) {
		return false
	}
	record, revision, err := c.get(c.closing, name)
	if err != nil {
		return false
	}
	return c.reconcile(p, record, revision)
}

// reconcile handles a write that conflicted with the table's record. The record
// comes from an earlier attempt of the same write whose response was lost, or
// from a decision made by a lookup or an operator in the meantime. It reports
// whether no further write is needed.
func (c *Claims) reconcile(p *pendingOutcome, record Record, revision uint64) bool {
	proven := p.event == EventRun || p.event == EventAnswer
	sameClaim := record.Nonce == p.after.Nonce
	if sameClaim && record.State == p.after.State {
		return true
	}
	if !sameClaim && record.State != StateFree {
		c.logContradiction(proven, record)
		return true
	}
	if record.State == StateFree {
		if !proven {
			return p.event != EventRelease || record.Nonce != ""
		}
		// The key was released as not run although the call ran. The outcome is
		// written over the free record at once, so that the call does not run a
		// second time.
		c.logContradiction(true, record)
	} else if _, err := nextState(record.State, p.event); err != nil {
		return true
	}
	p.before = record
	p.expect = revision
	return false
}

// logContradiction logs an error if it is proven that a call ran whose key was
// released as not run.
func (c *Claims) logContradiction(proven bool, record Record) {
	if !proven {
		return
	}
	c.config.Logger.Error("call ran after its key was released", "organisation", record.Organisation,
		"service", record.Service, "key", record.Key, "resolved_by", record.ResolvedBy)
}

// retryUntil calls f with backoff until it succeeds, it returns ErrConflict or
// ctx ends.
func (c *Claims) retryUntil(ctx context.Context, f func() error) error {
	delay := minRetryDelay
	for {
		err := f()
		if err == nil || errors.Is(err, zinniamast.ErrConflict) {
			return err
		}
		if wait(ctx, delay) != nil {
			return err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// isSettled reports whether the call of the record can no longer run.
func (c *Claims) isSettled(record *Record) bool {
	return time.Now().After(record.Deadline.Add(c.config.SettleDelay))
}
