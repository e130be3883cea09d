package forward_test

import (
	"fmt"
	"testing"
	"time"
)

// The retry budget of all nodes together: so many more arrivals of requests at replicas than the
// first of each are allowed within a period.
const (
	retryRatio  = 0.2
	retrySlack  = 52
	retryPeriod = 10 * time.Second
)

// loadBounds are what a load play must give, by the goals of docs/hard-load.md. Zero sets no bound.
type loadBounds struct {
	// served is the least part that each kind of groups gets served in each play, and each group in
	// all plays together.
	served map[string]float64
	// onTarget is the least part that is served within the target, of each kind and group likewise.
	onTarget float64
	// ofMean is the least part of each kind and group, as a part of that of all requests, and
	// sizeOfMean that of each size as a part of that of its kind.
	ofMean     float64
	sizeOfMean float64
	// total is the least part of all requests in all plays together, of impatient and of patient
	// callers. The goal is that it is no less than on the code at 265e167, on which it was measured
	// (rounded down).
	total [2]float64
}

// groupsOfKind sums the counts of the groups by their kind, in the order of the groups.
func (p *loadPlay) groupsOfKind(counts []groupCounts) (kinds []string, sums map[string]*groupCounts, total groupCounts) {
	sums = map[string]*groupCounts{}
	for i, g := range p.groups {
		kind := g.kind
		if kind == "" {
			kind = g.name
		}
		if sums[kind] == nil {
			kinds = append(kinds, kind)
			sums[kind] = &groupCounts{}
		}
		sums[kind].add(counts[i])
		total.add(counts[i])
	}
	return kinds, sums, total
}

// judge plays the play with each seed, with callers that try again at once and with patient ones.
func (p loadPlay) judge(t *testing.T, seeds int, b loadBounds) {
	// The race detector takes eight times as long, but a bound on the total is of all seeds together.
	if testing.Short() && b.total == [2]float64{} {
		seeds = 1
	}
	for i, name := range []string{"impatient", "patient"} {
		p.isPatient = i == 1
		t.Run(name, func(t *testing.T) {
			sums := make([]groupCounts, len(p.groups))
			for seed := uint64(1); seed <= uint64(seeds); seed++ {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					w := p.run(t, seed)
					p.check(t, w, b)
					for g := range sums {
						sums[g].add(w.counts[g])
					}
				})
			}
			p.checkAll(t, sums, b, b.total[i])
		})
	}
}

// check checks one play.
func (p *loadPlay) check(t *testing.T, w *loadWorld, b loadBounds) {
	kinds, sums, total := p.groupsOfKind(w.counts)
	for _, kind := range kinds {
		c := sums[kind]
		t.Logf("%s: %v", kind, c)
		if least, ok := b.served[kind]; ok && c.served() < least {
			t.Errorf("%s: %.3f served, less than %.3f", kind, c.served(), least)
		}
		if c.servedInTime() < b.onTarget {
			t.Errorf("%s: %.3f served within the target, less than %.3f", kind, c.servedInTime(), b.onTarget)
		}
		if c.served() < b.ofMean*total.served() {
			t.Errorf("%s: %.3f served, less than %.2f of the mean %.3f", kind, c.served(), b.ofMean, total.served())
		}
		for i, s := range c.bySize {
			if s.served() < b.sizeOfMean*c.served() {
				t.Errorf("%s: %.3f served of size %d, less than %.2f of the mean %.3f", kind, s.served(), i, b.sizeOfMean, c.served())
			}
		}
	}
	t.Logf("all: %.3f served of %d", total.served(), total.sent)
	repeats, allowed := w.retries()
	t.Logf("%d retries, %.0f allowed", repeats, allowed)
	if float64(repeats) > allowed {
		t.Errorf("%d retries in %v, more than %.0f", repeats, retryPeriod, allowed)
	}
}

// checkAll checks the sums of all plays, in which small groups are large enough to be judged alone.
func (p *loadPlay) checkAll(t *testing.T, sums []groupCounts, b loadBounds, leastTotal float64) {
	_, _, total := p.groupsOfKind(sums)
	for i, g := range p.groups {
		c := &sums[i]
		kind := g.kind
		if kind == "" {
			kind = g.name
		}
		if least, ok := b.served[kind]; ok && c.served() < least {
			t.Errorf("%s: %.3f served in all plays, less than %.3f", g.name, c.served(), least)
		}
		if c.servedInTime() < b.onTarget {
			t.Errorf("%s: %.3f served within the target in all plays, less than %.3f", g.name, c.servedInTime(), b.onTarget)
		}
		if c.served() < b.ofMean*total.served() {
			t.Errorf("%s: %.3f served in all plays, less than %.2f of the mean %.3f", g.name, c.served(), b.ofMean, total.served())
		}
	}
	t.Logf("all plays: %.3f served of %d", total.served(), total.sent)
	if total.served() < leastTotal {
		t.Errorf("%.3f served in all plays, less than %.3f", total.served(), leastTotal)
	}
}

// retries returns the number of retries in the period of the play in which they use most of the
// budget, and how many it allowed.
func (w *loadWorld) retries() (repeats int, allowed float64) {
	allowed = retrySlack
	firstRepeat, firstRequest, lastRequest := 0, 0, 0
	for i, at := range w.repeats {
		for w.repeats[firstRepeat] <= at-retryPeriod {
			firstRepeat++
		}
		for lastRequest < len(w.requests) && w.requests[lastRequest] <= at {
			lastRequest++
		}
		for firstRequest < lastRequest && w.requests[firstRequest] <= at-retryPeriod {
			firstRequest++
		}
		count, limit := i+1-firstRepeat, retryRatio*float64(lastRequest-firstRequest)+retrySlack
		if float64(count)/limit > float64(repeats)/allowed {
			repeats, allowed = count, limit
		}
	}
	return repeats, allowed
}
