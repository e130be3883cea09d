package experiment

import "time"

// schedule sets up the external events: request arrivals, load reports, router
// ticks, reclaims and restarts.
func (w *world) schedule() {
	for i := range w.scenario.Kinds {
		w.scheduleArrivals(&w.scenario.Kinds[i])
	}
	w.every(time.Second, w.recordLoads)
	for _, n := range w.nodes {
		if n.routingRouter != nil {
			w.after(time.Duration(w.random.IntN(250))*time.Millisecond, func() { w.tick(n) })
		}
	}
	if w.scenario.ReclaimAt > 0 {
		w.after(w.scenario.ReclaimAt, func() { w.reclaimDomain(w.domains[0]) })
	}
	if w.scenario.RestartEvery > 0 {
		w.every(w.scenario.RestartEvery, w.restartOldest)
	}
}

// scheduleArrivals schedules the next request of one kind, and so on until the scenario ends.
func (w *world) scheduleArrivals(kind *Kind) {
	passed := w.now.Sub(w.start)
	if passed > w.scenario.Length {
		return
	}
	rate := kind.Rate * w.scenario.Load
	if kind.Class == bulk && w.scenario.FloodAt > 0 && passed >= w.scenario.FloodAt {
		rate *= w.scenario.FloodFactor
	}
	isBursting := w.scenario.BurstAt > 0 && passed >= w.scenario.BurstAt
	largest := w.source.organisations[0].RequestFraction
	if isBursting {
		rate *= 1 + largest*(w.scenario.BurstFactor-1)
	}
	wait := time.Duration(w.source.random.ExpFloat64() / rate * float64(time.Second))
	w.after(wait, func() {
		organisation := w.source.organisation()
		if isBursting {
			organisation = w.source.organisationDuringBurst(w.scenario.BurstFactor)
		}
		q := w.source.draw(kind, organisation, w.now)
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.arrive(n, q)
		w.scheduleArrivals(kind)
	})
}
