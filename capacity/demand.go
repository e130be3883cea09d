// Package capacity decides which instances are bought and returned, and what
// engines are ordered to load. Plan and PlanOrders are pure; Controller runs
// them under a lease.
package capacity

import (
	"time"

	"zinniamast"
)

// Class is a machine class.
type Class struct {
	// Name is the class's name in offers.
	Name string `json:"name"`
	// Units is how many tokens a second one instance gives at the latency target.
	Units float64 `json:"units"`
}

// Demand is what one service needs.
type Demand struct {
	// Service is the model deployment or plain service.
	Service string
	// Role is engine or service.
	Role string
	// Units is what must be there after the loss of any one failure domain, in
	// tokens a second at the latency target.
	Units float64
	// Reclaimable bounds the part of the units that may be reclaimable, 0 to 1.
	Reclaimable float64
	// Models are the models, adapters and versions that each replica shall hold.
	Models []string
}

// Instance is an instance as the controller knows it.
type Instance struct {
	zinniamast.Instance
	// Price is the last known price per hour of its kind.
	Price float64
	// Ready means that it serves; another is starting or loading.
	Ready bool
}

// peakTracker remembers the highest demand of late. Demand that rises is met at once;
// demand that falls is believed after a while only, since an instance returned
// in a lull and bought back costs a load of its weights each time.
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
		// Peaks fall from first to last, so the first is the highest.
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
