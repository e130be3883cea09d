package services

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"zinniamast"
)

// lookupRetryAfter is when an unknown outcome may have been cleared up.
const lookupRetryAfter = 30 * time.Second

// lookupKeyPlaceholder stands for the key in a service's lookup path.
const lookupKeyPlaceholder = "{key}"

// resolveByLookup asks the service what became of a key whose outcome is unknown, and
// reports whether the claim was decided. "Not run" is decided only once the
// claim has settled: until then the call may still be on its way.
func (h *Handler) resolveByLookup(ctx context.Context, c *call) bool {
	if c.service.LookupPath == "" {
		return false
	}
	asked := *c
	asked.method = http.MethodGet
	asked.path = strings.ReplaceAll(c.service.LookupPath, lookupKeyPlaceholder, url.PathEscape(c.upstreamKey()))
	asked.body = nil
	asked.header = http.Header{}
	answer, err := h.newAttempts(&asked).attempt(ctx)
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
		h.config.Logger.Info("lookup decided nothing", "service", c.service.Name, "key", c.key,
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
