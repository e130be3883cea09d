package services

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"zinniamast"
	"zinniamast/claims"
	"zinniamast/issuedkeys"
)

// issueRequest is the body of a request that asks for keys.
type issueRequest struct {
	// Count is how many keys are requested; without it, one is issued.
	Count int `json:"count"`
}

// issueAnswer is the body of the answer to an issueRequest.
type issueAnswer struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}

// issueKeys issues keys whose calls only this process dispatches.
func (h *Handler) issueKeys(w http.ResponseWriter, c *call) {
	request := issueRequest{
		Count: 1,
	}
	if len(c.body) > 0 && json.Unmarshal(c.body, &request) != nil || request.Count < 1 || request.Count > issuedkeys.MaxCount {
		h.refuse(w, c, zinniamast.Refuse(zinniamast.ReasonMalformed,
			`the body must be {"count": n} with n from 1 to %d`, issuedkeys.MaxCount))
		return
	}
	if h.config.IsStopping() {
		h.refuse(w, c, zinniamast.Refuse(zinniamast.ReasonStopping, "the instance is stopping; ask again").WithRetryAfter(stoppingRetryAfter))
		return
	}
	keys, expires := h.config.Issuer.Issue(c.organisation, c.service.Name, request.Count)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(issueAnswer{
		Keys:    keys,
		Expires: expires,
	})
}

// runIssued runs a call with an issued key: in this process if it issued the key,
// otherwise in the issuing process.
func (h *Handler) runIssued(ctx context.Context, c *call) (*result, error) {
	if h.config.Issuer == nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed, "this instance takes no issued keys")
	}
	key, err := h.config.Issuer.Verify(c.organisation, c.service.Name, c.key)
	if err != nil {
		return nil, zinniamast.Refuse(zinniamast.ReasonMalformed,
			"the key was not issued to this organisation for %s", c.service.Name)
	}
	return h.runUnderKey(ctx, c, key)
}

// runUnderKey runs a call with a verified key, forwards it to the process that
// issued the key, or returns the outcome of an earlier request with the key.
func (h *Handler) runUnderKey(ctx context.Context, c *call, key issuedkeys.Key) (*result, error) {
	claim := c.claimsCall()
	use, isOwner, err := h.config.Issuer.Take(key, claim.Hash())
	switch {
	case errors.Is(err, issuedkeys.ErrOtherIssuer):
		return h.forwardToIssuer(ctx, c, key)
	case errors.Is(err, issuedkeys.ErrConflict):
		return nil, claims.Conflict(c.key)
	case err != nil:
		return nil, zinniamast.Refuse(zinniamast.ReasonKeyRequired,
			"the key has expired; ask for a new one").WithRan(h.config.Issuer.RunState(c.key))
	case isOwner:
		return h.dispatchUse(c, use)
	}
	select {
	case <-use.Done:
	case <-ctx.Done():
		return nil, claims.InProgress()
	}
	if use.Answer == nil {
		return nil, use.Refusal
	}
	return &result{
		answer:   *use.Answer,
		replayed: true,
	}, nil
}

// dispatchUse dispatches a call with a key that this process issued. The outcome of
// a call that ran or may have run is also saved to the table in the background, if
// possible, so that it can be read after this process has exited.
func (h *Handler) dispatchUse(c *call, use *issuedkeys.Use) (*result, error) {
	ctx, cancel := h.detachedContext(c)
	defer cancel()
	outcome, err := h.dispatch(ctx, c, h.newAttempts(c))
	if err == nil {
		use.End(&outcome.answer, nil)
		h.config.Claims.SaveOutcome(c.claimsCall(), claims.EventAnswer, &outcome.answer)
		return outcome, nil
	}
	refusal := zinniamast.AsRefusal(err)
	use.End(nil, refusal)
	switch refusal.Ran {
	case zinniamast.DidRun:
		h.config.Claims.SaveOutcome(c.claimsCall(), claims.EventRun, nil)
	case zinniamast.Unknown:
		h.config.Claims.SaveOutcome(c.claimsCall(), claims.EventLose, nil)
	}
	return nil, refusal
}
