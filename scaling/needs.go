package scaling

import "time"

// desiredWindowStarts is the number of boot times over which the desired number
// keeps its maximum, because waves of load last longer than a boot. A cheaper
// replica that is present replaces a more expensive one at once.
const desiredWindowStarts = 2

// need is how many replicas a service needs at one time.
type need struct {
	// required replicas must be present at any price.
	required int
	// desired replicas are to be present where they are cheap.
	desired int
	at      time.Time
}

// NeedHistory records how many replicas a service needed recently.
type NeedHistory struct {
	// BootTime is how long a replica takes to start.
	BootTime time.Duration

	recent []need
}

// IsEmpty reports whether no need is recorded.
func (n *NeedHistory) IsEmpty() bool { return len(n.recent) == 0 }

// Add records a need and removes those that have expired.
func (n *NeedHistory) Add(required, desired int, now time.Time) {
	retained := n.recent[:0]
	for _, past := range n.recent {
		if now.Sub(past.at) < desiredWindowStarts*n.BootTime {
			retained = append(retained, past)
		}
	}
	n.recent = append(retained, need{
		required: required,
		desired:  desired,
		at:       now,
	})
}

// Required returns how many replicas must be present at any price: the maximum
// over one boot time.
//
// Over a longer time, on-demand replicas are bought for a peak that has passed:
// if a failure domain is reclaimed eight seconds after the peak, 46 of them are
// bought although 138 others cover a need of 96.
func (n *NeedHistory) Required(now time.Time) int {
	most := 0
	for _, past := range n.recent {
		if now.Sub(past.at) < n.BootTime {
			most = max(most, past.required)
		}
	}
	return most
}

// Desired returns how many replicas are to be present where they are cheap: the
// maximum over desiredWindowStarts boot times.
func (n *NeedHistory) Desired(now time.Time) int {
	most := 0
	for _, past := range n.recent {
		if now.Sub(past.at) < desiredWindowStarts*n.BootTime {
			most = max(most, past.desired)
		}
	}
	return most
}
