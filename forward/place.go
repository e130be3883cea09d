package forward

import (
	"context"
	"slices"
	"time"

	"zinniamast"
	"zinniamast/queue"
)

// maxWaitShare is the part of the first-token target that a request may wait for a place at a
// replica. The replica needs the rest.
const maxWaitShare = 0.75

// place is the state of a request that looks for a place at a replica.
type place struct {
	entry queue.Entry
	// turn is the turn on which the next replica is chosen.
	turn queue.Turn
	// mayWait reports whether the request may wait for a place, and mustWait whether it has
	// looked for one in vain.
	mayWait  bool
	mustWait bool
	// isLacking reports whether replicas have no place now that may soon have one.
	isLacking bool
	// hasWaited reports whether the request has waited since its last send.
	hasWaited bool
	// rejecting lists the replicas that had no place for the request.
	rejecting []string
	hasLogged bool
}

// enterQueue counts the request in the queue of its service. A request of a route without a
// target is not to wait.
func (h *Handler) enterQueue(c *call) {
	request := queue.Request{
		Service:      c.service,
		Organisation: c.organisationName(),
		Priority:     c.priority,
		Deadline:     c.deadline,
		Bytes:        len(c.body),
	}
	if c.route.Target > 0 {
		request.StartBy = c.arrived.Add(time.Duration(maxWaitShare * float64(c.route.Target)))
		if c.deadline.Before(request.StartBy) {
			request.StartBy = c.deadline
		}
	}
	h.config.Queue.Enter(&c.place.entry, request)
}

// mayQueue reports whether the request may wait for a place: it has not run, and it is not one
// that must be kept apart from others.
func (c *call) mayQueue(a *answer) bool {
	return !a.begun && c.ran == zinniamast.NotRun && !c.isSuspect && c.place.entry.Left() > 0
}

// awaitTurn waits until the request may look for a replica. A request looks at once unless others
// wait, or unless it has looked in vain.
func (h *Handler) awaitTurn(ctx context.Context, a *answer, c *call) *zinniamast.Refusal {
	p := &c.place
	p.turn = queue.Turn{}
	p.mayWait = c.mayQueue(a)
	if !p.mayWait && p.mustWait {
		p.entry.Leave()
		return h.failedRefusal(c)
	}
	if !p.mayWait || !p.mustWait && !p.entry.OthersWait() {
		return nil
	}
	if !p.hasLogged {
		p.hasLogged = true
		h.config.Logger.Info("request waits for a place", "request", c.metadata.ID, "service", c.service,
			"organisation", c.organisationName(), "priority", c.priority, "arrivals", c.arrivals, "left", c.remaining())
	}
	p.hasWaited = true
	turn, err := p.entry.Wait(ctx)
	p.mustWait = false
	if err == nil {
		p.turn = turn
		return nil
	}
	if ctx.Err() != nil {
		return h.endedRefusal(ctx, c)
	}
	return zinniamast.AsRefusal(err)
}

// logWaited logs how the request has waited, before it is sent or refused.
func (h *Handler) logWaited(c *call) {
	if !c.place.hasWaited {
		return
	}
	c.place.hasWaited = false
	w := c.place.entry.Waiting()
	h.config.Logger.Info("request has waited", "request", c.metadata.ID, "service", c.service, "organisation", c.organisationName(),
		"priority", c.priority, "waited", w.Waited.Round(time.Millisecond), "position", w.Position,
		"ahead_urgent", w.AheadUrgent, "ahead_own", w.AheadOwn, "ahead_others", w.AheadOthers,
		"begun_urgent", w.BegunUrgent, "begun_same", w.BegunSame, "begun_deferred", w.BegunDeferred, "left", c.remaining())
}

// sent records that the request is sent to a replica. Further sends beside this one do not wait.
func (p *place) sent() {
	p.entry.Sent()
	p.mayWait, p.turn = false, queue.Turn{}
}

