package forward

import (
	"zinniamast"
	"zinniamast/blackboard"
)

// recordOrigin records which replica brings the first event of an answer. From then on the
// stream goes on only at its software version.
func (h *Handler) recordOrigin(c *call, upstream *blackboard.Upstream) {
	if !c.resumes {
		c.resumes, c.version = true, upstream.Instance.Version
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
