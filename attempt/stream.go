package attempt

import (
	"context"
	"errors"
	"io"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
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

// execute runs one attempt; it returns nil if the answer is whole.
func (r *Runner) execute(ctx context.Context, p *progress, upstream *blackboard.Upstream, choice zinniamast.Choice, attempt string) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	f := &flight{
		request:       p.request,
		upstream:      upstream,
		attempt:       attempt,
		routeRequest:  r.routeRequest(p, false),
		started:       time.Now(),
		betweenTokens: choice.BetweenTokens,
		cancel:        stop,
	}
	f.tokensBefore, _, _ = p.request.Progress()
	r.attemptStarted(f)
	defer r.attemptEnded(f)
	watch := silence.New(silence.Config{
		First:    firstTokenStall + firstTokenFactor*choice.FirstToken,
		Pause:    nextTokenStall,
		MayLeave: func() bool { return r.mayRetryElsewhere(p, upstream) },
		Cancel:   stop,
	})
	defer watch.Stop()
	err := r.stream(ctx, p, f, watch)
	watch.Stop()
	r.observeEnd(p, f, err)
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return cancelError(cause, err, upstream.Instance.ID)
	}
	if failure := zinniamast.AsUpstreamError(err); failure != nil && failure.Outcome().MayHaveCrashed && !upstream.Leaving() {
		r.config.Quarantine.ReplicaCrashed(upstream.Instance.ID)
	}
	return err
}

// cancelError returns the error of an attempt that this node cancelled.
func cancelError(cause, err error, upstream string) error {
	var order *moveOrder
	if errors.As(cause, &order) || errors.Is(cause, errHandedOff) {
		return cause
	}
	if errors.Is(cause, silence.ErrSilent) {
		return &zinniamast.UpstreamError{
			Failure:  zinniamast.FailureTimeout,
			Upstream: upstream,
			Cause:    cause,
		}
	}
	return err
}

// attemptStarted registers an attempt and reports its start to the upstream's
// counter, the quarantine and the router.
func (r *Runner) attemptStarted(f *flight) {
	r.mu.Lock()
	r.running[f.attempt] = f
	r.mu.Unlock()
	f.upstream.BeginAttempt()
	r.config.Quarantine.AttemptStarted(f.upstream.Instance.ID, f.request.Call.Fingerprint)
	r.config.Router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedStart,
		Attempt:      f.attempt,
		Priority:     f.request.Call.Class.Priority(),
		Upstream:     f.upstream.Instance.ID,
		PromptTokens: f.request.Call.PromptTokens + f.tokensBefore,
		Prefix:       f.routeRequest.Prefix,
	})
}

func (r *Runner) attemptEnded(f *flight) {
	r.mu.Lock()
	delete(r.running, f.attempt)
	r.mu.Unlock()
	f.upstream.EndAttempt()
	r.config.Quarantine.AttemptEnded(f.upstream.Instance.ID, f.request.Call.Fingerprint)
}

// stream reads the answer of one attempt into the request's buffer.
func (r *Runner) stream(ctx context.Context, p *progress, f *flight, watch *silence.Watch) error {
	call := &p.request.Call
	generate := zinniamast.GenerateCall{
		Attempt:    f.attempt,
		Model:      call.Model,
		Messages:   call.Messages,
		Resume:     p.request.Produced(),
		MaxTokens:  call.MaxTokens,
		Priority:   call.Class.Priority(),
		Parameters: call.Parameters,
	}
	if p.order != nil {
		generate.KV = p.order.handle.ID
	}
	stream, err := f.upstream.Engine.Generate(ctx, generate)
	if err != nil {
		return err
	}
	defer stream.Close()
	var chunk zinniamast.Chunk
	first := true
	for {
		err := stream.Next(&chunk)
		if errors.Is(err, io.EOF) {
			return r.finish(p, f, &chunk)
		}
		if err != nil {
			return err
		}
		watch.Received()
		if len(chunk.IDs) == 0 {
			continue
		}
		if first {
			first = false
			p.ran = zinniamast.DidRun
			r.observeFirst(p, f)
			r.config.Retry.Succeeded(p.request.Call.Model)
		}
		if !p.request.Append(f.attempt, chunk.Index, chunk.IDs, chunk.Text) {
			return &zinniamast.UpstreamError{
				Failure:  zinniamast.FailureStopped,
				Upstream: f.upstream.Instance.ID,
				Cause:    errors.New("request no longer accepts tokens from this attempt"),
			}
		}
	}
}

// finish records the end of the stream; chunk holds the counts of the last event.
func (r *Runner) finish(p *progress, f *flight, chunk *zinniamast.Chunk) error {
	prompt := chunk.PromptTokens
	if prompt == 0 {
		prompt = p.request.Call.PromptTokens
	}
	f.cachedTokens = chunk.CachedTokens
	p.request.Finish(f.attempt, chunk.Finish, request.Usage{
		Prompt: prompt,
		Cached: chunk.CachedTokens,
	})
	return nil
}

func (r *Runner) observeFirst(p *progress, f *flight) {
	r.config.Router.Observe(zinniamast.Observation{
		Kind:         zinniamast.ObservedFirstToken,
		Attempt:      f.attempt,
		Upstream:     f.upstream.Instance.ID,
		Elapsed:      time.Since(f.started),
		PromptTokens: p.request.Call.PromptTokens,
	})
}

func (r *Runner) observeEnd(p *progress, f *flight, err error) {
	tokens, _, _ := p.request.Progress()
	observation := zinniamast.Observation{
		Kind:         zinniamast.ObservedEnd,
		Attempt:      f.attempt,
		Upstream:     f.upstream.Instance.ID,
		Elapsed:      time.Since(f.started),
		PromptTokens: p.request.Call.PromptTokens,
		CachedTokens: f.cachedTokens,
		Tokens:       tokens - f.tokensBefore,
	}
	if err != nil {
		observation.Failure = zinniamast.FailureStopped
	}
	if failure := zinniamast.AsUpstreamError(err); failure != nil {
		observation.Failure = failure.Failure
	}
	r.config.Router.Observe(observation)
	if r.config.OnTokensProduced != nil {
		r.config.OnTokensProduced(p.request.Call.Model, observation.Tokens)
	}
}
