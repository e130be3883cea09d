// Package services serves plain services to callers: it routes each call to a
// replica, repeats what may be repeated, and runs what may not at most once.
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

// HeaderReplayed marks an answer that was kept from an earlier request under
// the key; docs/operators/services.md describes the headers.
const HeaderReplayed = "Zinniamast-Replayed"

// Config says what a handler works with.
type Config struct {
	Board   *blackboard.Board
	Router  zinniamast.Router
	Limiter zinniamast.Limiter
	Retry   zinniamast.RetryPolicy
	// Hedge pays for a second attempt beside a late one; nil sends none.
	Hedge      func(ask retry.HedgeAsk) bool
	Quarantine zinniamast.Quarantine
	Claims     *claims.Claims
	// Issuer issues keys that this node alone dispatches; nil issues none.
	Issuer *issuedkeys.Issuer
	// Forwarder carries calls under other nodes' keys to them; nil refuses them.
	Forwarder Forwarder
	// FailureDomain is the node's own, for the policy in force.
	FailureDomain string
	// Stopping says whether the node takes no new requests; nil never does.
	Stopping func() bool
	// Context ends when the node may run nothing any more; nil means never.
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
	if config.Stopping == nil {
		config.Stopping = func() bool { return false }
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

// serve admits a call and runs it the way its service allows.
func (h *Handler) serve(ctx context.Context, c *call) (*result, error) {
	if h.config.Stopping() {
		return nil, h.withKeyRan(ctx, c, zinniamast.Refuse(zinniamast.ReasonStopping,
			"the instance is stopping; ask again").After(stoppingRetryAfter))
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
	case issuedkeys.Is(c.key):
		return h.runIssued(ctx, c)
	default:
		return h.runClaimed(ctx, c)
	}
}

const stoppingRetryAfter = time.Second

// withKeyRan makes a refusal honest about a key that may have been sent before.
//
// Failure: a caller loses the answer to its booking, sends the key again, and
// this node refuses for a reason of its own. Nothing ran for the second
// request, but a caller who reads "not run" and takes a new key books twice.
func (h *Handler) withKeyRan(ctx context.Context, c *call, refusal *zinniamast.Refusal) *zinniamast.Refusal {
	if refusal.Ran != zinniamast.NotRun || c.key == "" || c.isIdempotent {
		return refusal
	}
	return refusal.With(h.keyRan(ctx, c))
}

// keyRan tells what can be known of a key.
func (h *Handler) keyRan(ctx context.Context, c *call) zinniamast.Ran {
	switch {
	case c.isFirstSending:
		return zinniamast.NotRun
	case issuedkeys.Is(c.key) && h.config.Issuer != nil:
		return h.config.Issuer.Known(c.key)
	case c.service.ChecksKeys:
		return zinniamast.Unknown
	default:
		return h.config.Claims.Known(context.WithoutCancel(ctx), c.claimsCall())
	}
}

// refuse answers, counts and logs a refusal.
func (h *Handler) refuse(w http.ResponseWriter, c *call, refusal *zinniamast.Refusal) {
	h.metrics.countRefusal(refusal)
	h.config.Logger.Info("service call refused", "organisation", c.organisation, "path", c.path,
		"reason", refusal.Reason, "ran", refusal.Ran, "message", refusal.Message)
	caller.WriteRefusal(w, refusal)
}

// newID returns a name for an attempt or a request.
func newID() string { return rand.Text() }
