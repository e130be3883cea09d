package processtest

import (
	"context"
	"fmt"
	"time"

	"zinniamast"
	"zinniamast/load"
)

// TargetURLs returns the base URLs at which callers reach the nodes through their links.
func (f *Fleet) TargetURLs() []string {
	var targets []string
	for _, n := range f.Nodes {
		targets = append(targets, n.Callers.URL())
	}
	return targets
}

// StandinURLs returns the base URLs, without links, of all engines and of one
// service replica. One replica is enough, since all share one ledger.
func (f *Fleet) StandinURLs() []string {
	var urls []string
	services := 0
	for _, u := range f.Upstreams {
		if u.Engine == nil {
			services++
			if services > 1 {
				continue
			}
		}
		urls = append(urls, u.directURL)
	}
	return urls
}

// LoadRun is a load that runs concurrently with a test.
type LoadRun struct {
	fleet  *Fleet
	done   chan struct{}
	report *load.Report
	err    error
}

// StartLoad starts a load against the fleet. It sets the targets, simulated upstreams,
// key, model and service, and the margin and deadline if they are zero.
func (f *Fleet) StartLoad(c load.Config) *LoadRun {
	f.tb.Helper()
	c.Targets = f.TargetURLs()
	c.Standins = f.StandinURLs()
	c.Keys = []string{Key}
	c.Model = Model
	c.Service = Service
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 2 * time.Second
	}
	if c.Deadline == 0 {
		c.Deadline = 20 * time.Second
	}
	d := &LoadRun{
		fleet: f,
		done:  make(chan struct{}),
	}
	go func() {
		defer close(d.done)
		d.report, d.err = load.Run(context.Background(), c)
	}()
	return d
}

// Report waits until the load ends and returns its report.
func (d *LoadRun) Report() *load.Report {
	d.fleet.tb.Helper()
	<-d.done
	if d.err != nil {
		d.fleet.tb.Fatal(d.err)
	}
	return d.report
}

// Summary returns a report as one line for the test's log.
func Summary(r *load.Report) string {
	return fmt.Sprintf("sent=%d whole=%d late=%d not_run=%d ran=%d unknown=%d lost=%d doubled=%d recomputed=%d refused=%v retried=%v gap_p99_ms=%.0f violations=%q",
		r.Sent, r.Whole, r.Late, r.NotRun, r.Ran, r.Unknown, r.Lost, r.Doubled, r.RecomputedTokens,
		r.RefusedByReason, r.RetriedByReason, r.BetweenTokensMS.P99, r.Violations)
}

// Reclaim announces the reclamation of an upstream and cuts its link when the notice
// has expired.
func (f *Fleet) Reclaim(u *Upstream, notice time.Duration) {
	f.Platform.Cloud.Reclaim(u.Instance.ID, notice)
	f.cutAfter(notice, u)
}

// ReclaimDomain announces the reclamation of all reclaimable upstreams of a failure
// domain and cuts their links when the notice has expired.
func (f *Fleet) ReclaimDomain(domain string, notice time.Duration) {
	f.Platform.Cloud.ReclaimDomain(domain, notice)
	var leaving []*Upstream
	for _, u := range f.Upstreams {
		if u.Instance.FailureDomain == domain && u.Instance.Market == zinniamast.Reclaimable {
			leaving = append(leaving, u)
		}
	}
	f.cutAfter(notice, leaving...)
}

// ReclaimNode announces the reclamation of an entry instance and kills its process
// when the notice has expired, even if it is not idle.
func (f *Fleet) ReclaimNode(n *Node, notice time.Duration) {
	f.Platform.Cloud.Reclaim(n.Name, notice)
	process := n.Process
	timer := time.AfterFunc(notice, process.Kill)
	f.tb.Cleanup(func() { timer.Stop() })
}

func (f *Fleet) cutAfter(after time.Duration, leaving ...*Upstream) {
	timer := time.AfterFunc(after, func() {
		for _, u := range leaving {
			u.Link.Cut()
		}
	})
	f.tb.Cleanup(func() { timer.Stop() })
}
