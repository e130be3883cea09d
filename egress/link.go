package egress

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// failureWindow is how long a failed connection counts.
	failureWindow = 3 * time.Second
	// suspectFailures is the number of replicas that cannot be connected to from which the
	// fault may be this instance's own. A single one has more likely crashed.
	suspectFailures = 2
	// A link is down if downFailures replicas cannot be connected to and none has answered
	// for downSilence.
	downFailures = 3
	downSilence  = 500 * time.Millisecond
	// silenceTimeout is how long a request waits for its answer before the replica is
	// probed.
	silenceTimeout = 300 * time.Millisecond
)

// errAbandoned ends a send whose answer cannot arrive.
var errAbandoned = errors.New("egress: abandoned, as the path to the replica is down")

// link is what this instance knows of its paths to the replicas of one service.
//
// Only new connections prove that a path is up: a partition may leave the established ones
// open and silent, or let them live on while it refuses new ones.
type link struct {
	egress  *Egress
	service string

	mu sync.Mutex
	// failedAt holds the replicas that could not be connected to, with the time of the last
	// try.
	failedAt map[string]time.Time
	// answeredAt is when a replica last answered a request or a probe, and heardAt when
	// any data of one arrived.
	answeredAt time.Time
	heardAt    time.Time
	// waiting holds the sends that may be abandoned.
	waiting map[*waiter]bool
	isDown  bool
	downAt  time.Time
}

// waiter is a send that waits for the start of its answer.
type waiter struct {
	replica string
	since   time.Time
	cancel  context.CancelCauseFunc
}

func newLink(e *Egress, service string) *link {
	return &link{
		egress:   e,
		service:  service,
		failedAt: map[string]time.Time{},
		waiting:  map[*waiter]bool{},
	}
}

// recordFailure records that a replica could not be connected to. As soon as the paths of
// this instance are suspect, the idle connections to all replicas are closed: a request that
// is sent on one of them might wait until its deadline.
func (l *link) recordFailure(replica string) {
	wasSuspect := l.isSuspect()
	l.mu.Lock()
	l.failedAt[replica] = time.Now()
	l.update()
	l.mu.Unlock()
	if wasSuspect || !l.isSuspect() {
		return
	}
	for _, u := range l.egress.config.Upstreams.Of(l.service) {
		u.Replica.Close()
	}
}

// recordAnswer records that a replica answered a request or a probe.
func (l *link) recordAnswer(replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failedAt, replica)
	l.answeredAt = time.Now()
	l.heardAt = l.answeredAt
	l.update()
}

// recordData records that data of any replica arrived.
func (l *link) recordData() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt = time.Now()
}

// failures returns the number of replicas that could not be connected to of late. The caller
// holds the lock.
func (l *link) failures() int {
	for id, at := range l.failedAt {
		if time.Since(at) > failureWindow {
			delete(l.failedAt, id)
		}
	}
	return len(l.failedAt)
}

// replicaCount returns the number of replicas that a request could be sent to.
func (l *link) replicaCount() int {
	count := 0
	for _, u := range l.egress.config.Upstreams.Of(l.service) {
		if !u.Leaving() {
			count++
		}
	}
	return count
}

// isSuspect reports whether the paths of this instance may be at fault.
func (l *link) isSuspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	failures := l.failures()
	return failures >= suspectFailures || failures > 0 && failures >= l.replicaCount()
}

// isSilent reports whether no data of any replica has arrived for silenceTimeout.
func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heardAt) >= silenceTimeout
}

// checkDown reports whether the link is down.
func (l *link) checkDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update()
	return l.isDown
}

// update sets and logs whether the link is down. The caller holds the lock.
func (l *link) update() {
	failures := l.failures()
	down := failures >= downFailures || failures > 0 && failures >= l.replicaCount()
	down = down && time.Since(l.answeredAt) >= downSilence
	if down == l.isDown {
		return
	}
	l.isDown = down
	if down {
		l.downAt = time.Now()
		l.egress.metrics.linksDown.Inc()
		l.egress.config.Logger.Warn("link to service down, relaying requests", "service", l.service, "unreachable_replicas", failures)
		return
	}
	l.egress.metrics.linksDown.Dec()
	l.egress.config.Logger.Info("link to service up again", "service", l.service, "down_for", time.Since(l.downAt).Round(time.Millisecond))
}

// await registers a send that may be abandoned and returns its context. The returned
// function must be called when the wait for the answer ends.
func (l *link) await(ctx context.Context, replica string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{
		replica: replica,
		since:   time.Now(),
		cancel:  cancel,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[w] = true
	return ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, w)
	}
}

// abandon ends the sends that wait in vain, once a request to the replica has been relayed:
// those at the replica, and all if the link is down.
func (l *link) abandon(replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.update()
	for w := range l.waiting {
		if (l.isDown || w.replica == replica) && time.Since(w.since) >= silenceTimeout {
			w.cancel(errAbandoned)
		}
	}
}
