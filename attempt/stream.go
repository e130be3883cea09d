package attempt

import (
	"errors"
	"time"

	"zinniamast"
	"zinniamast/quarantine"
	"zinniamast/request"
	"zinniamast/silence"
)

const (
	// firstTokenStall is how long an attempt may stay silent before its first
	// token, in addition to firstTokenFactor times the predicted delay.
	firstTokenStall = 5 * time.Second
	// firstTokenFactor multiplies the delay of the first token that routing predicts.
	firstTokenFactor = 4
	// nextTokenStall is how long a running stream may stay silent between tokens.
	nextTokenStall = 3 * time.Second
)

// execute runs the current attempt of a request; the error is nil if the answer is
// whole. Otherwise it also returns the attempt that takes over, if there is one.
func (r *Runner) execute(f *flight) (next *flight, err error) {
	f.mu.Lock()
	f.current = true
	f.mu.Unlock()
	watch := silence.New(silence.Config{
		First:    max(f.firstTokenLimit-time.Since(f.started), time.Millisecond),
		Pause:    nextTokenStall,
		MayLeave: func() bool { return r.mayLeave(f) },
		Cancel:   f.cancel,
	})
	err = r.read(f, watch)
	watch.Stop()
	next = f.resign()
	return next, r.end(f, err)
}

// read reads the answer of the current attempt into the request's buffer.
func (r *Runner) read(f *flight, watch *silence.Watch) error {
	<-f.opened
	err := f.openError
	for {
		if isEndMark(err) {
			return r.finish(f)
		}
		if err != nil {
			return err
		}
		watch.Received()
		r.recordWriting(f)
		if err := r.accept(f); err != nil {
			return err
		}
		err = f.stream.Next(&f.chunk)
	}
}

// recordWriting tells the quarantines that another piece of the answer has arrived.
func (r *Runner) recordWriting(f *flight) {
	f.run.Wrote()
	if !f.isWriting && time.Since(f.began) >= quarantine.WritingTime {
		f.isWriting = true
		r.config.Quarantine.AttemptWrites(f.upstream.Instance.ID, f.request.Call.Fingerprint)
	}
}

// accept adds the tokens of the current attempt's chunk to the answer. A successor
// that has not begun is withdrawn, unless it moves the request off a leaving replica.
func (r *Runner) accept(f *flight) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.chunk.IDs) == 0 {
		return nil
	}
	if !f.current {
		return f.rejected()
	}
	if f.next != nil && f.next.order == nil {
		r.withdrawNext(f)
	}
	if f.next != nil && f.next.isSilent() {
		r.dropSilentNext(f)
	}
	if f.next != nil {
		f.hold()
		return nil
	}
	if !f.append(&f.chunk) {
		return f.rejected()
	}
	return nil
}

// append adds a chunk to the answer and reports whether the request accepts it. The
// caller holds f.mu.
func (f *flight) append(chunk *zinniamast.Chunk) bool {
	f.request.SetVersion(f.upstream.Instance.Version)
	if !f.request.Append(f.attempt, chunk.Index, chunk.IDs, chunk.Text) {
		return false
	}
	f.progress.ran = zinniamast.DidRun
	f.progress.moveWait = 0
	f.tokens += len(chunk.IDs)
	return true
}

// rejected returns the error of an attempt whose request has ended or has been taken
// over.
func (f *flight) rejected() error {
	return &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureStopped,
		Upstream: f.upstream.Instance.ID,
		Cause:    errors.New("request no longer accepts tokens from this attempt"),
	}
}

// finish records the end of the stream; the chunk holds the counts of the last event.
func (r *Runner) finish(f *flight) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current {
		return f.rejected()
	}
	if f.next != nil {
		r.withdrawNext(f)
	}
	prompt := f.chunk.PromptTokens
	if prompt == 0 {
		prompt = f.request.Call.PromptTokens
	}
	f.cachedTokens = f.chunk.CachedTokens
	f.request.Finish(f.attempt, f.chunk.Finish, request.Usage{
		Prompt: prompt,
		Cached: f.chunk.CachedTokens,
	})
	return nil
}
