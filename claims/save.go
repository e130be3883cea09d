package claims

import (
	"context"
	"errors"
	"time"

	"zinniamast"
)

// pendingOutcome is an outcome on its way into the table.
type pendingOutcome struct {
	before Record
	after  Record
	expect uint64
	event  Event
	// upload is set if the answer goes to the object store.
	upload *upload
}

// save writes an outcome in the background until the table has it. After
// Close nothing is started, and the claim counts as unsaved.
func (c *Claims) save(claim *Claim, s *pendingOutcome) {
	c.metrics.unsaved.Inc()
	c.unsaved.Add(1)
	started := c.writers.start(func() {
		saved := c.saveUntilDone(claim.name, s)
		c.metrics.unsaved.Dec()
		c.unsaved.Add(-1)
		if !saved {
			return
		}
		if s.upload != nil {
			c.linkObject(claim.name, s)
		}
		c.removeLocal(claim)
		close(claim.saved)
	})
	if !started {
		c.unsaved.Add(-1)
	}
}

// Keep records in the background the outcome of a call that needed no claim,
// because this process alone could dispatch its key. While too many outcomes
// wait already it is dropped, and the key reads as unknown once this process has gone.
func (c *Claims) Keep(call Call, event Event, answer *zinniamast.ServiceAnswer) {
	claim, mine, err := c.register(call)
	if err != nil || !mine {
		c.config.Logger.Warn("outcome not kept", "organisation", call.Organisation,
			"service", call.Service, "key", call.Key)
		return
	}
	claim.endUnclaimed(event, answer)
}

// Read returns what the table says of a key.
func (c *Claims) Read(ctx context.Context, call Call) (Record, error) {
	record, _, err := c.get(ctx, call.name())
	if err == nil {
		c.loadAnswer(ctx, &record)
	}
	return record, err
}

// saveUntilDone reports false if the node stops first.
func (c *Claims) saveUntilDone(name string, s *pendingOutcome) bool {
	pause := minRetryDelay
	for {
		if c.saveOnce(name, s) {
			return true
		}
		if wait(c.closing, pause) != nil {
			return false
		}
		pause = min(2*pause, storeRetryAfter)
	}
}

// saveOnce reports whether the table has the outcome, or a better one.
func (c *Claims) saveOnce(name string, s *pendingOutcome) bool {
	select {
	case c.writeSlots <- struct{}{}:
	case <-c.closing.Done():
		return false
	}
	defer func() { <-c.writeSlots }()
	err := c.write(c.closing, recordWrites(&s.before, &s.after, s.expect, c.config.Retention))
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
	return c.reconcile(s, record, revision)
}

// reconcile weighs what the table has against the outcome to be saved: an
// earlier try of the same write whose answer was lost, or a decision that a
// lookup or an operator took meanwhile.
func (c *Claims) reconcile(s *pendingOutcome, record Record, revision uint64) bool {
	proven := s.event == EventRun || s.event == EventAnswer
	mine := record.Nonce == s.after.Nonce
	if mine && record.State == s.after.State {
		return true
	}
	if !mine && record.State != StateFree {
		c.logContradiction(proven, record)
		return true
	}
	if record.State == StateFree {
		if !proven {
			return s.event != EventRelease || record.Nonce != ""
		}
		// Somebody decided that the call did not run, and it did. The key is
		// closed again at once, so that nobody runs it a second time.
		c.logContradiction(true, record)
	} else if _, err := nextState(record.State, s.event); err != nil {
		return true
	}
	s.before = record
	s.expect = revision
	return false
}

// logContradiction logs proof that a key was released although its call ran.
func (c *Claims) logContradiction(proven bool, record Record) {
	if !proven {
		return
	}
	c.config.Logger.Error("call ran after its key was released", "organisation", record.Organisation,
		"service", record.Service, "key", record.Key, "resolved_by", record.ResolvedBy)
}

// retryUntil calls f until it succeeds, conflicts or ctx ends.
func (c *Claims) retryUntil(ctx context.Context, f func() error) error {
	pause := minRetryDelay
	for {
		err := f()
		if err == nil || errors.Is(err, zinniamast.ErrConflict) {
			return err
		}
		if wait(ctx, pause) != nil {
			return err
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// isSettled says whether a call under the record can no longer run.
func (c *Claims) isSettled(record *Record) bool {
	return time.Now().After(record.Deadline.Add(c.config.Settle))
}
