package claims

import (
	"context"
	"sync"
	"time"

	"zinniamast"
)

// Claim is a key held by this node for one request.
type Claim struct {
	claims *Claims
	name   string
	// hash binds the key to what it was first sent with; it does not change.
	hash         string
	firstSending bool
	// ended is closed when the outcome is known here or the claim was not got.
	ended chan struct{}
	// saved is closed when the table or nobody needs this node's memory of it any more.
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
		firstSending: call.First,
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

// markHeld records that the table confirmed the claim.
func (l *Claim) markHeld(record Record, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = record
	l.revision = revision
	l.held = true
}

// MayDispatch says whether the call may be sent now. A holder that was paused
// past its deadline must not send: its caller has been told that the outcome
// is unknown, and an operator may have decided it since.
func (l *Claim) MayDispatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && !l.finished && time.Now().Before(l.record.Deadline)
}

// Answer ends the claim with the whole answer.
func (l *Claim) Answer(answer zinniamast.ServiceAnswer) { l.end(EventAnswer, &answer) }

// Run ends the claim of a call that ran and whose answer is not known.
func (l *Claim) Run() { l.end(EventRun, nil) }

// Lose ends the claim of a call that was sent and whose outcome is not known.
func (l *Claim) Lose() { l.end(EventLose, nil) }

// Release ends the claim of a call that did not run and will not, and returns
// what may be said of the key.
//
// Failure: a holder was paused so long that an operator freed the key, and
// another request has run under it since. Its own call did not run, but a
// caller who hears "not run" and takes a new key would book twice. Nobody can
// free the key before the claim has settled, so until then it is true.
func (l *Claim) Release() zinniamast.Ran {
	l.end(EventRelease, nil)
	if l.claims.isSettled(&l.record) {
		return zinniamast.Unknown
	}
	return zinniamast.NotRun
}

// end moves the claim and saves its outcome. The caller need not wait for the
// table: until it has the outcome, this node's memory answers for the key, and
// should the node die first, the key reads as unknown, which is true.
func (l *Claim) end(event Event, answer *zinniamast.ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.finished {
		return
	}
	l.finish(l.record, event, answer)
}

// endUnclaimed ends a claim that never stood in the table.
func (l *Claim) endUnclaimed(event Event, answer *zinniamast.ServiceAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finish(Record{
		State: StateFree,
	}, event, answer)
}

// finish sets the outcome and starts to save it; the caller holds the lock.
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
		// Until the store has it, this node's memory answers for the key.
		l.record.Answer = answer
		large = l.claims.startUpload(l, answer)
	}
	l.claims.metrics.ended.WithLabelValues(string(state)).Inc()
	if state == StateUnknown {
		l.claims.config.Logger.Warn("outcome unknown", "organisation", l.record.Organisation,
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

// discard gives up a claim of which no trace can come into the table.
func (l *Claim) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = true
	l.record.State = StateFree
	close(l.ended)
	close(l.saved)
}

// abandon gives up a claim whose write may still take effect.
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
func (l *Claim) awaitOutcome(ctx context.Context, first bool) (Record, error) {
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
	case <-time.After(l.claims.config.Patience):
	case <-ctx.Done():
	}
	// The release may have taken effect although its answer was lost, and
	// another node may have run the key since: this node cannot vouch for it.
	return Record{}, unavailable(first)
}

// InProgress refuses a request whose key another request holds.
func InProgress() *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonInProgress,
		"a request under the same key is running; ask again with the same key").
		With(zinniamast.Unknown).After(inProgressRetryAfter)
}
