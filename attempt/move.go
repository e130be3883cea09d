package attempt

import (
	"context"
	"slices"
	"time"

	"zinniamast/blackboard"
	"zinniamast/move"
)

const (
	// waveWindow gathers the replicas of one wave before moves are planned.
	waveWindow = 30 * time.Millisecond
	// unknownLeave is the time assumed where a notice names no moment.
	unknownLeave = 5 * time.Second
	// leaveMargin is kept free at the end of a notice.
	leaveMargin = 500 * time.Millisecond
	// defaultGap stands in for a replica whose speed is not known yet.
	defaultGap = 48 * time.Millisecond
)

// upstreamLeaves starts moving what runs on a leaving replica.
func (r *Runner) upstreamLeaves(upstream *blackboard.Upstream) {
	time.AfterFunc(waveWindow, func() { r.moveAway(upstream) })
}

// moveAway plans and carries out the moves of one leaving replica.
func (r *Runner) moveAway(upstream *blackboard.Upstream) {
	flights := r.flightsAt(upstream)
	if len(flights) == 0 {
		return
	}
	at := upstream.LeavesAt()
	if at.IsZero() {
		at = time.Now().Add(unknownLeave)
	}
	left := time.Until(at) - leaveMargin
	streams := make([]move.Stream, 0, len(flights))
	for _, f := range flights {
		streams = append(streams, r.describe(f))
	}
	plan := move.NewPlan(move.Wave{
		Left:           left,
		BytesASecond:   r.config.KVBytesASecond,
		BytesPerToken:  move.BytesPerToken,
		TransferSetup:  move.TransferSetup,
		FinishMarginOf: move.FinishMargin,
		Streams:        streams,
	})
	for i, way := range plan.Ways {
		r.config.Logger.Info("stream leaves replica",
			"request", flights[i].request.Call.ID,
			"upstream", upstream.Instance.ID,
			"way", way,
			"left", left)
		switch way {
		case move.Finish:
			go finishOrResume(flights[i], at)
		case move.Resume:
			go r.resumeElsewhere(flights[i], at)
		}
	}
	r.transferAll(flights, plan.Transfers, at)
}

// finishOrResume lets a stream end where it is. Its prediction may be wrong:
// it resumes elsewhere before its replica goes.
func finishOrResume(f *flight, at time.Time) {
	select {
	case <-f.request.Done():
	case <-time.After(time.Until(at) - leaveMargin):
		f.stop(&moveOrder{})
	}
}

// resumeElsewhere ends a stream as soon as another replica takes it, and before
// its own one goes at the latest.
//
// Failure: the other replicas are full or gone. A stream that is ended at once
// gets nothing until one of them takes it, though its own could serve it on and
// perhaps to its end.
func (r *Runner) resumeElsewhere(f *flight, at time.Time) {
	for r.runs(f) {
		if r.destination(f) != nil || time.Until(at) <= leaveMargin {
			f.stop(&moveOrder{})
			return
		}
		select {
		case <-f.request.Done():
			return
		case <-time.After(min(waitForUpstream, time.Until(at)-leaveMargin)):
		}
	}
}

// runs says whether an attempt is still under way.
func (r *Runner) runs(f *flight) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[f.attempt] == f
}

// destination returns the replica that takes a stream off its own one; nil if none does.
func (r *Runner) destination(f *flight) *blackboard.Upstream {
	need := *f.need
	need.Produced, _, _ = f.request.Progress()
	need.Avoid = append(slices.Clone(need.Avoid), f.upstream.Instance.ID)
	choice, err := r.config.Router.Route(&need)
	if err != nil {
		return nil
	}
	return r.config.Board.Upstreams.Get(choice.Upstream)
}

// transferAll moves caches one after the other in the planned order: side by
// side they would share the link and all arrive late. What the link has no
// time for any more resumes from its tokens.
func (r *Runner) transferAll(flights []*flight, order []int, at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at.Add(-leaveMargin))
	defer cancel()
	for _, i := range order {
		f := flights[i]
		if ctx.Err() != nil {
			f.stop(&moveOrder{})
			continue
		}
		select {
		case <-f.request.Done():
		default:
			r.transfer(ctx, f, at)
		}
	}
}

// describe tells the planner of one stream.
func (r *Runner) describe(f *flight) move.Stream {
	produced, _, _ := f.request.Progress()
	gap := f.gap
	if gap == 0 {
		gap = defaultGap
	}
	return move.Stream{
		Tokens:    f.request.Call.PromptTokens + produced,
		Remaining: max(0, f.request.Call.MaxTokens-produced),
		Gap:       gap,
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

// transfer moves the KV cache while the stream goes on at its old replica, and
// lets it resume elsewhere if the cache cannot be moved.
func (r *Runner) transfer(ctx context.Context, f *flight, at time.Time) {
	target := r.destination(f)
	if target == nil {
		go r.resumeElsewhere(f, at)
		return
	}
	handle, err := f.upstream.Engine.ExportKV(ctx, f.attempt)
	if err == nil {
		err = target.Engine.ImportKV(ctx, handle)
	}
	if err != nil {
		r.config.Logger.Info("transfer failed",
			"request", f.request.Call.ID,
			"upstream", f.upstream.Instance.ID,
			"target", target.Instance.ID,
			"cause", err)
		go r.resumeElsewhere(f, at)
		return
	}
	f.stop(&moveOrder{
		target: target.Instance.ID,
		handle: handle,
	})
}
