package attempt

import (
	"errors"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/silence"
)

// A request stays with its current attempt until another one, its successor, has begun
// to answer. Until then the successor may still be refused, fail or be silent, and the
// current attempt may be the only one that completes the answer.

// errWithdrawn is the cancellation cause of a successor that is no longer needed.
var errWithdrawn = errors.New("the attempt before it continued")

// mayLeave is called while the replica of the current attempt is silent. It starts a
// successor, which ends the attempt when it has begun, and reports whether the
// attempt may end without one because the request has ended.
func (r *Runner) mayLeave(f *flight) bool {
	select {
	case <-f.request.Done():
		return true
	default:
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayHaveNext() {
		return false
	}
	var order *moveOrder
	if f.upstream.Leaving() {
		order = &moveOrder{}
	} else if !r.mayRetryElsewhere(f) {
		return false
	}
	f.starting = true
	go r.succeed(f, order)
	return false
}

// mayHaveNext reports whether a successor of the attempt may start. The caller holds
// f.mu.
func (f *flight) mayHaveNext() bool {
	return f.current && !f.starting && (f.next == nil || f.next.isSilent())
}

// isSilent reports whether a successor has been silent for so long that another one may
// replace it.
func (f *flight) isSilent() bool {
	select {
	case <-f.opened:
		return false
	default:
		return time.Since(f.started) > f.firstTokenLimit
	}
}

// succeed starts a successor of the current attempt, which carries out the given move if
// there is one, and reports whether it took over. The caller has set f.starting.
func (r *Runner) succeed(f *flight, order *moveOrder) bool {
	alone, err := r.check(&f.request.Call)
	if err != nil {
		// The request is held back and gets no further attempt, so starting stays set.
		return false
	}
	f.mu.Lock()
	f.starting = false
	next, call := r.startNext(f, order, alone)
	f.mu.Unlock()
	if next == nil {
		return false
	}
	r.open(next, call)
	return r.takeOver(f, next)
}

// startNext starts a successor, which replaces a silent one. It returns nil if there is
// no replica for it. The caller holds f.mu.
func (r *Runner) startNext(f *flight, order *moveOrder, alone bool) (*flight, zinniamast.GenerateCall) {
	if !f.mayHaveNext() {
		return nil, zinniamast.GenerateCall{}
	}
	var upstream *blackboard.Upstream
	var choice zinniamast.Choice
	if order != nil && !alone {
		upstream = r.availableTarget(f.progress, order)
	}
	if upstream == nil {
		var err error
		if upstream, choice, err = r.routeNext(f, alone); err != nil {
			return nil, zinniamast.GenerateCall{}
		}
		if order != nil {
			// No other replica than the order's target has the KV cache.
			order = &moveOrder{}
		}
	}
	if f.next != nil {
		r.dropSilentNext(f)
	}
	f.next = r.newFlight(f.progress, upstream, choice, order)
	if order == nil {
		f.progress.retryCharged = false
	}
	r.config.Logger.Info("request sent to another replica beside its current one",
		"request", f.request.Call.ID,
		"upstream", f.upstream.Instance.ID,
		"leaving", f.upstream.Leaving(),
		"next", upstream.Instance.ID)
	return f.next, r.start(f.next)
}

// routeNext chooses a replica for a successor. The caller holds f.mu.
func (r *Runner) routeNext(f *flight, alone bool) (*blackboard.Upstream, zinniamast.Choice, error) {
	routeRequest := r.routeRequest(f.progress, alone)
	routeRequest.Avoid = append(slices.Clone(routeRequest.Avoid), f.upstream.Instance.ID)
	if f.next != nil {
		routeRequest.Avoid = append(routeRequest.Avoid, f.next.upstream.Instance.ID)
	}
	upstream, choice, err := r.chooseUpstream(routeRequest)
	if err != nil {
		// A replica that failed once may be the only one that remains.
		f.progress.avoid = nil
	}
	return upstream, choice, err
}

// takeOver ends the current attempt if its successor has begun to answer, and settles
// the successor if it has failed. It reports whether the successor took over.
func (r *Runner) takeOver(f, next *flight) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next != next {
		return false
	}
	if !next.hasBegun() {
		r.dropNext(f, next.openError)
		return false
	}
	f.current = false
	if next.order != nil {
		f.cancel(next.order)
	} else {
		f.cancel(silence.ErrSilent)
	}
	return true
}

// dropSilentNext settles a successor that has been silent for too long. The caller holds
// f.mu.
func (r *Runner) dropSilentNext(f *flight) {
	r.dropNext(f, &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureTimeout,
		Upstream: f.next.upstream.Instance.ID,
		Cause:    silence.ErrSilent,
	})
}

// dropNext settles a successor that has failed. The caller holds f.mu.
func (r *Runner) dropNext(f *flight, err error) {
	next, p := f.next, f.progress
	if next.ctx.Err() != nil {
		r.withdrawNext(f)
		return
	}
	f.next = nil
	failure := asFailure(next, err)
	if failure.Failure == zinniamast.FailureTimeout {
		next.cancel(silence.ErrSilent)
	}
	<-next.opened
	if next.hasBegun() {
		err = errWithdrawn
	}
	r.end(next, err)
	p.recordRan(failure.Outcome().Ran)
	p.avoid = append(p.avoid, next.upstream.Instance.ID)
	if next.order == nil {
		p.retries++
	}
	r.recordFailure(p, next, failure)
	f.appendHeld()
}

// withdrawNext ends a successor that is no longer needed. The caller holds f.mu.
func (r *Runner) withdrawNext(f *flight) {
	next := f.next
	f.next = nil
	if next.order == nil {
		f.progress.retries++
	}
	r.withdraw(next)
	f.appendHeld()
}

// hold keeps the current chunk out of the answer while a successor that moves the
// request resumes from the tokens before it. The caller holds f.mu.
func (f *flight) hold() {
	f.held = append(f.held, zinniamast.Chunk{
		Index: f.chunk.Index,
		IDs:   slices.Clone(f.chunk.IDs),
		Text:  slices.Clone(f.chunk.Text),
	})
}

// appendHeld adds the held chunks to the answer. If the request has ended, it rejects
// them and all chunks after them. The caller holds f.mu.
func (f *flight) appendHeld() {
	for i := range f.held {
		f.append(&f.held[i])
	}
	f.held = nil
}

// withdraw ends an attempt that has not become the current one. It blames nobody.
func (r *Runner) withdraw(f *flight) {
	f.cancel(errWithdrawn)
	<-f.opened
	r.end(f, errWithdrawn)
}

// resign ends the part of an attempt as the current one and returns the attempt that
// takes over, if there is one.
func (f *flight) resign() *flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = false
	next := f.next
	f.next = nil
	return next
}
