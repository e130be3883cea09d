package attempt

import (
	"context"
	"time"

	"zinniamast/blackboard"
	"zinniamast/move"
)

const (
	// waveWindow delays planning so that all replicas of one reclaim are known as
	// leaving and are not chosen as targets.
	waveWindow = 30 * time.Millisecond
	// defaultNotice is assumed if a notice does not say when the replica leaves.
	defaultNotice = 5 * time.Second
	// leaveMargin is the time before the replica leaves in which nothing is planned.
	leaveMargin = 500 * time.Millisecond
	// maxMoveWait is the maximum wait after a replica failed to take over a stream; it
	// starts at routeRetryInterval and doubles.
	maxMoveWait = 1600 * time.Millisecond
	// defaultBetweenTokens is assumed for a replica whose speed is not known yet.
	defaultBetweenTokens = 48 * time.Millisecond
)

// upstreamLeaving schedules the moves of the streams on a leaving replica.
func (r *Runner) upstreamLeaving(upstream *blackboard.Upstream) {
	time.AfterFunc(waveWindow, func() { r.moveStreams(upstream) })
}

// moveStreams plans and carries out the moves of the streams on one leaving replica.
func (r *Runner) moveStreams(upstream *blackboard.Upstream) {
	flights := r.flightsAt(upstream)
	if len(flights) == 0 {
		return
	}
	at := upstream.LeavesAt()
	if at.IsZero() {
		at = time.Now().Add(defaultNotice)
	}
	timeLeft := time.Until(at) - leaveMargin
	streams := make([]move.Stream, 0, len(flights))
	for _, f := range flights {
		streams = append(streams, r.describeStream(f))
	}
	plan := move.NewPlan(move.Wave{
		TimeLeft:       timeLeft,
		BytesPerSecond: r.config.KVBytesPerSecond,
		BytesPerToken:  move.BytesPerToken,
		TransferSetup:  move.TransferSetup,
		FinishMargin:   move.FinishMargin,
		Streams:        streams,
	})
	for i, way := range plan.Ways {
		r.config.Logger.Info("moving stream off leaving replica",
			"request", flights[i].request.Call.ID,
			"upstream", upstream.Instance.ID,
			"way", way,
			"left", timeLeft)
		switch way {
		case move.Finish:
			go r.finishOrResume(flights[i], at)
		case move.Resume:
			go r.resumeElsewhere(flights[i])
		}
	}
	r.transferAll(flights, plan.Transfers, at)
}

// finishOrResume lets a stream finish on its replica. The predicted end may be
// wrong, so a stream that still runs leaveMargin before the replica leaves is
// resumed elsewhere.
func (r *Runner) finishOrResume(f *flight, at time.Time) {
	select {
	case <-f.request.Done():
	case <-time.After(time.Until(at) - leaveMargin):
		r.resumeElsewhere(f)
	}
}

// resumeElsewhere moves a stream to another replica as soon as one takes it over.
//
// It never ends a stream that no other replica has taken over: the replica may
// leave later than announced, or be readmitted.
func (r *Runner) resumeElsewhere(f *flight) {
	wait := routeRetryInterval
	for f.upstream.Leaving() && r.isRunning(f) {
		if r.findTarget(f) != nil {
			if r.moveTo(f, &moveOrder{}) {
				return
			}
			wait = nextMoveWait(wait)
		}
		select {
		case <-f.request.Done():
			return
		case <-time.After(wait):
		}
	}
}

// nextMoveWait returns the wait that follows the given one.
func nextMoveWait(wait time.Duration) time.Duration {
	return min(max(2*wait, routeRetryInterval), maxMoveWait)
}

// moveTo starts a successor that carries out a move, unless the attempt has a successor,
// and reports whether it took over.
func (r *Runner) moveTo(f *flight, order *moveOrder) bool {
	f.mu.Lock()
	mayStart := f.mayHaveNext()
	if mayStart {
		f.starting = true
	}
	f.mu.Unlock()
	return mayStart && r.succeed(f, order)
}

// availableTarget returns the target of a move if it has one that accepts the request, or
// nil.
func (r *Runner) availableTarget(p *progress, order *moveOrder) *blackboard.Upstream {
	routeRequest := r.routeRequest(p, false)
	routeRequest.Avoid = nil // The target was chosen for the move.
	upstream := r.config.Board.Upstreams.Get(order.target)
	if upstream == nil || !upstream.Accepts(routeRequest) {
		return nil
	}
	return upstream
}

// isRunning reports whether an attempt is still in flight.
func (r *Runner) isRunning(f *flight) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[f.attempt] == f
}

// findTarget returns another replica that can accept a stream, or nil if there is none.
func (r *Runner) findTarget(f *flight) *blackboard.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current {
		return nil
	}
	upstream, _, err := r.routeNext(f, false)
	if err != nil {
		return nil
	}
	return upstream
}

// transferAll moves KV caches one after the other in the planned order, because
// parallel transfers would share the link and all arrive late. A stream whose
// transfer can no longer complete in time resumes from its tokens.
func (r *Runner) transferAll(flights []*flight, order []int, at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at.Add(-leaveMargin))
	defer cancel()
	for _, i := range order {
		f := flights[i]
		if ctx.Err() != nil {
			go r.resumeElsewhere(f)
			continue
		}
		select {
		case <-f.request.Done():
		default:
			r.transfer(ctx, f)
		}
	}
}

// describeStream returns the planner's view of an attempt.
func (r *Runner) describeStream(f *flight) move.Stream {
	produced, _, _ := f.request.Progress()
	betweenTokens := f.betweenTokens
	if betweenTokens == 0 {
		betweenTokens = defaultBetweenTokens
	}
	return move.Stream{
		Tokens:        f.request.Call.PromptTokens + produced,
		Remaining:     max(0, f.request.Call.MaxTokens-produced),
		BetweenTokens: betweenTokens,
	}
}

func (r *Runner) flightsAt(upstream *blackboard.Upstream) []*flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	var flights []*flight
	for _, f := range r.running {
		if f.upstream == upstream {
			flights = append(flights, f)
		}
	}
	return flights
}

// transfer moves the KV cache while the stream continues on its old replica. If
// the cache cannot be moved, the stream resumes elsewhere from its tokens.
func (r *Runner) transfer(ctx context.Context, f *flight) {
	target := r.findTarget(f)
	if target == nil {
		go r.resumeElsewhere(f)
		return
	}
	handle, err := f.upstream.Engine.ExportKV(ctx, f.attempt)
	if err == nil {
		err = target.Engine.ImportKV(ctx, handle)
	}
	if err != nil {
		r.config.Logger.Info("KV cache transfer failed; resuming stream elsewhere",
			"request", f.request.Call.ID,
			"upstream", f.upstream.Instance.ID,
			"target", target.Instance.ID,
			"cause", err)
		go r.resumeElsewhere(f)
		return
	}
	go func() {
		taken := r.moveTo(f, &moveOrder{
			target: target.Instance.ID,
			handle: handle,
		})
		if !taken {
			r.resumeElsewhere(f)
		}
	}()
}
