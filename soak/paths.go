package soak

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"zinniamast/processtest"
	"zinniamast/standin/replica"
)

const (
	// cutTime is added to the random length of a cut.
	cutTime = 2 * time.Second
	// settleTime is how long an instance may be no help to others after a fault of its own.
	settleTime = time.Second
	// noticeTime is the time from the begin of a cut until its instance must serve its
	// callers.
	noticeTime = time.Second
	// minServedRatio is the least share of requests served at instances that are cut off,
	// relative to the share at the others.
	minServedRatio = 2.0 / 3
)

// pathFaults cut single instances off from all replicas, half of them at most. The store,
// callers and the other instances still reach them.
var pathFaults = []fault{
	newFault("instance loses its paths", randomNode, func(d *deployment, n *node, _ *rand.Rand) func() {
		from := time.Now()
		if !d.mayCutPaths() {
			return func() {}
		}
		d.setPathsCut(n, true)
		return func() {
			time.Sleep(cutTime)
			d.mu.Lock()
			d.cuts = append(d.cuts, disturbance{
				target: n,
				from:   from,
				until:  time.Now(),
			})
			d.mu.Unlock()
			d.setPathsCut(n, false)
		}
	}).asUnplanned(),
}

// addPaths gives an instance links of its own to all replicas and returns the address of a
// store that names them.
func (d *deployment) addPaths(n *node) (storeAddress string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.paths = map[string]*processtest.Link{}
	for _, r := range d.replicas {
		d.addPath(n, r)
	}
	return d.store.View(func(table, key string, value []byte) []byte {
		d.mu.Lock()
		defer d.mu.Unlock()
		path := n.paths[key]
		if table != "servers" || path == nil {
			return value
		}
		return bytes.ReplaceAll(value, []byte(strconv.Quote(path.Target())), []byte(strconv.Quote(path.Address())))
	})
}

// addPath gives an instance that has links of its own one to a replica. The caller holds the
// lock.
func (d *deployment) addPath(n *node, r *replica.Replica) {
	if n.paths == nil {
		return
	}
	path := processtest.NewLink(d.tb, n.name+"-"+r.ID, d.locations[r].address)
	if n.arePathsCut {
		path.Cut()
	}
	n.paths[r.ID] = path
}

// setPathsCut cuts or heals an instance's links to all replicas.
func (d *deployment) setPathsCut(n *node, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.arePathsCut = cut
	for _, path := range n.paths {
		if cut {
			path.Cut()
		} else {
			path.Heal()
		}
	}
}

// mayCutPaths reports whether one more instance may be cut off.
func (d *deployment) mayCutPaths() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	cut := 0
	for _, n := range d.nodes {
		if n.arePathsCut {
			cut++
		}
	}
	return cut < len(d.nodes)/2
}

// isCut reports whether an instance was cut off long enough for it to notice while a request
// was sent, and isCutSince whether it was cut off at any time of the request.
func (d *deployment) isCut(n *node, sent, ended time.Time) (isCut, isCutSince bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.cuts {
		if c.target != n || c.from.After(ended) || c.until.Before(sent) {
			continue
		}
		isCutSince = true
		if !sent.Before(c.from.Add(noticeTime)) && !ended.After(c.until) {
			isCut = true
		}
	}
	return isCut, isCutSince
}

// hasSoundInstance reports whether an instance was without any fault while a request was sent
// and for settleTime before.
func (d *deployment) hasSoundInstance(sent, ended time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.nodes, func(n *node) bool {
		return !slices.ContainsFunc(d.nodeFaults, func(f disturbance) bool {
			return f.target == n && !f.from.After(ended) && f.until.Add(settleTime).After(sent)
		})
	})
}

// CutSummary counts the requests at instances that were cut off from all replicas while
// another instance was sound, and those at the others at all times.
type CutSummary struct {
	Sent, Served                 int
	SentToOthers, ServedByOthers int
}

// checkCuts checks that callers of instances that were cut off were served as others.
func (c *callerPool) checkCuts(s *Summary) {
	for i := range c.outcomes {
		o := &c.outcomes[i]
		isServed := o.err == nil && o.status == http.StatusOK
		isCut, isCutSince := c.deployment.isCut(o.node, o.sent, o.ended)
		switch {
		case isCut && !c.deployment.hasSoundInstance(o.sent, o.ended):
		case isCut:
			s.Cut.Sent++
			if isServed {
				s.Cut.Served++
			}
		case !isCutSince:
			s.Cut.SentToOthers++
			if isServed {
				s.Cut.ServedByOthers++
			}
		}
	}
	if float64(s.Cut.Served)*float64(s.Cut.SentToOthers) < minServedRatio*float64(s.Cut.ServedByOthers)*float64(s.Cut.Sent) {
		s.addViolation("instances cut off from all replicas served %d of %d requests, the others %d of %d",
			s.Cut.Served, s.Cut.Sent, s.Cut.ServedByOthers, s.Cut.SentToOthers)
	}
}
