package reports

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// readInterval is how often a replica is asked. Reports are some hundred
	// milliseconds old as they come, and requests run for a second or two: asking
	// more often would tell little more. A question is priced as a health check.
	readInterval = 300 * time.Millisecond
	// readTimeout bounds one question; what comes later says nothing of now.
	readTimeout = 250 * time.Millisecond
	// concurrentReads bounds the connections that are open for it at once.
	concurrentReads = 16
	// lag is how old a reading is as it comes, as the platform states it.
	lag = 100 * time.Millisecond
)

// readAll asks the replicas of this failure domain.
func (s *Sharer) readAll(ctx context.Context) {
	var mu sync.Mutex
	var read []Report
	var group errgroup.Group
	group.SetLimit(concurrentReads)
	for _, u := range s.config.Upstreams.All() {
		if u.Leaving() || u.Instance.FailureDomain != s.config.FailureDomain || s.config.Plain(u.Instance.Service) {
			continue
		}
		group.Go(func() error {
			report, ok := s.read(ctx, u)
			if ok {
				mu.Lock()
				defer mu.Unlock()
				read = append(read, report)
			}
			return nil
		})
	}
	_ = group.Wait() // No function returns an error.
	s.take(read)
}

// read asks one replica. A question that fails says nothing: the requests
// themselves show whether the replica works.
func (s *Sharer) read(ctx context.Context, u *blackboard.Upstream) (Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	load, err := s.config.Source.Load(ctx, u)
	if err != nil {
		s.config.Logger.Debug("no report", "replica", u.Instance.ID, "cause", err)
		return Report{}, false
	}
	return Report{
		Replica:       u.Instance.ID,
		FailureDomain: u.Instance.FailureDomain,
		Age:           lag + time.Since(began),
		Running:       load.Running,
		Waiting:       load.Waiting,
		QueuedTokens:  s.queued(u.Instance.Service, load),
	}, true
}

// queued estimates the prompt tokens that a replica has yet to compute: what
// waits there whole, and half of what it is at, in prompts of the mean length.
func (s *Sharer) queued(service string, load zinniamast.LoadReport) int {
	prompts := float64(load.Waiting) + float64(load.Prefilling)/2
	return int(prompts * s.config.Demand.MeanPrompt(service))
}
