package throttle

import (
	"time"

	"zinniamast/blackboard"
)

// recordRest records that a replica wants no request from this node for some time; zero if it
// did not say so.
func (t *Throttle) recordRest(upstream *blackboard.Upstream, rest time.Duration) {
	if rest == 0 {
		return
	}
	t.rested.Inc()
	t.config.Logger.Info("replica asks for rest", "replica", upstream.Instance.ID, "service", upstream.Instance.Service,
		"for", rest, "running_here", upstream.Inflight())
}
