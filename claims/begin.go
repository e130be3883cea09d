package claims

import (
	"context"
	"errors"
	"time"

	"zinniamast"
)

// BeginResult is the result of Begin: either the acquired claim or the record
// of another request's claim.
type BeginResult struct {
	// Claim is set if the caller's request now holds the key and may be sent.
	Claim *Claim
	// Record is the claim of another request if Claim is nil.
	Record Record
	// Revision is the table revision of Record; zero if the record comes from
	// this node's memory.
	Revision uint64
}

// Delays between attempts while the table fails, and the retry times returned
// with refusals.
const (
	minRetryDelay        = 20 * time.Millisecond
	maxRetryDelay        = 400 * time.Millisecond
	storeRetryAfter      = 5 * time.Second
	inProgressRetryAfter = time.Second
)

// Begin acquires a claim on the key of a call, or returns the record of another
// request's claim on it. Its errors are of type *zinniamast.Refusal.
func (c *Claims) Begin(ctx context.Context, call Call) (BeginResult, error) {
	for {
		claim, isNew, err := c.register(call)
		if err != nil {
			return BeginResult{}, err
		}
		if isNew {
			result, err := c.acquire(ctx, claim)
			c.loadAnswer(ctx, &result.Record)
			return result, err
		}
		record, err := claim.awaitOutcome(ctx, call.FirstSending)
		if err != nil {
			return BeginResult{}, err
		}
		if record.State != StateFree {
			c.loadAnswer(ctx, &record)
			return BeginResult{
				Record: record,
			}, nil
		}
	}
}

// register adds a claim to the claims in memory, or returns the existing one
// for the same key. It reports whether the claim is new.
func (c *Claims) register(call Call) (*Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := call.name()
	if existing, ok := c.local[name]; ok {
		if existing.hash != call.Hash() {
			c.metrics.begun.WithLabelValues(begunConflict).Inc()
			return nil, false, Conflict(call.Key)
		}
		return existing, false, nil
	}
	if len(c.local) >= c.config.MaxUnsaved {
		return nil, false, unavailable(call.FirstSending)
	}
	claim := newClaim(c, call)
	c.local[name] = claim
	return claim, true, nil
}

// Conflict returns the refusal of a request whose key was used with another
// method, path or body. The refused request did not run.
func Conflict(key string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonKeyConflict,
		"the idempotency key %q was used with another method, path or body", key)
}

// unavailable returns the refusal of a request because the table is not
// available. Nothing was sent for this request. If neverRan is false, an earlier
// request under the key may have run through another node, which only the table
// could show.
func unavailable(neverRan bool) *zinniamast.Refusal {
	if neverRan {
		return zinniamast.Refuse(zinniamast.ReasonStoreUnavailable,
			"the platform's table does not answer; nothing was run").WithRetryAfter(storeRetryAfter)
	}
	return zinniamast.Refuse(zinniamast.ReasonStoreUnavailable,
		"the platform's table does not answer; nothing was run for this request, but an earlier one "+
			"under the same key may have: send the same key again later").
		WithRan(zinniamast.Unknown).WithRetryAfter(storeRetryAfter)
}

// acquisition is the state of an attempt to write a claim to the table.
type acquisition struct {
	claims *Claims
	claim  *Claim
	// free is the record that the claim replaces, at revision expect.
	free   Record
	expect uint64
	// writeUncertain means that a write was sent and may or may not take effect.
	writeUncertain bool
	// throttled means that the last write was refused by the table's rate limit.
	throttled bool
}

