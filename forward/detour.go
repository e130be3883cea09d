package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"zinniamast"
	"zinniamast/egress"
)

// Detours sends requests through other nodes that have unused places at replicas. Package egress
// implements it.
type Detours interface {
	// FindDetour returns a way to one of the given replicas of a service, or false if no other node
	// is to be asked now.
	FindDetour(service string, replicas []string) (zinniamast.Detour, bool)
	// SendDetour sends a request at most once. The error is of kind zinniamast.FailureNoPlace if the
	// other node did not take it.
	SendDetour(ctx context.Context, detour zinniamast.Detour, request *http.Request) (*http.Response, error)
}

// noDetours are the Detours of a node that is alone.
type noDetours struct{}

// FindDetour implements Detours.
func (noDetours) FindDetour(string, []string) (zinniamast.Detour, bool) {
	return zinniamast.Detour{}, false
}

// SendDetour implements Detours.
func (noDetours) SendDetour(_ context.Context, detour zinniamast.Detour, _ *http.Request) (*http.Response, error) {
	return nil, &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureNoPlace,
		Upstream: detour.Upstream,
	}
}

// maxDetours bounds the nodes that are asked for a place for one request.
const maxDetours = 2

// mayDetour reports whether a request that has no place here may be sent through another node: it
// has not run, and it is not one that must be kept apart from others.
func (c *call) mayDetour(a *answer) bool {
	return c.detours < maxDetours && !a.begun && c.ran == zinniamast.NotRun && !c.isSuspect && len(c.body) <= egress.MaxDetourBytes
}

// chooseDetour chooses a replica whose places the nodes share, and another node that holds some of
// them.
func (h *Handler) chooseDetour(a *answer, c *call) (routed, bool) {
	if !c.mayDetour(a) {
		return routed{}, false
	}
	avoid := c.place.withoutRejecting(c.avoid)
	shared := slices.DeleteFunc(h.config.Throttle.Shared(c.service), func(id string) bool {
		return slices.Contains(avoid, id) || len(c.selection.Only) > 0 && !slices.Contains(c.selection.Only, id)
	})
	rand.Shuffle(len(shared), func(i, j int) { shared[i], shared[j] = shared[j], shared[i] })
	detour, ok := h.config.Detours.FindDetour(c.service, shared)
	upstream := h.config.Upstreams.Get(detour.Upstream)
	if !ok || upstream == nil {
		return routed{}, false
	}
	request := h.routeRequest(c, avoid)
	request.Only = []string{detour.Upstream}
	choice, err := h.config.Router.Route(request)
	if err != nil || choice.Upstream != detour.Upstream || c.route.Target > 0 && choice.FirstToken > c.route.Target {
		return routed{}, false
	}
	c.detours++
	return routed{
		upstream: upstream,
		choice:   choice,
		detour:   detour,
	}, true
}

// isDetour reports whether the send goes through another node.
func (s *send) isDetour() bool { return s.detour.Node != "" }

// sendTo sends a request on the way that was chosen.
func (h *Handler) sendTo(ctx context.Context, s *send, request *http.Request) (*http.Response, error) {
	if s.isDetour() {
		return h.config.Detours.SendDetour(ctx, s.detour, request)
	}
	return s.upstream.Replica.Send(ctx, request)
}

// recordFeedback records what a replica said of itself in its answer.
func (h *Handler) recordFeedback(s *send, feedback zinniamast.Feedback) {
	if s.isDetour() {
		h.config.Throttle.AnsweredThroughPeer(s.upstream, s.started, feedback)
		return
	}
	h.config.Throttle.Answered(s.upstream, s.started, feedback)
}

// endPlace gives the place of a send back. That of a detour is another node's.
func (h *Handler) endPlace(ctx context.Context, c *call, s *send, failure *zinniamast.UpstreamError) {
	if !s.isDetour() {
		s.upstream.EndAttempt()
		h.freePlace(ctx, c, s, failure)
		return
	}
	if failure == nil {
		h.config.Queue.Freed(c.service, s.upstream.Instance.ID, false)
	}
}
