package services

import (
	"context"
	"errors"
	"net/http"
	"time"

	"zinniamast"
	"zinniamast/claims"
	"zinniamast/issuedkeys"
	"zinniamast/request"
)

// ErrNotForwarded means that no byte of a call reached the issuing node.
var ErrNotForwarded = errors.New("services: call was not forwarded")

// Forwarder carries a call to the process that issued its key.
type Forwarder interface {
	// Forward asks a node to run the call; any error but ErrNotForwarded leaves
	// open whether it did.
	Forward(ctx context.Context, node string, call ForwardedCall) (ForwardedAnswer, error)
}

// ForwardedCall is a call that crosses from the node that got it to the node
// that issued its key.
type ForwardedCall struct {
	Organisation string
	Service      string
	Key          string
	Method       string
	Path         string
	Class        request.Class
	Header       http.Header
	Body         []byte
	// Wait is how long the caller still waits; clocks need not agree.
	Wait time.Duration
}

// ForwardedAnswer is the outcome of a forwarded call.
type ForwardedAnswer struct {
	Answer   zinniamast.ServiceAnswer
	Replayed bool
	// Refusal is set if there is no answer.
	Refusal *zinniamast.Refusal
}

// issuerRetryAfter is when the issuing node may be reachable again.
const issuerRetryAfter = 5 * time.Second

// forwardToIssuer has the issuing node run the call. Nobody else may: the issuing
// process may have run it and be cut off.
func (h *Handler) forwardToIssuer(ctx context.Context, c *call, key issuedkeys.Key) (*result, error) {
	if h.config.Forwarder == nil {
		return h.answerWithoutIssuer(ctx, c, key)
	}
	answer, err := h.config.Forwarder.Forward(ctx, key.Node, ForwardedCall{
		Organisation: c.organisation,
		Service:      c.service.Name,
		Key:          c.key,
		Method:       c.method,
		Path:         c.path,
		Class:        c.class,
		Header:       c.header,
		Body:         c.body,
		Wait:         time.Until(c.deadline),
	})
	if err != nil {
		h.config.Logger.Info("issuing instance not reached", "instance", key.Node, "cause", err)
		if errors.Is(err, ErrNotForwarded) && c.isFirstSending {
			return nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
				"only instance %s may run this key and it cannot be reached; ask for a new key", key.Node).After(time.Second)
		}
		return h.answerWithoutIssuer(ctx, c, key)
	}
	if answer.Refusal != nil {
		return nil, answer.Refusal
	}
	return &result{
		answer:   answer.Answer,
		replayed: answer.Replayed,
	}, nil
}

// answerWithoutIssuer answers for a key whose issuing process cannot be asked: with the
// outcome that it left in the table, or with what cannot be known.
func (h *Handler) answerWithoutIssuer(ctx context.Context, c *call, key issuedkeys.Key) (*result, error) {
	record, err := h.config.Claims.Read(ctx, c.claimsCall())
	if err == nil && record.State != claims.StateFree {
		return h.earlierOutcome(c, &record)
	}
	return nil, zinniamast.Refuse(zinniamast.ReasonOutcomeUnknown,
		"only instance %s may run this key and it cannot be reached; if you never sent the key before, "+
			"ask for a new one, otherwise send the same key again", key.Node).
		With(zinniamast.Unknown).After(issuerRetryAfter)
}

// RunForwarded runs a call that another node forwarded. Errors are in the answer.
func (h *Handler) RunForwarded(ctx context.Context, forwarded ForwardedCall) ForwardedAnswer {
	done, err := h.runForwarded(ctx, forwarded)
	if err != nil {
		refusal := zinniamast.AsRefusal(err)
		h.metrics.countRefusal(refusal)
		return ForwardedAnswer{
			Refusal: refusal,
		}
	}
	return ForwardedAnswer{
		Answer:   done.answer,
		Replayed: done.replayed,
	}
}

var errNoIssuer = errors.New("services: this node issues no keys")

func (h *Handler) runForwarded(ctx context.Context, f ForwardedCall) (*result, error) {
	if h.config.Issuer == nil {
		return nil, errNoIssuer
	}
	c, refusal := h.rebuildCall(f)
	if refusal != nil {
		return nil, refusal
	}
	key, err := h.config.Issuer.Verify(c.organisation, c.service.Name, c.key)
	if err != nil || key.Epoch != h.config.Issuer.Epoch() {
		// The process that issued the key is gone and this one has its name.
		return h.answerWithoutIssuer(ctx, c, key)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return h.runUnderKey(ctx, c, key)
}