// lacksPlace reports whether a replica that may not get the request now may soon do so.
func (c *call) lacksPlace(available zinniamast.Availability) bool {
	endsInTime := available.RetryAfter > 0 && available.RetryAfter < c.place.entry.Left()
	return available.FreesPlace || len(available.Full) > 0 || endsInTime
}

// chooseOwn chooses one of the replicas at which this node has a place that it does not use, while
// places are shared. If there is none, mayTry reports whether the request may try another replica.
func (h *Handler) chooseOwn(c *call, avoid []string) (to routed, ok, mayTry bool) {
	if !c.place.mayWait || len(c.selection.Only) > 0 || !h.sharesPlaces(c) {
		return routed{}, false, true
	}
	unused, isBound := h.config.Throttle.UnusedPlaces(c.service)
	if !isBound {
		return routed{}, false, true
	}
	if len(unused) > 0 {
		request := h.routeRequest(c, avoid)
		request.Only = unused
		choice, err := h.config.Router.Route(request)
		upstream := h.config.Upstreams.Get(choice.Upstream)
		if err == nil && upstream != nil && choice.FirstToken <= c.route.Target {
			return routed{
				upstream: upstream,
				choice:   choice,
			}, true, false
		}
	}
	return routed{}, false, c.place.entry.MayTry(h.mayRetryInTime(c))
}

// sharesPlaces reports whether the request uses this node's own places first: requests wait for the
// service at this node, or at others while this node has no retry in time. A process that has just
// started has few retries and no waiting requests; it would send to full replicas and lose each
// request that they reject.
func (h *Handler) sharesPlaces(c *call) bool {
	return h.config.Queue.IsShort(c.service) || h.config.Queue.IsShortAnywhere(c.service) && !h.mayRetryInTime(c)
}

// recordRejection records that a replica had no place for the request.
func (p *place) recordRejection(replica string) {
	p.entry.Rejected()
	p.rejecting = append(p.rejecting, replica)
}

// withoutRejecting removes the replicas that only had no place for the request from those that it
// avoids: a request that waits may ask them again.
func (p *place) withoutRejecting(avoid []string) []string {
	if !p.mayWait || len(p.rejecting) == 0 {
		return avoid
	}
	var kept []string
	for _, id := range avoid {
		if !slices.Contains(p.rejecting, id) {
			kept = append(kept, id)
		}
	}
	return kept
}

// chooseFreed chooses the replica at which a request of this node has just ended, if it is the
// request's turn there and its first token is predicted to meet the target.
func (h *Handler) chooseFreed(c *call, avoid []string) (routed, bool) {
	id := c.place.turn.Replica
	upstream := h.config.Upstreams.Get(id)
	if id == "" || upstream == nil || len(c.selection.Only) > 0 && !slices.Contains(c.selection.Only, id) {
		return routed{}, false
	}
	request := h.routeRequest(c, avoid)
	request.Only = []string{id}
	choice, err := h.config.Router.Route(request)
	return routed{
		upstream: upstream,
		choice:   choice,
	}, err == nil && choice.Upstream == id && choice.FirstToken <= c.route.Target
}

// freePlace passes the place of a request that has ended at a replica on to one that waits. A
// replica that failed may have no place.
func (h *Handler) freePlace(ctx context.Context, c *call, s *send, failure *zinniamast.UpstreamError) {
	hasLeft := ctx.Err() != nil && !s.began.IsZero()
	if failure != nil && !hasLeft {
		return
	}
	keeps := h.config.Queue.IsShort(c.service) && h.config.Throttle.KeepsPlace(s.upstream)
	h.config.Queue.Freed(c.service, s.upstream.Instance.ID, keeps)
}

// mayRetryInTime reports whether the retry budget is expected to allow one more retry while the
// request may wait.
func (h *Handler) mayRetryInTime(c *call) bool {
	wait, ok := h.config.RetryBudget.RetryWait(c.service)
	return ok && wait < c.place.entry.Left()
}
