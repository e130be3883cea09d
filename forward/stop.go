package forward

import (
	"time"

	"zinniamast"
)

// stoppingRetryAfter is the retry delay sent by a stopping node. It is short
// because the retry reaches another node.
const stoppingRetryAfter = 50 * time.Millisecond

// checkStop refuses a request that this node may have to abort before its deadline, as it stops.
// Another node can still run it.
func (h *Handler) checkStop(c *call) *zinniamast.Refusal {
	stopsAt := h.config.StopsAt()
	if stopsAt.IsZero() || !c.deadline.After(stopsAt) {
		return nil
	}
	return refusalOfStop()
}

// refusalOfStop returns the refusal of a request that another node is to take.
func refusalOfStop() *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonStopping, "this node stops").WithRetryAfter(stoppingRetryAfter)
}
