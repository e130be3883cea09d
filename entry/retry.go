package entry

import (
	"time"

	"zinniamast/roster"
)

// firstRosterDelay is the time in which the instances of a deployment that starts for the
// first time have announced themselves and have read the roster.
const firstRosterDelay = 2 * rosterStartInterval

// lateArrival bounds the time from a repeated send to its arrival at the replica.
const lateArrival = time.Second

// retryNodes returns the number of entry instances that share the slack of the retry budget,
// including those that are partitioned from this one. It is zero while this instance is not
// on the roster: the others do not leave it a share then.
func (e *Entry) retryNodes() int {
	if !e.roster.IsListed() {
		return 0
	}
	return len(e.roster.Instances())
}

// retriesEarnedFrom returns the time from which no window contains sends of this instance's
// process before this one.
func (e *Entry) retriesEarnedFrom() time.Time {
	switch e.roster.Origin() {
	case roster.OriginFirst, roster.OriginJoined:
		return e.created
	default:
		return e.created.Add(e.config.Settings.Bounds.RetryWindow + lateArrival)
	}
}

// retriesSharedFrom returns the time from which the other instances have left this one its
// share of the slack for a whole window.
func (e *Entry) retriesSharedFrom() time.Time {
	window := e.config.Settings.Bounds.RetryWindow
	switch e.roster.Origin() {
	case roster.OriginFirst:
		return e.created.Add(firstRosterDelay)
	case roster.OriginRestarted:
		return e.created.Add(window + lateArrival)
	default:
		// The others learn of this instance within the first window.
		return e.created.Add(2 * window)
	}
}
