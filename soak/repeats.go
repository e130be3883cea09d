package soak

import (
	"slices"
	"strconv"
	"time"
)

// checkRepeats checks that the service got no more repeated sends in any window than the
// requests and the slack allow, over all instances and their processes.
func (d *deployment) checkRepeats(s *Summary) {
	var arrivals []time.Time
	first := map[string]time.Time{}
	for _, r := range d.allReplicas() {
		for _, run := range r.Runs() {
			if at, seen := first[run.ID]; !seen || run.Received.Before(at) {
				first[run.ID] = run.Received
			}
		}
	}
	for _, r := range d.allReplicas() {
		for _, run := range r.Runs() {
			if run.Received != first[run.ID] {
				arrivals = append(arrivals, run.Received)
			}
		}
	}
	d.mu.Lock()
	sent := slices.Clone(d.sentAt)
	d.mu.Unlock()
	within := func(times []time.Time, from time.Time) (count float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				count++
			}
		}
		return count
	}
	limit := d.retries
	for _, from := range arrivals {
		requests := max(within(sent, from), within(sent, from.Add(-retryWindow/2)), within(sent, from.Add(-retryWindow)))
		if allowed := limit.ratio*requests + float64(limit.slack); within(arrivals, from) > allowed {
			s.addViolation("%v repeated sends within %v, for %v requests; %v allowed", within(arrivals, from), retryWindow, requests, strconv.FormatFloat(allowed, 'g', 4, 64))
			return
		}
	}
}

// retryWindow is the window of the settings in which repeated sends are counted.
const retryWindow = 10 * time.Second
