package experiment

import (
	"context"
	"time"

	"zinniamast"
)

// tickInterval is how often the router of a node publishes its state and polls replicas.
const tickInterval = 250 * time.Millisecond

// tick makes a node publish its state and poll replicas, which outside the
// experiment its own goroutines do.
func (w *world) tick(n *node) {
	n.routingRouter.Tick(context.Background())
	if n.limiter != nil {
		n.limiter.Tick()
	}
	w.after(tickInterval, func() { w.tick(n) })
}

// Load implements zinniamast.Engine.
func (r *replica) Load(context.Context) (zinniamast.LoadReport, error) {
	return r.delayedReport(r.world.now, r.world.scenario.ReportLag), nil
}

// CacheEvents implements zinniamast.Engine; events arrive late and with gaps.
func (r *replica) CacheEvents(_ context.Context, after uint64) ([]zinniamast.CacheEvent, error) {
	var events []zinniamast.CacheEvent
	for _, event := range r.cache.since(after, r.world.now.Add(-r.world.scenario.EventLag)) {
		if r.world.scenario.EventGap == 0 || event.Sequence%uint64(r.world.scenario.EventGap) != 0 {
			events = append(events, event)
		}
	}
	return events, nil
}
