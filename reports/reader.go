package reports

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniamast"
	"zinniamast/blackboard"
)

const (
	// readInterval is how often each replica is read. A report is some hundred
	// milliseconds old when it arrives, and requests run for a second or two, so more
	// frequent readings would add little. Each reading costs as much as a health
	// check.
	readInterval = 300 * time.Millisecond
	// maxReadsPerRound bounds the replicas that are read in one interval. If a failure domain
	// has more, they are read in turns: the reader's work and what all nodes receive would
	// otherwise grow with the fleet.
	maxReadsPerRound = 60
	// readTimeout bounds one reading; a later answer would be outdated.
	readTimeout = 250 * time.Millisecond
	// concurrentReads bounds the connections open for readings at one time.
	concurrentReads = 16
	// reportLag is the age of a report when a replica sends it, as the platform
	// states.
	reportLag = 100 * time.Millisecond
)

// turn returns the replicas of this failure domain that are read in the next round.
func (s *Sharer) turn() []*blackboard.Upstream {
	var all []*blackboard.Upstream
	for _, u := range s.config.Upstreams.All() {
		if u.Leaving() || u.Instance.FailureDomain != s.config.FailureDomain || s.config.IsPlain(u.Instance.Service) {
			continue
		}
		all = append(all, u)
	}
	if len(all) <= maxReadsPerRound {
		return all
	}
	slices.SortFunc(all, func(a, b *blackboard.Upstream) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	first, _ := slices.BinarySearchFunc(all, s.lastRead, func(u *blackboard.Upstream, id string) int {
		return cmp.Compare(u.Instance.ID, id+"\x00")
	})
	next := make([]*blackboard.Upstream, 0, maxReadsPerRound)
	for i := range maxReadsPerRound {
		next = append(next, all[(first+i)%len(all)])
	}
	s.lastRead = next[len(next)-1].Instance.ID
	return next
}

// readAll reads the replicas of this failure domain, or a part of them if they are many.
func (s *Sharer) readAll(ctx context.Context) {
	var mu sync.Mutex
	var read []Report
	var group errgroup.Group
	group.SetLimit(concurrentReads)
	for _, u := range s.turn() {
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
	s.apply(read)
}

// read reads one replica. A failed reading has no consequence: the requests
// themselves show whether the replica works.
func (s *Sharer) read(ctx context.Context, u *blackboard.Upstream) (Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	load, err := s.config.Source.Load(ctx, u)
	if err != nil {
		s.config.Logger.Debug("reading load report failed", "replica", u.Instance.ID, "cause", err)
		return Report{}, false
	}
	if load.Leaving {
		s.config.Upstreams.AnnounceLeaving(u)
	}
	return Report{
		Replica:       u.Instance.ID,
		FailureDomain: u.Instance.FailureDomain,
		Age:           reportLag + time.Since(began),
		Running:       load.Running,
		Waiting:       load.Waiting,
		QueuedTokens:  s.queuedTokens(u.Instance.Service, load),
	}, true
}

// queuedTokens estimates the prompt tokens that a replica has yet to compute, in
// prompts of the mean length: the waiting prompts whole, and half of those in
// prefill.
func (s *Sharer) queuedTokens(service string, load zinniamast.LoadReport) int {
	prompts := float64(load.Waiting) + float64(load.Prefilling)/2
	return int(prompts * s.config.Demand.MeanPrompt(service))
}
