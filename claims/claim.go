package claims

import (
	"context"
	"sync"
	"time"

	"zinniamast"
)

// Claim is an idempotency key that this node holds, or tries to acquire, for one request.
type Claim struct {
	claims *Claims
	name   string
	// hash identifies the method, path and body that the key is bound to; it
	// does not change.
	hash         string
	firstSending bool
	// ended is closed when this node knows the outcome or failed to acquire the claim.
	ended chan struct{}
	// saved is closed when the outcome is stored in the table, or when there is
	// none to store; the copy in this node's memory is not needed after that.
	saved chan struct{}

	mu       sync.Mutex
	record   Record
	revision uint64
	held     bool
	finished bool
}

func newClaim(c *Claims, call Call) *Claim {
	return &Claim{
		claims:       c,
		name:         call.name(),
		hash:         call.Hash(),
		firstSending: call.FirstSending,
		ended:        make(chan struct{}),
		saved:        make(chan struct{}),
		record: Record{
			Organisation: call.Organisation,
			Service:      call.Service,
			Key:          call.Key,
			Method:       call.Method,
			Path:         call.Path,
			BodyHash:     call.Hash(),
			State:        StateHeld,
			Node:         c.config.Node,
			Nonce:        newNonce(),
			Claimed:      time.Now(),
			Deadline:     call.Deadline,
		},
	}
}

// markHeld stores the record and revision that the table confirmed.
func (l *Claim) markHeld(record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = record
	l.revision = revision
	l.held = true
}

// MayDispatch reports whether the call may be sent now. A holder that was
// paused past its deadline must not send: its caller has already received an
// unknown outcome, and an operator may have resolved it since.
func (l *Claim) MayDispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && !l.finished && time.Now().Before(l.record.Deadline)
}

// Answer ends the claim with the complete answer of the call.
func (l *Claim) Answer(answer zinniamast.ServiceAnswer) { l.end(EventAnswer, &answer) }

// EndAsRan ends the claim of a call that ran and whose answer is not known.
func (l *Claim) EndAsRan() { l.end(EventRun, nil) }

// EndAsUnknown ends the claim of a call that was sent and whose outcome is not known.
func (l *Claim) EndAsUnknown() { l.end(EventLose, nil) }

// Release ends the claim of a call that did not run and will not run, and
// returns the run state to report to the caller.
//
// While a holder is paused, an operator can free the key and another request
// can run under it. The holder's own call did not run, but a caller that
// receives "not run" and retries with a new key would book twice. The key
// cannot be freed before the claim has settled, so "not run" is correct until
// then; afterwards Release returns Unknown.
func (l *Claim) Release() zinniamast.Ran {
	l.end(EventRelease, nil)
	if l.claims.isSettled(&l.record) {
		return zinniamast.Unknown
	}
	return zinniamast.NotRun
}

// end applies the event to the claim and saves its outcome in the background.
// The caller need not wait for the table: until the outcome is stored, requests
// for the key on this node are answered from memory. If the node dies first,
// the key reads as unknown, which is correct.
func (l *Claim) end(event Event, answer *zinniamast.ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.finished {
		return
	}
	l.finish(l.record, event, answer)
}

// endUnclaimed ends a claim that was never written to the table.
func (l *Claim) endUnclaimed(event Event, answer *zinniamast.ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finish(Record{
		State: StateFree,
	}, event, answer)
}

// finish sets the outcome and starts saving it; the caller must hold l.mu.
func (l *Claim) finish(before Record, event Event, answer *zinniamast.ServiceAnswer) {
	state, err := nextState(l.record.State, event)
	if err != nil {
		return
	}
	l.finished = true
	l.record.State = state
	after := l.record
	var large *upload
	if answer != nil && len(answer.Body) <= l.claims.config.MaxAnswer {
		after.Answer = answer
		l.record.Answer = answer
	} else if answer != nil && l.claims.objects.admit(answer) {
		// Until the object is stored, this node answers from memory.
		l.record.Answer = answer
		large = l.claims.startUpload(l, answer)
	}
	l.claims.metrics.ended.WithLabelValues(string(state)).Inc()
	if state == StateUnknown {
		l.claims.config.Logger.Warn("claim ended with unknown outcome", "organisation", l.record.Organisation,
			"service", l.record.Service, "key", l.record.Key, "reason", zinniamast.ReasonOutcomeUnknown)
	}
	close(l.ended)
	l.claims.save(l, &pendingOutcome{
		before: before,
		after:  after,
		expect: l.revision,
		event:  event,
		upload: large,
	})
}

// discard gives up a claim of which no write can take effect in the table.
func (l *Claim) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	l.record.State = StateFree
	close(l.ended)
	close(l.saved)
}

// abandon gives up a claim whose write may still take effect, and writes a free
// record in the background that invalidates that write.
func (l *Claim) abandon(free Record, expect uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	l.record.State = StateFree
	close(l.ended)
	l.claims.save(l, &pendingOutcome{
		before: free,
		after:  l.record,
		expect: expect,
		event:  EventRelease,
	})
}

// awaitOutcome waits for the outcome of another request's claim on this node.
func (l *Claim) awaitOutcome(ctx context.Context, firstSending bool) (Record, error) {
	select {
	case <-l.ended:
	case <-ctx.Done():
		return Record{}, InProgress()
	}
	l.mu.Lock()
	record := l.record
	l.mu.Unlock()
	if record.State != StateFree {
		return record, nil
	}
	select {
	case <-l.saved:
		return record, nil
	case <-time.After(l.claims.config.AcquireTimeout):
	case <-ctx.Done():
	}
	// The release may have taken effect although the table's response was lost,
	// and another node may have run a call under the key since, so this node
	// cannot confirm that the key is free.
	return Record{}, unavailable(firstSending)
}

// InProgress returns the refusal of a request whose key another request holds.
func InProgress() *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonInProgress,
		"a request under the same key is running; ask again with the same key").
		WithRan(zinniamast.Unknown).WithRetryAfter(inProgressRetryAfter)
}
