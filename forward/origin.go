package forward

import (
	"context"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/routes"
)

// findOrigin finds the software version of a stream that the caller resumes. If that is not
// known, the request is refused: events of two versions do not fit together.
func (h *Handler) findOrigin(ctx context.Context, c *call) *zinniamast.Refusal {
	if c.route.Kind != routes.Stream || c.metadata.LastEventID == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	version, ok := h.config.Origins.Find(ctx, c.service, c.stream())
	if !ok {
		return zinniamast.Refuse(zinniamast.ReasonUnresumable,
			"the software version that began the stream is not known; start it anew, without Last-Event-ID")
	}
	c.resumes, c.version = true, version
	return nil
}

// stream returns the ID of the request's stream: that of the caller's attempt that brought
// the first event.
func (c *call) stream() string {
	if c.metadata.Resumes != "" {
		return c.metadata.Resumes
	}
	return c.metadata.ID
}

// recordOrigin records which replica brings the first event of an answer. From then on the
// stream goes on only at its software version.
func (h *Handler) recordOrigin(c *call, upstream *blackboard.Upstream) {
	if !c.resumes {
		c.resumes, c.version = true, upstream.Instance.Version
	}
	if c.route.Repeatable() {
		h.config.Origins.Began(c.service, c.stream(), c.version)
	}
}

// versionRefusal returns the refusal of a stream whose software version has no replica any
// more; nil if it has one, or if the request is no begun stream.
func (h *Handler) versionRefusal(c *call) *zinniamast.Refusal {
	if !c.resumes {
		return nil
	}
	request := h.routeRequest(c, nil)
	for _, u := range h.config.Upstreams.Of(c.service) {
		if u.Accepts(request) {
			return nil
		}
	}
	return zinniamast.Refuse(zinniamast.ReasonUnresumable,
		"no replica of the software version that began the stream is left; start it anew, without Last-Event-ID")
}
