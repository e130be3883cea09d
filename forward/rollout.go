package forward

import (
	"net/http"
	"time"

	"zinniamast"
	"zinniamast/canary"
)

// Rollouts decides which software versions requests go to while a service is moved from one
// to another. Package canary implements it.
type Rollouts interface {
	// Select returns which replicas a send may go to.
	Select(query canary.Query) canary.Selection
	// Observe counts the outcome of a send.
	Observe(sample canary.Sample)
}

// The mean pause of a stream is known after pauseEvents events, or at its end if it has had
// at least minPauseEvents. A slow version's long streams end only after many more have begun.
const (
	pauseEvents    = 8
	minPauseEvents = 3
)

// observeVersionBegan counts the time to the first piece of an answer for the rollout of its
// replica's version, without waiting for the end of a stream.
func (h *Handler) observeVersionBegan(c *call, s *send) {
	if s.response.StatusCode >= http.StatusInternalServerError {
		return
	}
	sample := c.versionSample(s)
	sample.First = s.began.Sub(s.started)
	h.config.Rollouts.Observe(sample)
}

// observeVersionPause counts the mean pause of a stream for the rollout of its replica's
// version, once enough of its events have arrived.
func (h *Handler) observeVersionPause(c *call, s *send, events int) {
	if s.hasPause || s.began.IsZero() || events < pauseEvents {
		return
	}
	s.hasPause = true
	sample := c.versionSample(s)
	sample.Pause = time.Since(s.began) / time.Duration(events-1)
	h.config.Rollouts.Observe(sample)
}

// observeVersionEnd counts the end of a send for the rollout of its replica's version, as far
// as it shows how the version answers.
func (h *Handler) observeVersionEnd(c *call, s *send, failure *zinniamast.UpstreamError, events int) {
	sample := c.versionSample(s)
	sample.Took = time.Since(s.started)
	if !s.hasPause && !s.began.IsZero() && events >= minPauseEvents {
		sample.Pause = time.Since(s.began) / time.Duration(events-1)
	}
	switch {
	case failure == nil:
		sample.IsFailed = s.response.StatusCode >= http.StatusInternalServerError
	case isVersionFailure(failure.Failure):
		sample.IsFailed, sample.Failure = true, failure.Failure
	case !s.began.IsZero():
	case failure.Failure == zinniamast.FailureTimeout, failure.Failure == zinniamast.FailureStopped && sample.Took > c.route.Target:
		// No answer in this time: it would have taken longer.
		sample.First = sample.Took
	default:
		return
	}
	h.config.Rollouts.Observe(sample)
}

// versionSample returns what all samples of a send have in common.
func (c *call) versionSample(s *send) canary.Sample {
	return canary.Sample{
		Service:       c.service,
		Route:         c.route.Name,
		Replica:       s.upstream.Instance.ID,
		Version:       s.upstream.Instance.Version,
		FailureDomain: s.upstream.Instance.FailureDomain,
	}
}

// isVersionFailure reports whether a failure may be due to the software of the replica.
func isVersionFailure(failure zinniamast.Failure) bool {
	switch failure {
	case zinniamast.FailureError, zinniamast.FailureCutShort, zinniamast.FailureReset, zinniamast.FailureWrongAttempt:
		return true
	}
	return false
}
