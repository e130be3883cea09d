package claims

import (
	"context"
	"errors"
	"time"

	"zinniamast"
)

// BeginResult is what a key stands at.
type BeginResult struct {
	// Claim is set if the caller's request now holds the key and may be sent.
	Claim *Claim
	// Record is the claim of another request otherwise.
	Record Record
	// Revision is the record's in the table; zero if it was read from this node's memory.
	Revision uint64
}

// Times between tries while the table does not do what is asked.
const (
	minRetryDelay        = 20 * time.Millisecond
	maxRetryDelay        = 400 * time.Millisecond
	storeRetryAfter      = 5 * time.Second
	inProgressRetryAfter = time.Second
)

// Begin takes the key for a call, or tells what it stands at. Its errors are *Refusal.
func (c *Claims) Begin(ctx context.Context, call Call) (BeginResult, error) {
	for {
		claim, mine, err := c.register(call)
		if err != nil {
			return BeginResult{}, err
		}
		if mine {
			standing, err := c.acquire(ctx, claim)
			c.loadAnswer(ctx, &standing.Record)
			return standing, err
		}
		record, err := claim.awaitOutcome(ctx, call.First)
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

// register puts a claim into the node's own table, or returns the one that is there.
func (c *Claims) register(call Call) (*Claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := call.name()
	if known, ok := c.local[name]; ok {
		if known.hash != call.Hash() {
			c.metrics.begun.WithLabelValues(begunConflict).Inc()
			return nil, false, Conflict(call.Key)
		}
		return known, false, nil
	}
	if len(c.local) >= c.config.MaxUnsaved {
		return nil, false, unavailable(call.First)
	}
	claim := newClaim(c, call)
	c.local[name] = claim
	return claim, true, nil
}

// Conflict refuses a key that came with another body. That body did not run.
func Conflict(key string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonKeyConflict,
		"the idempotency key %q was used with another method, path or body", key)
}

// unavailable refuses for want of the table. Nothing was sent for this request;
// but if the key may have been sent before, through another node, only the
// table could tell what became of that.
func unavailable(fresh bool) *zinniamast.Refusal {
	if fresh {
		return zinniamast.Refuse(zinniamast.ReasonStoreUnavailable,
			"the platform's table does not answer; nothing was run").After(storeRetryAfter)
	}
	return zinniamast.Refuse(zinniamast.ReasonStoreUnavailable,
		"the platform's table does not answer; nothing was run for this request, but an earlier one "+
			"under the same key may have: send the same key again later").
		With(zinniamast.Unknown).After(storeRetryAfter)
}

// acquisition is one try to write a claim.
type acquisition struct {
	claims *Claims
	claim  *Claim
	// free is the record that the claim is to follow, at revision expect.
	free   Record
	expect uint64
	// writeUncertain means that a write was sent whose effect is not known.
	writeUncertain bool
	// throttled means that the table answered last, and refused for its rate.
	throttled bool
}

// acquire writes the claim. Where that ends without the claim, no write of it
// is left that could take effect later unseen.
func (c *Claims) acquire(ctx context.Context, claim *Claim) (BeginResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Patience)
	defer cancel()
	a := &acquisition{
		claims: c,
		claim:  claim,
		free: Record{
			State: StateFree,
		},
	}
	pause := minRetryDelay
	for {
		standing, done, err := a.try(ctx)
		if done || err != nil {
			return standing, err
		}
		if err := wait(ctx, pause); err != nil {
			return BeginResult{}, a.giveUp()
		}
		pause = min(2*pause, maxRetryDelay)
	}
}

// try sends the write once, and reads the table where its answer leaves the effect open.
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
		// The table is known to be out: the caller hears so at once.
		return BeginResult{}, false, a.giveUp()
	}
	if !errors.Is(err, zinniamast.ErrConflict) {
		a.writeUncertain = true
	}
	return a.readHolder(ctx)
}

// readHolder finds out who holds the key.
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
		// The write took effect and its answer was lost: the claim knows itself
		// by its nonce. Without this the call would wait for itself for ever.
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

// takenByOther returns another request's claim on the key. Its revision is above what
// our write expects, so that write cannot take effect any more.
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

// owned makes the claim ready for use.
func (a *acquisition) owned(record Record, revision uint64, result string) BeginResult {
	a.claims.metrics.begun.WithLabelValues(result).Inc()
	a.claim.markHeld(record, revision)
	return BeginResult{
		Claim: a.claim,
	}
}

// giveUp ends without the claim. A write that may still take effect is barred
// by a free record at a higher revision before the node forgets the key.
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

// hasNotRun asks a table that is only short of writes whether nothing runs
// under the key. What it showed earlier would not do: another request under
// the key may have run through another node since.
func (a *acquisition) hasNotRun() bool {
	if !a.throttled {
		return false
	}
	record, _, err := a.claims.get(a.claims.closing, a.claim.name)
	return err == nil && (record.State == StateFree || record.Nonce == a.claim.record.Nonce)
}

// write sends one table write with its own timeout.
func (c *Claims) write(ctx context.Context, all []zinniamast.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	return c.config.Table.Write(ctx, all)
}

// get reads a record; one that does not exist reads as free at revision zero.
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
