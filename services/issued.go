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

// issueRequest is the body of a request for keys.
type issueRequest struct {
	// Count is how many keys are wanted; zero means one.
	Count int `json:"count"`
}

// issueAnswer is the answer to a request for keys.
type issueAnswer struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}

// issueKeys answers a request for keys that this process alone dispatches.
func (h *Handler) issueKeys(w http.ResponseWriter, c *call) {
	asked := issueRequest{
		Count: 1,
	}
	if len(c.body) > 0 && json.Unmarshal(c.body, &asked) != nil || asked.Count < 1 || asked.Count > issuedkeys.MaxCount {
		h.refuse(w, c, zinniamast.Refuse(zinniamast.ReasonMalformed,
			`the body must be {"count": n} with n from 1 to %d`, issuedkeys.MaxCount))
		return
	}
	if h.config.Stopping() {
		h.refuse(w, c, zinniamast.Refuse(zinniamast.ReasonStopping, "the instance is stopping; ask again").After(stoppingRetryAfter))
		return
	}
	keys, expires := h.config.Issuer.Issue(c.organisation, c.service.Name, asked.Count)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(issueAnswer{
		Keys:    keys,
		Expires: expires,
	})
}

// runIssued runs a call under an issued key: here if this process issued it, at
// the issuing process otherwise.
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

// runUnderKey runs a call under a key that has been proved.
func (h *Handler) runUnderKey(ctx context.Context, c *call, key issuedkeys.Key) (*result, error) {
	asked := c.claimsCall()
	use, mine, err := h.config.Issuer.Take(key, asked.Hash())
	switch {
	case errors.Is(err, issuedkeys.ErrElsewhere):
		return h.forwardToIssuer(ctx, c, key)
	case errors.Is(err, issuedkeys.ErrConflict):
		return nil, claims.Conflict(c.key)
	case err != nil:
		return nil, zinniamast.Refuse(zinniamast.ReasonKeyRequired,
			"the key has expired; ask for a new one").With(h.config.Issuer.Known(c.key))
	case mine:
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

// dispatchUse dispatches a call under a key of this process. The table is told the
// outcome when it can be, for those who ask after this process has gone.
func (h *Handler) dispatchUse(c *call, use *issuedkeys.Use) (*result, error) {
	ctx, cancel := h.detachedContext(c)
	defer cancel()
	done, err := h.dispatch(ctx, c, h.newAttempts(c))
	if err == nil {
		use.End(&done.answer, nil)
		h.config.Claims.Keep(c.claimsCall(), claims.EventAnswer, &done.answer)
		return done, nil
	}
	refusal := zinniamast.AsRefusal(err)
	use.End(nil, refusal)
	switch refusal.Ran {
	case zinniamast.DidRun:
		h.config.Claims.Keep(c.claimsCall(), claims.EventRun, nil)
	case zinniamast.Unknown:
		h.config.Claims.Keep(c.claimsCall(), claims.EventLose, nil)
	}
	return nil, refusal
}
