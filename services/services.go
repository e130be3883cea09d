// Package services serves plain services to callers: it routes each call to a
// replica, retries calls that may be repeated, and runs all others at most once.
package services

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/caller"
	"zinniamast/claims"
	"zinniamast/issuedkeys"
	"zinniamast/retry"
)

// HeaderReplayed marks an answer that was stored for an earlier request with the
// same key; docs/operators/services.md describes the headers.
const HeaderReplayed = "Zinniamast-Replayed"

// Config holds the dependencies of a Handler.
type Config struct {
	Board   *blackboard.Board
	Router  zinniamast.Router
	Limiter zinniamast.Limiter
	Retry   zinniamast.RetryPolicy
	// AllowHedge takes a hedge from the budget and reports whether it may be sent; nil
	// disables hedging.
	AllowHedge func(ask retry.HedgeRequest) bool
	Quarantine zinniamast.Quarantine
	Claims     *claims.Claims
	// Issuer issues keys whose calls only this process dispatches; nil issues none.
	Issuer *issuedkeys.Issuer
	// Forwarder forwards calls with another node's key to that node; with nil they
	// are answered from the table or refused.
	Forwarder Forwarder
	// FailureDomain is the node's own; it selects the policy that applies.
	FailureDomain string
	// IsStopping reports whether the node refuses new requests; nil means never.
	IsStopping func() bool
	// Context ends when the node must not run calls any longer; nil means never.
	Context    context.Context
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Handler serves everything below /services/.
type Handler struct {
	config  Config
	metrics *metrics
	latency *latencyTracker
}

// New returns a handler.
func New(config Config) *Handler {
	if config.IsStopping == nil {
		config.IsStopping = func() bool { return false }
	}
	if config.Context == nil {
		config.Context = context.Background()
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Handler{
		config:  config,
		metrics: newMetrics(config.Registerer),
		latency: newLatencyTracker(),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c, refusal := h.parse(w, q)
	if refusal != nil {
		h.refuse(w, c, refusal)
		return
	}
	if c.isIssueRequest {
		h.issueKeys(w, c)
		return
	}
	ctx, cancel := context.WithDeadline(q.Context(), c.deadline)
	defer cancel()
	result, err := h.serve(ctx, c)
	if err != nil {
		h.refuse(w, c, zinniamast.AsRefusal(err))
		return
	}
	result.write(w)
}

// serve admits a call and runs it in the way that its key and its service allow.
func (h *Handler) serve(ctx context.Context, c *call) (*result, error) {
	if h.config.IsStopping() {
		return nil, h.withKeyRan(ctx, c, zinniamast.Refuse(zinniamast.ReasonStopping,
			"the instance is stopping; ask again").WithRetryAfter(stoppingRetryAfter))
	}
	ticket, err := h.config.Limiter.Admit(zinniamast.Admission{
		Organisation: c.organisation,
		Service:      c.service.Name,
		Class:        string(c.class),
		Priority:     c.class.Priority(),
		Bytes:        len(c.body),
		Deadline:     c.deadline,
	})
	if err != nil {
		return nil, h.withKeyRan(ctx, c, zinniamast.AsRefusal(err))
	}
	defer ticket.Release()
	h.config.Retry.Started(c.organisation, c.service.Name)
	switch {
	case c.isRepeatable():
		return h.runRepeatable(ctx, c)
	case c.key == "":
		return h.runUnkeyed(c)
	case issuedkeys.IsIssued(c.key):
		return h.runIssued(ctx, c)
	default:
		return h.runClaimed(ctx, c)
	}
}

const stoppingRetryAfter = time.Second

// withKeyRan corrects a refusal that says "not run" if the key may have been
// sent before.
//
// If a caller loses the answer to its booking and sends the key again, this node
// may refuse the second request for an unrelated reason. Nothing ran for that
// request, but a caller that reads "not run" and takes a new key books twice.
func (h *Handler) withKeyRan(ctx context.Context, c *call, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	if refusal.Ran != zinniamast.NotRun || c.key == "" || c.isIdempotent {
		return refusal
	}
	return refusal.WithRan(h.keyRan(ctx, c))
}

// keyRan returns whether an earlier request with the call's key ran, as far as
// it is known.
func (h *Handler) keyRan(ctx context.Context, c *call) zinniamast.Ran {
	switch {
	case c.isFirstSending:
		return zinniamast.NotRun
	case issuedkeys.IsIssued(c.key) && h.config.Issuer != nil:
		return h.config.Issuer.RunState(c.key)
	case c.service.ChecksKeys:
		return zinniamast.Unknown
	default:
		return h.config.Claims.RunState(context.WithoutCancel(ctx), c.claimsCall())
	}
}

// refuse counts and logs a refusal and writes it to the caller.
func (h *Handler) refuse(w http.ResponseWriter, c *call, refusal *zinniamast.Refusal) {
	h.metrics.countRefusal(refusal)
	h.config.Logger.Info("service call refused", "organisation", c.organisation, "path", c.path,
		"reason", refusal.Reason, "ran", refusal.Ran, "message", refusal.Message)
	caller.WriteRefusal(w, refusal)
}

// newID returns a random ID for an attempt or a request.
func newID() string { return rand.Text() }
