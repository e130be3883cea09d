package limits

import (
	"math"
	"time"
)

// receivedUsage is the latest usage received from one process or one failure domain.
type receivedUsage struct {
	items   []usageItem
	at      time.Time
	expires time.Time
}

// processKey identifies the process of a node that published usage.
type processKey struct {
	node    string
	process string
}

// remoteUsage is the usage received from others: by process within the own failure
// domain, and as one sum for each other failure domain.
type remoteUsage struct {
	processes map[processKey]receivedUsage
	domains   map[string]receivedUsage
	// sums holds the sums by account as of sumsAt.
	sums   map[uint64]totals
	sumsAt time.Time
	// interval is the time between the reports of a process.
	interval time.Duration
}

func newRemoteUsage() remoteUsage {
	return remoteUsage{
		processes: map[processKey]receivedUsage{},
		domains:   map[string]receivedUsage{},
		sums:      map[uint64]totals{},
		interval:  minUsageInterval,
	}
}

// expire deletes usage that was not renewed in time: a partitioned failure domain
// does not compete for the capacity of this one, so its share goes to the
// organisations that are active here.
func (r *remoteUsage) expire(now time.Time) {
	isChanged := deleteExpired(r.processes, now)
	isChanged = deleteExpired(r.domains, now) || isChanged
	if isChanged || now.Sub(r.sumsAt) > sumInterval {
		r.sumUp(now)
	}
}

// sumInterval is how often the sums are computed if no report changes them.
const sumInterval = 500 * time.Millisecond

// deleteExpired reports whether it has deleted a report.
func deleteExpired[K comparable](received map[K]receivedUsage, now time.Time) bool {
	isChanged := false
	for origin, report := range received {
		if now.After(report.expires) {
			delete(received, origin)
			isChanged = true
		}
	}
	return isChanged
}

// sumUp computes the sums again after a report has changed.
func (r *remoteUsage) sumUp(now time.Time) {
	clear(r.sums)
	r.sumsAt = now
	for _, report := range r.processes {
		report.addTo(r.sums, now, r.interval)
	}
	for _, report := range r.domains {
		report.addTo(r.sums, now, r.interval)
	}
}

// addTo adds a report to sums by account. The work decays once the next report is
// overdue: a node that goes on uses as much as decays, whereas one that has died uses
// nothing.
func (r receivedUsage) addTo(sums map[uint64]totals, now time.Time, interval time.Duration) {
	factor := math.Exp(-float64(max(0, now.Sub(r.at)-overdueIntervals*interval)) / float64(usageWindow))
	for _, item := range r.items {
		t := sums[item.hash]
		t.offered += factor * item.offered
		t.admitted += factor * item.admitted
		sums[item.hash] = t
	}
}

// overdueIntervals is the number of intervals after which the next report is overdue.
const overdueIntervals = 2

// addTo adds the usage that others reported for a service.
func (r *remoteUsage) addTo(all map[uint64]totals, service uint32) {
	for hash, remote := range r.sums {
		if serviceOf(hash) != service {
			continue
		}
		t := all[hash]
		t.offered += remote.offered
		t.admitted += remote.admitted
		all[hash] = t
	}
}
