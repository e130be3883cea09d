// Package capacity decides which instances are bought and returned, and which
// models engines are ordered to load. [Plan] and [Orders.Plan] do no I/O;
// [Controller] runs them and carries out their results under a lease.
package capacity

import (
	"time"

	"zinniamast"
)

// Class is an instance class.
type Class struct {
	// Name is the class's name in offers.
	Name string `json:"name"`
	// Units is how many tokens a second one instance generates at the latency target.
	Units float64 `json:"units"`
}

// Demand is what one service needs.
type Demand struct {
	// Service is the name of the model deployment or plain service.
	Service string
	// Role is engine or service.
	Role string
	// Units is the capacity that must remain after the loss of any one failure
	// domain, in tokens a second at the latency target.
	Units float64
	// Reclaimable is the largest share of the units that may be reclaimable, 0 to 1.
	Reclaimable float64
	// Models are the models, adapters and versions that each replica must have loaded.
	Models []string
}

// Instance is an instance together with what the plan needs to know about it.
type Instance struct {
	zinniamast.Instance
	// Price is the last known price per hour of its failure domain, class and market.
	Price float64
	// Ready means that it serves; an instance that is not ready is starting or loading.
	Ready bool
}

// peakTracker keeps the highest recent demand of each service. A rise in demand
// takes effect at once, a fall only after the window, since an instance that is
// returned in a lull and bought back must load its weights again each time.
type peakTracker struct {
	window time.Duration
	peaks  map[string][]peak
}

type peak struct {
	at    time.Time
	units float64
}

func newPeakTracker(window time.Duration) *peakTracker {
	return &peakTracker{
		window: window,
		peaks:  map[string][]peak{},
	}
}

// apply raises each demand to its highest value within the window.
func (h *peakTracker) apply(now time.Time, demands []Demand) []Demand {
	held := make([]Demand, len(demands))
	for i, d := range demands {
		peaks := h.peaks[d.Service]
		// Peaks are in descending order, so the first is the highest.
		for len(peaks) > 0 && peaks[len(peaks)-1].units <= d.Units {
			peaks = peaks[:len(peaks)-1]
		}
		peaks = append(peaks, peak{
			at:    now,
			units: d.Units,
		})
		for now.Sub(peaks[0].at) > h.window {
			peaks = peaks[1:]
		}
		h.peaks[d.Service] = peaks
		d.Units = peaks[0].units
		held[i] = d
	}
	return held
}
