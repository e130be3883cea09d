package checker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"zinniamast"
)

// Checker records requests and outcomes. It is safe for concurrent use.
type Checker struct {
	mu            sync.Mutex
	entries       map[string]*entry
	order         []string
	strayOutcomes []string
}

// entry is one request with the outcomes that its caller received.
type entry struct {
	request  Request
	outcomes []Outcome
}

// New returns an empty checker.
func New() *Checker {
	return &Checker{entries: map[string]*entry{}}
}

// RecordSent records a request before its first byte is sent. It returns an
// error if the ID is recorded already.
func (c *Checker) RecordSent(r Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.entries[r.ID]; ok {
		return fmt.Errorf("checker: request %s is recorded already", r.ID)
	}
	c.entries[r.ID] = &entry{
		request: r,
	}
	c.order = append(c.order, r.ID)
	return nil
}

// RecordOutcome records the final outcome of a request. An outcome for a request
// that was never sent is reported as a violation.
func (c *Checker) RecordOutcome(id string, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recorded, ok := c.entries[id]
	if !ok {
		c.strayOutcomes = append(c.strayOutcomes, id)
		return
	}
	recorded.outcomes = append(recorded.outcomes, outcome)
}

// Pending returns the requests without an outcome, in the order they were sent.
func (c *Checker) Pending() []Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []Request
	for _, id := range c.order {
		if recorded := c.entries[id]; len(recorded.outcomes) == 0 {
			open = append(open, recorded.request)
		}
	}
	return open
}

// Reconcile compares the outcomes with the runs. Margin is how long after its
// deadline a caller may receive a failure before the request counts as lost.
func (c *Checker) Reconcile(runs Runs, margin time.Duration) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := newVerdict()
	owners := c.owners()
	for _, id := range c.order {
		v.checkRequest(c.entries[id], runs[id], owners, margin)
	}
	for _, id := range c.strayOutcomes {
		v.NotWhole++
		v.addViolation("%s: an outcome came for a request that was never sent", id)
	}
	c.checkStrayRuns(&v, runs)
	v.countAccepted()
	return v
}

// owners maps each expected answer to the requests that expect it.
func (c *Checker) owners() map[string][]string {
	owners := map[string][]string{}
	for _, id := range c.order {
		expected := c.entries[id].request.Expected
		owners[expected] = append(owners[expected], id)
	}
	return owners
}

// checkStrayRuns reports runs of requests that no caller sent.
func (c *Checker) checkStrayRuns(v *Verdict, runs Runs) {
	var strayIDs []string
	for id, count := range runs {
		if _, ok := c.entries[id]; !ok && count > 0 {
			strayIDs = append(strayIDs, id)
		}
	}
	slices.Sort(strayIDs)
	for _, id := range strayIDs {
		v.StrayRuns++
		v.addViolation("%s: ran %d times although no caller sent it", id, runs[id])
	}
}

// ReportedRuns returns the runs that follow from the outcomes. It is used where
// nothing counts the actual runs, so that only answers and outcomes are checked.
func (c *Checker) ReportedRuns() Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := Runs{}
	for id, recorded := range c.entries {
		for _, outcome := range recorded.outcomes {
			if outcome.Whole || outcome.Ran == zinniamast.DidRun {
				runs[id] = 1
			}
		}
	}
	return runs
}
