package services

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"zinniamast"
)

// lookupRetryAfter is the delay after which an unknown outcome may have been
// resolved.
const lookupRetryAfter = 30 * time.Second

// lookupKeyPlaceholder is the placeholder of the key in a service's lookup path.
const lookupKeyPlaceholder = "{key}"

// resolveByLookup queries the service for a key whose outcome is unknown and
// reports whether the claim was resolved. A claim is resolved as "not run" only
// after it has settled: until then the call may still be in flight.
func (h *Handler) resolveByLookup(ctx context.Context, c *call) bool {
	if c.service.LookupPath == "" {
		return false
	}
	query := *c
	query.method = http.MethodGet
	query.path = strings.ReplaceAll(c.service.LookupPath, lookupKeyPlaceholder, url.PathEscape(c.upstreamKey()))
	query.body = nil
	query.header = http.Header{}
	answer, err := h.newAttempts(&query).attempt(ctx)
	if err != nil {
		return false
	}
	var ran bool
	switch answer.Status {
	case http.StatusOK:
		ran = true
	case http.StatusNotFound:
	default:
		return false
	}
	err = h.config.Claims.Resolve(ctx, c.organisation, c.service.Name, c.key, ran, "lookup")
	if err != nil {
		h.config.Logger.Info("lookup did not resolve the claim", "service", c.service.Name, "key", c.key,
			"ran", ranFromBool(ran), "cause", err)
	}
	return err == nil
}

func ranFromBool(ran bool) zinniamast.Ran {
	if ran {
		return zinniamast.DidRun
	}
	return zinniamast.NotRun
}
