package forward

import (
	"errors"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/quarantine"
)

// errHeldBack is the cancellation cause of a send of a request that has become known to crash
// replicas before its replica began to answer.
var errHeldBack = errors.New("forward: a part of the prompt crashes replicas")

// checkContent refuses a request that crashes replicas, be it by itself or by a part of its
// prompt, and records whether it is a suspect.
func (h *Handler) checkContent(c *call, check func(fingerprint uint64) (bool, error)) *zinniamast.Refusal {
	hasSuspectPart, err := h.config.Parts.Check(c.parts)
	if err != nil {
		return zinniamast.AsRefusal(err)
	}
	isSuspect, err := check(c.fingerprint)
	if err != nil {
		return zinniamast.AsRefusal(err)
	}
	c.isSuspect = isSuspect || hasSuspectPart
	return nil
}

// recordWriting tells the quarantines that another piece of the answer has arrived.
func (h *Handler) recordWriting(c *call, s *send) {
	s.run.Wrote()
	if !s.isWriting && time.Since(s.began) >= quarantine.WritingTime {
		s.isWriting = true
		h.config.Quarantine.AttemptWrites(s.upstream.Instance.ID, c.fingerprint)
	}
}

// recheck refuses a request that has become known to crash replicas since its last send,
// and records whether it is a suspect.
func (h *Handler) recheck(c *call) *zinniamast.Refusal {
	if c.sendsStarted == 0 {
		return nil
	}
	if refusal := h.checkContent(c, h.config.Quarantine.CheckRetry); refusal != nil {
		return refusal.WithRan(c.ran)
	}
	return nil
}

// avoided returns the replicas that must not get the request. A suspect request
// also avoids the replicas that Quarantine.Apart returns, among them those where
// replicas crashed while running it. A second crash there would prove nothing, and
// would also end whatever has just recovered there.
func (h *Handler) avoided(c *call) []string {
	if !c.isSuspect {
		return c.avoid
	}
	var replicas []string
	for _, u := range h.config.Upstreams.Of(c.service) {
		if !u.Leaving() && !slices.Contains(c.avoid, u.Instance.ID) {
			replicas = append(replicas, u.Instance.ID)
		}
	}
	avoid := h.config.Quarantine.ReplicasToAvoid(c.fingerprint, replicas)
	replicas = slices.DeleteFunc(replicas, func(id string) bool { return slices.Contains(avoid, id) })
	return slices.Concat(c.avoid, avoid, h.config.Parts.ReplicasToAvoid(c.parts, replicas))
}

// chooseApart chooses the replica for the next send. A suspect that finds none among those that
// are left for it may use the others.
func (h *Handler) chooseApart(c *call) (routed, *zinniamast.Refusal) {
	to, refusal := h.choose(c, h.avoided(c))
	if refusal != nil && c.isSuspect {
		return h.choose(c, c.avoid)
	}
	return to, refusal
}

// maxLoggedParts limits the parts of a prompt in one line of the log.
const maxLoggedParts = 8

// loggedParts returns the parts of the prompt that other prompts may share, for the log.
func (c *call) loggedParts() []quarantine.Part {
	parts := make([]quarantine.Part, 0, min(len(c.parts), maxLoggedParts))
	for _, part := range c.parts[:min(len(c.parts), maxLoggedParts)] {
		parts = append(parts, quarantine.Part(part))
	}
	return parts
}