// acquire writes the claim to the table. If it returns without the claim, no
// write of the claim can take effect later without being noticed.
func (c *Claims) acquire(ctx context.Context, claim *Claim) (BeginResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.AcquireTimeout)
	defer cancel()
	a := &acquisition{
		claims: c,
		claim:  claim,
		free: Record{
			State: StateFree,
		},
	}
	delay := minRetryDelay
	for {
		result, done, err := a.try(ctx)
		if done || err != nil {
			return result, err
		}
		if err := wait(ctx, delay); err != nil {
			return BeginResult{}, a.giveUp()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// try sends the write once. If the response does not show whether the write
// took effect, it reads the table. The bool reports whether the attempt is over.
func (a *acquisition) try(ctx context.Context) (BeginResult, bool, error) {
	record := a.claim.record
	err := a.claims.write(ctx, recordWrites(&a.free, &record, a.expect, a.claims.config.Retention))
	if err == nil {
		return a.owned(record, a.expect+1, begunOwned), true, nil
	}
	a.throttled = errors.Is(err, zinniamast.ErrThrottled)
	if a.throttled {
		return BeginResult{}, false, nil
	}
	if errors.Is(err, zinniamast.ErrUnavailable) {
		// The table is known to be unavailable, so the request is refused at once.
		return BeginResult{}, false, a.giveUp()
	}
	if !errors.Is(err, zinniamast.ErrConflict) {
		a.writeUncertain = true
	}
	return a.readHolder(ctx)
}

// readHolder reads from the table which claim holds the key.
func (a *acquisition) readHolder(ctx context.Context) (BeginResult, bool, error) {
	record, revision, err := a.claims.get(ctx, a.claim.name)
	if errors.Is(err, zinniamast.ErrUnavailable) {
		return BeginResult{}, false, a.giveUp()
	}
	if err != nil {
		return BeginResult{}, false, nil
	}
	switch {
	case record.Nonce == a.claim.record.Nonce && record.State == StateHeld:
		// The write took effect and its response was lost: the record has this
		// claim's nonce. Without this check the call would wait for its own
		// claim to end.
		return a.owned(record, revision, begunRecognised), true, nil
	case record.State == StateFree:
		a.free = record
		a.expect = revision
		return BeginResult{}, false, nil
	default:
		a.claims.removeLocal(a.claim)
		a.claim.discard()
		return a.takenByOther(record, revision)
	}
}

// takenByOther returns another request's claim on the key. Its revision is above
// the one that this claim's write expects, so that write can no longer take effect.
func (a *acquisition) takenByOther(record Record, revision uint64) (BeginResult, bool, error) {
	if record.BodyHash != a.claim.record.BodyHash {
		a.claims.metrics.begun.WithLabelValues(begunConflict).Inc()
		return BeginResult{}, true, Conflict(record.Key)
	}
	a.claims.metrics.begun.WithLabelValues(begunTaken).Inc()
	return BeginResult{
		Record:   record,
		Revision: revision,
	}, true, nil
}

// owned marks the claim as held and returns it.
func (a *acquisition) owned(record Record, revision uint64, result string) BeginResult {
	a.claims.metrics.begun.WithLabelValues(result).Inc()
	a.claim.markHeld(record, revision)
	return BeginResult{
		Claim: a.claim,
	}
}

// giveUp ends the acquisition without the claim. If a write may still take
// effect, a free record at a higher revision invalidates it before the claim is
// removed from memory.
func (a *acquisition) giveUp() *zinniamast.Refusal {
	a.claims.metrics.begun.WithLabelValues(begunUnavailable).Inc()
	refusal := unavailable(a.claim.firstSending || a.hasNotRun())
	if !a.writeUncertain {
		a.claims.removeLocal(a.claim)
		a.claim.discard()
		return refusal
	}
	a.claim.abandon(a.free, a.expect)
	return refusal
}

// hasNotRun reads the table again, if only its writes are throttled, and reports
// whether no call has run under the key. An earlier read is not sufficient:
// another request under the key may have run through another node since.
func (a *acquisition) hasNotRun() bool {
	if !a.throttled {
		return false
	}
	record, _, err := a.claims.get(a.claims.closing, a.claim.name)
	return err == nil && (record.State == StateFree || record.Nonce == a.claim.record.Nonce)
}

// write sends one table write, limited by CallTimeout.
func (c *Claims) write(ctx context.Context, all []zinniamast.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	return c.config.Table.Write(ctx, all)
}

// get reads a record and its revision; a record that does not exist is returned
// as free at revision zero.
func (c *Claims) get(ctx context.Context, name string) (Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	item, err := c.config.Table.Get(ctx, claimKey(name))
	if errors.Is(err, zinniamast.ErrNotFound) {
		return Record{
			State: StateFree,
		}, 0, nil
	}
	if err != nil {
		return Record{}, 0, err
	}
	record, err := decode(item)
	return record, item.Revision, err
}
