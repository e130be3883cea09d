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

// Forwarder forwards a call to the process that issued its key.
type Forwarder interface {
	// Forward has a node run the call. After any error other than ErrNotForwarded
	// the call may or may not have run.
	Forward(ctx context.Context, node string, call ForwardedCall) (ForwardedAnswer, error)
}

// ForwardedCall is a call that the receiving node forwards to the node that
// issued its key.
type ForwardedCall struct {
	Organisation string
	Service      string
	Key          string
	Method       string
	Path         string
	Class        request.Class
	Header       http.Header
	Body         []byte
	// Wait is the time until the deadline. It is relative because the clocks of
	// nodes may differ.
	Wait time.Duration
}

// ForwardedAnswer is the outcome of a forwarded call.
type ForwardedAnswer struct {
	Answer   zinniamast.ServiceAnswer
	Replayed bool
	// Refusal is set if there is no answer.
	Refusal *zinniamast.Refusal
}

// issuerRetryAfter is the delay after which a caller may retry a call whose
// issuing node is unreachable.
const issuerRetryAfter = 5 * time.Second

// forwardToIssuer has the issuing node run the call. No other node may run it,
// since the issuing process may have run it and then become unreachable.
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
		h.config.Logger.Info("forwarding call to the issuing instance failed", "instance", key.Node, "cause", err)
		if errors.Is(err, ErrNotForwarded) && c.isFirstSending {
			return nil, zinniamast.Refuse(zinniamast.ReasonNoUpstream,
				"only instance %s may run this key and it cannot be reached; ask for a new key", key.Node).WithRetryAfter(time.Second)
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

// answerWithoutIssuer answers a call whose issuing process cannot be reached: with
// the outcome that the process saved to the table, or with an unknown outcome.
func (h *Handler) answerWithoutIssuer(ctx context.Context, c *call, key issuedkeys.Key) (*result, error) {
	record, err := h.config.Claims.Read(ctx, c.claimsCall())
	if err == nil && record.State != claims.StateFree {
		return h.earlierOutcome(c, &record)
	}
	return nil, zinniamast.Refuse(zinniamast.ReasonOutcomeUnknown,
		"only instance %s may run this key and it cannot be reached; if you never sent the key before, "+
			"ask for a new one, otherwise send the same key again", key.Node).
		WithRan(zinniamast.Unknown).WithRetryAfter(issuerRetryAfter)
}

// RunForwarded runs a call that another node forwarded. An error is returned as
// the answer's refusal.
func (h *Handler) RunForwarded(ctx context.Context, call ForwardedCall) ForwardedAnswer {
	outcome, err := h.runForwarded(ctx, call)
	if err != nil {
		refusal := zinniamast.AsRefusal(err)
		h.metrics.countRefusal(refusal)
		return ForwardedAnswer{
			Refusal: refusal,
		}
	}
	return ForwardedAnswer{
		Answer:   outcome.answer,
		Replayed: outcome.replayed,
	}
}

var errNoIssuer = errors.New("services: this node issues no keys")

func (h *Handler) runForwarded(ctx context.Context, forwarded ForwardedCall) (*result, error) {
	if h.config.Issuer == nil {
		return nil, errNoIssuer
	}
	c, refusal := h.rebuildCall(forwarded)
	if refusal != nil {
		return nil, refusal
	}
	key, err := h.config.Issuer.Verify(c.organisation, c.service.Name, c.key)
	if err != nil || key.Epoch != h.config.Issuer.Epoch() {
		// The key was issued by an earlier process with this node's name, which has
		// exited.
		return h.answerWithoutIssuer(ctx, c, key)
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return h.runUnderKey(ctx, c, key)
}
