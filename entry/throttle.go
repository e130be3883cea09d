package entry

import (
	"net/http"
	"time"

	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/limits"
	"zinniamast/platform"
	"zinniamast/queue"
	"zinniamast/throttle"
)

// buildThrottle builds the queue of requests that wait for a place, and the throttle of replicas that
// say that they bear only few requests.
func (e *Entry) buildThrottle() {
	e.owners = &throttle.Owners{
		Node:          e.config.Settings.Instance,
		FailureDomain: e.config.Settings.FailureDomain,
		Members:       e.board.Members,
		Instances:     e.roster.Instances,
	}
	e.queue = queue.New(queue.Config{
		Node:   e.config.Settings.Instance,
		Gossip: e.members,
		Slots:  e.board.Upstreams.Slots,
		Usage: limits.NewAccounts(limits.AccountsConfig{
			Board:         e.board,
			Node:          e.config.Settings.Instance,
			FailureDomain: e.config.Settings.FailureDomain,
			Gossip:        e.members,
			IsNeeded:      func() bool { return e.queue.IsAnyShort() },
		}),
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
	e.throttle = throttle.New(throttle.Config{
		Upstreams:  e.board.Upstreams,
		IsOwner:    e.owners.IsOwner,
		Share:      e.owners.Share,
		Places:     e.queue.Places(e.owners.Nodes),
		Gossip:     e.members,
		Logger:     e.config.Logger,
		Registerer: e.registry,
	})
}

// takePlace takes an unused place of this instance at a replica for another instance's request. If
// there is none, it returns another replica of the service at which there is one.
func (e *Entry) takePlace(upstream *blackboard.Upstream) (*egress.Place, string) {
	service := upstream.Instance.Service
	if !e.throttle.BeginForPeer(upstream) {
		return nil, e.throttle.UnusedForPeers(service)
	}
	sent := time.Now()
	return &egress.Place{
		OnAnswer: func(response *http.Response) {
			e.throttle.Answered(upstream, sent, platform.Headers{}.ReadResponse(response).Feedback)
		},
		Release: func() {
			upstream.EndAttempt()
			keeps := e.queue.IsShort(service) && e.throttle.KeepsPlace(upstream)
			e.queue.Freed(service, upstream.Instance.ID, keeps)
		},
	}, ""
}
