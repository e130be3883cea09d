package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// drainPoll is how often a stopping node looks whether all has ended.
	drainPoll = 20 * time.Millisecond
	// giveReserve is the part of a planned stop kept for handing over what has
	// not ended by then, and for telling its callers.
	giveReserve = 5 * time.Second
	// relayReserve is the end of a stop, in which callers that still read
	// through this node are told to go on elsewhere.
	relayReserve = 500 * time.Millisecond
	// waveWindow lets the notices of a wave come in before requests are handed
	// over: an upstream not yet known to leave would not be moved off first.
	waveWindow = 100 * time.Millisecond
	// startReserve is kept, at a reclaim, for the word to start what waited for
	// its move off a leaving upstream.
	startReserve = time.Second
	// shutdownTimeout bounds the close of listeners after the drain.
	shutdownTimeout = 2 * time.Second
)

// stopTimes are the moments of a stop.
type stopTimes struct {
	// drain is until when requests may end here, deadline when the process ends.
	drain    time.Time
	deadline time.Time
}

// planned returns the times of a planned stop that begins now.
func (n *Node) planned() stopTimes {
	timeout := time.Duration(n.config.Settings.StopTimeout)
	deadline := time.Now().Add(timeout)
	return stopTimes{
		drain:    deadline.Add(-min(giveReserve, timeout/2)),
		deadline: deadline,
	}
}

// reclaimedAt returns the times of a stop that the cloud forces at a moment.
func reclaimedAt(moment time.Time) stopTimes {
	return stopTimes{
		drain:    time.Now().Add(waveWindow),
		deadline: moment.Add(-relayReserve),
	}
}

// stop ends the node. A planned stop lets requests end here and hands over
// what is left near its end. A reclaim hands everything over at once: the
// process may die at any moment of it, and what peers hold is safe.
func (n *Node) stop(times stopTimes) error {
	n.stopping.Store(true)
	n.members.AnnounceLeaving()
	n.config.Logger.Info("node stopping",
		"requests", n.running(),
		"drain_until", times.drain,
		"until", times.deadline)
	times = n.drain(times)
	n.giveAll(times.deadline)
	n.saveClaims(times.deadline)
	n.depart()
	// Callers that still read here get a last event that says where to go on.
	n.end()
	return n.close()
}

// drain lets requests end here. A reclaim that is announced during a planned
// stop shortens it; the process would otherwise die with what it still runs.
func (n *Node) drain(times stopTimes) stopTimes {
	for n.running() > 0 && time.Now().Before(times.drain) {
		select {
		case at := <-n.reclaimed:
			times = reclaimedAt(at)
			n.config.Logger.Info("reclaimed while stopping", "until", times.deadline)
		case <-time.After(drainPoll):
		}
	}
	return times
}

// saveClaims waits until every outcome of a call that may not be repeated is
// in the table: an outcome that dies with the node reads as unknown for ever.
func (n *Node) saveClaims(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if unsaved := n.claims.Close(ctx); unsaved > 0 {
		n.config.Logger.Error("outcomes not saved", "claims", unsaved)
	}
}

// depart tells the failure domain that this node is gone, so that nobody
// waits for its death to be found out.
func (n *Node) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), relayReserve)
	defer cancel()
	n.members.AnnounceDeparture(ctx)
}

// giveAll hands over what runs until nothing does and no caller reads here any
// more. It looks again and again: a peer that leaves too may have handed a
// request over to this node just before it began to stop itself.
func (n *Node) giveAll(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-relayReserve))
	defer cancel()
	for ctx.Err() == nil {
		if n.running() > 0 {
			left := n.exchange.HandOff(ctx, deadline.Add(-startReserve))
			n.config.Logger.Info("requests handed over", "left", left)
		}
		// Held is asked before running: a request that starts in between leaves the
		// one after it has entered the other, and is seen in one of them.
		if n.exchange.HeldCount() == 0 && n.running() == 0 && n.open.Load() == 0 {
			return
		}
		time.Sleep(drainPoll)
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
	n.config.Logger.Info("node stopped", "left", n.running())
	if err := errors.Join(err, peerErr); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// running counts requests that have not ended.
func (n *Node) running() int {
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

// counted counts the callers that are being answered.
func (n *Node) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.open.Add(1)
		defer n.open.Add(-1)
		handler.ServeHTTP(w, q)
	})
}
