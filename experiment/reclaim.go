package experiment

import (
	"slices"
	"time"

	"zinniamast"
)

// reclaimDomain reclaims all replicas of a failure domain; their replacements
// start later with empty caches.
func (w *world) reclaimDomain(domain string) {
	for _, r := range slices.Clone(w.replicas) {
		if r.instance.FailureDomain == domain && !r.removed {
			w.reclaim(r, w.scenario.ReplaceAfter)
		}
	}
}

// reclaim removes one replica when its notice expires and starts a replacement later.
func (w *world) reclaim(r *replica, replace time.Duration) {
	r.leaving = true
	w.after(noticePropagation, func() {
		for _, n := range w.nodes {
			n.board.Upstreams.MarkLeaving(r.instance.ID, r.world.now.Add(reclaimNotice-noticePropagation))
		}
	})
	w.after(reclaimNotice, func() { w.remove(r) })
	w.after(reclaimNotice+replace, func() { w.addReplica(r.instance.FailureDomain, r.instance.Class == "slow") })
}

func (w *world) remove(r *replica) {
	r.removed = true
	r.stopped = w.now
	for _, n := range w.nodes {
		n.board.Upstreams.Remove(r.instance.ID)
	}
	for _, jobs := range [][]*job{r.running, r.waiting} {
		for _, j := range jobs {
			if !j.ended {
				w.fail(j, zinniamast.FailureRefused)
			}
		}
	}
}

func (w *world) restartOldest() {
	for _, r := range w.replicas {
		if !r.removed && !r.leaving {
			w.reclaim(r, 0)
			return
		}
	}
}
