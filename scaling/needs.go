package scaling

import "time"

// shrinkStarts is for how many start times fewer replicas must do before some
// are given back: waves last longer than a start. A cheaper replica that is there
// replaces a dearer one at once.
const shrinkStarts = 2

// need is how many replicas a service needs at a time.
type need struct {
	// least must be there at any price.
	least int
	// wanted shall be there where it is cheap.
	wanted int
	at     time.Time
}

// Needs remembers how many replicas a service needed lately.
type Needs struct {
	// Start is how long a replica takes to start.
	Start time.Duration

	seen []need
}

// Add takes in a need and forgets those that are too old to count.
func (n *Needs) Add(least, wanted int, now time.Time) {
	kept := n.seen[:0]
	for _, known := range n.seen {
		if now.Sub(known.at) < shrinkStarts*n.Start {
			kept = append(kept, known)
		}
	}
	n.seen = append(kept, need{
		least:  least,
		wanted: wanted,
		at:     now,
	})
}

// Least is what must be there at any price: the most of the time that a replica
// takes to start.
//
// Load: a crowd has passed, and eight seconds after its peak a failure domain
// goes. 46 replicas were bought on demand for the peak while 138 others stood
// before a need of 96.
func (n *Needs) Least(now time.Time) int {
	most := 0
	for _, known := range n.seen {
		if now.Sub(known.at) < n.Start {
			most = max(most, known.least)
		}
	}
	return most
}

// Wanted is what shall be there where it is cheap: the most of a longer time.
func (n *Needs) Wanted(now time.Time) int {
	most := 0
	for _, known := range n.seen {
		if now.Sub(known.at) < shrinkStarts*n.Start {
			most = max(most, known.wanted)
		}
	}
	return most
}
