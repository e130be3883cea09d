package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// drainPollInterval is how often a stopping node checks whether all requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// handoffReserve is the part of a planned stop that is reserved for handing over
	// the requests that have not ended by then, and for redirecting their callers.
	handoffReserve = 5 * time.Second
	// redirectReserve is the last part of a stop, in which callers that still read
	// through this node are told to continue at another node.
	redirectReserve = 500 * time.Millisecond
	// noticeWindow is how long a reclaimed node waits for further notices before it
	// hands requests over. Reclaims come in waves, and a request is moved off its
	// upstream before the handoff only if that upstream is known to be leaving.
	noticeWindow = 100 * time.Millisecond
	// startReserve is the part of a stop that is reserved for starting, at the peer,
	// the requests whose handoff waited for their move off a leaving upstream.
	startReserve = time.Second
	// shutdownTimeout bounds closing the listeners after the drain.
	shutdownTimeout = 2 * time.Second
)

// stopTimes are the moments of a stop.
type stopTimes struct {
	// drain is the time until which requests may finish on this node, and deadline is
	// the time by which the process must end.
	drain    time.Time
	deadline time.Time
}

// plannedStop returns the times of a planned stop that starts now.
func (n *Node) plannedStop() stopTimes {
	timeout := time.Duration(n.config.Settings.StopTimeout)
	deadline := time.Now().Add(timeout)
	return stopTimes{
		drain:    deadline.Add(-min(handoffReserve, timeout/2)),
		deadline: deadline,
	}
}

// reclaimStop returns the times of a stop forced by a reclaim at the given time.
func reclaimStop(at time.Time) stopTimes {
	return stopTimes{
		drain:    time.Now().Add(noticeWindow),
		deadline: at.Add(-redirectReserve),
	}
}

// stop stops the node gracefully. A planned stop lets requests finish on this node
// and hands over the remaining ones near its deadline. After a reclaim notice all
// requests are handed over at once: the process may be killed at any moment, and requests
// that peers hold survive it.
func (n *Node) stop(times stopTimes) error {
	n.stopping.Store(true)
	n.members.AnnounceLeaving()
	n.config.Logger.Info("node stopping",
		"requests", n.runningCount(),
		"drain_until", times.drain,
		"until", times.deadline)
	times = n.drain(times)
	n.handOverAll(times.deadline)
	n.saveClaims(times.deadline)
	n.announceDeparture()
	// Callers that still read through this node get a last event that tells them to
	// continue at another node.
	n.cancelRun()
	return n.close()
}

// drain waits for requests to finish on this node. A reclaim that is announced during
// a planned stop shortens the drain; otherwise the process would be killed with its
// requests still running.
func (n *Node) drain(times stopTimes) stopTimes {
	for n.runningCount() > 0 && time.Now().Before(times.drain) {
		select {
		case at := <-n.reclaimed:
			times = reclaimStop(at)
			n.config.Logger.Info("reclaim announced during planned stop; shortening the drain", "until", times.deadline)
		case <-time.After(drainPollInterval):
		}
	}
	return times
}

// saveClaims waits until the outcomes of all calls that must not be repeated are in
// the table. An outcome that is lost with the node remains unknown permanently.
func (n *Node) saveClaims(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if unsaved := n.claims.Close(ctx); unsaved > 0 {
		n.config.Logger.Error("failed to save the outcomes of some claims", "claims", unsaved)
	}
}

// announceDeparture announces the node's departure to its failure domain, so that
// peers need not wait until failure detection declares it dead.
func (n *Node) announceDeparture() {
	ctx, cancel := context.WithTimeout(context.Background(), redirectReserve)
	defer cancel()
	n.members.AnnounceDeparture(ctx)
}

// handOverAll hands over running requests until none runs and no caller reads through
// this node. It repeats the check, since a peer that is leaving too may have handed a
// request over to this node just before this node began to stop.
func (n *Node) handOverAll(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-redirectReserve))
	defer cancel()
	for ctx.Err() == nil {
		if n.runningCount() > 0 {
			remaining := n.exchange.HandOff(ctx, deadline.Add(-startReserve))
			n.config.Logger.Info("handed requests over to peers", "left", remaining)
		}
		// HeldCount is checked before runningCount: a held request that starts in between
		// is counted as running before it is removed from the held ones, so one of the
		// two checks counts it.
		if n.exchange.HeldCount() == 0 && n.runningCount() == 0 && n.openCallers.Load() == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// close closes the listeners.
func (n *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := n.server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = n.server.Close()
	}
	peerErr := n.peers.Close(ctx)
	n.pool.Close()
	n.requestPool.Close()
	n.controllers.Wait()
	n.table.Close()
	n.config.Logger.Info("node stopped", "left", n.runningCount())
	if err := errors.Join(err, peerErr); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// runningCount returns the number of requests that have not ended.
func (n *Node) runningCount() int {
	running := 0
	for _, q := range n.board.Requests.All() {
		select {
		case <-q.Done():
		default:
			running++
		}
	}
	return running
}

// countCallers wraps a handler to count the callers that are being answered.
func (n *Node) countCallers(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.openCallers.Add(1)
		defer n.openCallers.Add(-1)
		handler.ServeHTTP(w, q)
	})
}
