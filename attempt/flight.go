package attempt

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"sync"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/request"
	"zinniamast/silence"
)

// flight is an in-flight attempt: the current one of its request, or its successor.
type flight struct {
	progress *progress
	request  *request.Request
	upstream *blackboard.Upstream
	attempt  string
	prefix   []uint64
	started  time.Time
	// firstTokenLimit is how long the attempt may stay silent before its first token.
	firstTokenLimit time.Duration
	betweenTokens   time.Duration
	ctx             context.Context
	cancel          context.CancelCauseFunc
	// order is the move that the attempt carries out; nil if it carries out none.
	order *moveOrder
	// tokensBefore counts the tokens that earlier attempts produced.
	tokensBefore int

	// run tells the quarantine of prompt parts how far the answer is.
	run zinniamast.PartRun
	// began is when the first tokens arrived, and isWriting reports whether the quarantine
	// knows that the engine has been writing the answer for a while.
	began     time.Time
	isWriting bool

	// opened is closed when open has returned. It has set the fields below it.
	opened    chan struct{}
	stream    zinniamast.Stream
	chunk     zinniamast.Chunk
	openError error

	// mu guards the fields below, and the request's progress while the attempt is the
	// current one.
	mu sync.Mutex
	// current reports whether the request accepts tokens from this attempt.
	current bool
	// next is the successor, which runs beside the attempt until it has begun to
	// answer; starting reports that one is being started.
	next     *flight
	starting bool
	// held are the chunks that arrived while a successor was moving the request.
	held []zinniamast.Chunk
	// tokens counts the tokens that the attempt added to the answer, and cachedTokens
	// the prompt tokens that the engine reported as cached when it finished.
	tokens       int
	cachedTokens int
}

// newFlight returns an attempt that has not started.
func (r *Runner) newFlight(p *progress, upstream *blackboard.Upstream, choice zinniamast.Choice, order *moveOrder) *flight {
	f := &flight{
		progress:        p,
		request:         p.request,
		upstream:        upstream,
		attempt:         rand.Text(),
		prefix:          p.prefix,
		firstTokenLimit: firstTokenStall + firstTokenFactor*choice.FirstToken,
		betweenTokens:   choice.BetweenTokens,
		order:           order,
		opened:          make(chan struct{}),
	}
	if order != nil {
		// A caller waits for tokens while a move is in progress.
		f.firstTokenLimit = nextTokenStall + firstTokenFactor*choice.FirstToken
	}
	f.ctx, f.cancel = context.WithCancelCause(p.ctx)
	return f
}

// start registers an attempt and reports its start to the upstream's counter, the
// quarantine and the router. It returns the call of the engine.
func (r *Runner) start(f *flight) zinniamast.GenerateCall {
	call := &f.request.Call
	generate := zinniamast.GenerateCall{
		Attempt:    f.attempt,
		Model:      call.Model,
		Messages:   call.Messages,
		Resume:     f.request.Produced(),
		MaxTokens:  call.MaxTokens,
		Priority:   call.Class.Priority(),
		Parameters: call.Parameters,
	}
	if f.order != nil {
		generate.KV = f.order.handle.ID
	}
	f.started = time.Now()
	f.tokensBefore = len(generate.Resume)
	r.mu.Lock()
	r.running[f.attempt] = f
	r.mu.Unlock()
	f.upstream.BeginAttempt()
	r.config.Quarantine.AttemptStarted(f.upstream.Instance.ID, call.Fingerprint)
	f.run = r.config.Parts.Started(f.upstream.Instance.ID, call.PromptParts, func() { f.cancel(errHeldBack) })
	r.config.Router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedStart,
		Attempt:      f.attempt,
		Priority:     call.Class.Priority(),
		Upstream:     f.upstream.Instance.ID,
		PromptTokens: call.PromptTokens + f.tokensBefore,
		Prefix:       f.prefix,
	})
	return generate
}

// open calls the engine and waits for the first tokens.
func (r *Runner) open(f *flight, call zinniamast.GenerateCall) {
	defer close(f.opened)
	f.stream, f.openError = f.upstream.Engine.Generate(f.ctx, call)
	for f.openError == nil && len(f.chunk.IDs) == 0 {
		f.openError = f.stream.Next(&f.chunk)
	}
	if f.openError == nil {
		f.began = time.Now()
		f.run.Wrote()
		r.observeFirst(f)
		r.config.Retry.Succeeded(f.request.Call.Model)
	}
}

// hasBegun reports whether an opened attempt has begun to answer. An answer that is
// already whole ends without further tokens.
func (f *flight) hasBegun() bool {
	return f.openError == nil || isEndMark(f.openError)
}

// isEndMark reports whether a stream's error means that the answer is whole. The error
// of a broken connection may contain io.EOF.
func isEndMark(err error) bool { return err == io.EOF }

// end settles the accounts of an attempt that has been opened. The error is nil if
// it completed the answer; if this node cancelled the attempt, the returned error says
// why.
func (r *Runner) end(f *flight, err error) error {
	r.observeEnd(f, err)
	if cause := context.Cause(f.ctx); err != nil && cause != nil {
		err = cancelError(cause, err, f.upstream.Instance.ID)
	} else if failure := zinniamast.AsUpstreamError(err); failure != nil && failure.Outcome().MayHaveCrashed && !f.upstream.Leaving() {
		r.config.Quarantine.ReplicaCrashed(f.upstream.Instance.ID)
		r.config.Parts.ReplicaCrashed(f.upstream.Instance.ID)
	}
	f.cancel(nil)
	if f.stream != nil {
		_ = f.stream.Close() // The answer is complete or of no more use.
	}
	r.mu.Lock()
	delete(r.running, f.attempt)
	r.mu.Unlock()
	f.upstream.EndAttempt()
	r.config.Quarantine.AttemptEnded(f.upstream.Instance.ID, f.request.Call.Fingerprint, err == nil)
	f.run.Ended(err == nil)
	return err
}

// cancelError returns the error of an attempt that this node cancelled.
func cancelError(cause, err error, upstream string) error {
	var order *moveOrder
	switch {
	case errors.As(cause, &order), errors.Is(cause, errHandedOff), errors.Is(cause, errWithdrawn):
		return cause
	case errors.Is(cause, errHeldBack):
		return &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureStopped,
			Upstream: upstream,
			Cause:    cause,
		}
	case errors.Is(cause, silence.ErrSilent):
		return &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureTimeout,
			Upstream: upstream,
			Cause:    cause,
		}
	}
	return err
}

func (r *Runner) observeFirst(f *flight) {
	r.config.Router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedFirstToken,
		Attempt:      f.attempt,
		Upstream:     f.upstream.Instance.ID,
		Elapsed:      time.Since(f.started),
		PromptTokens: f.request.Call.PromptTokens,
	})
}

func (r *Runner) observeEnd(f *flight, err error) {
	observation := zinniamast.Observation{
		Kind:         zinniamast.ObservedEnd,
		Attempt:      f.attempt,
		Upstream:     f.upstream.Instance.ID,
		Elapsed:      time.Since(f.started),
		PromptTokens: f.request.Call.PromptTokens,
		CachedTokens: f.cachedTokens,
		Tokens:       f.tokens,
	}
	if err != nil {
		observation.Failure = zinniamast.FailureStopped
	}
	if failure := zinniamast.AsUpstreamError(err); failure != nil {
		observation.Failure = failure.Failure
	}
	r.config.Router.Observe(observation)
	if r.config.OnTokensProduced != nil {
		r.config.OnTokensProduced(f.request.Call.Model, f.tokens)
	}
}
