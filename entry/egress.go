package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/httplimit"
	"zinniamast/plain"
	"zinniamast/platform"
)

// relayDialTimeout bounds connecting to another instance, with the handshake.
const relayDialTimeout = 200 * time.Millisecond

// buildEgress builds the links to the replicas, and the relay of requests over those of
// other instances.
func (e *Entry) buildEgress() {
	e.egress = egress.New(egress.Config{
		FailureDomain: e.config.Settings.FailureDomain,
		Upstreams:     e.board.Upstreams,
		Peers:         e.egressPeers,
		Client: plain.New(plain.Config{
			Upstream: "peer",
			Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				return e.peerPool.DialRelay(ctx, address, relayDialTimeout)
			},
			// A peer that stops could close an idle connection just as a request is
			// sent on it.
			DisableReuse: true,
		}),
		Probe:    probeReplica,
		Closing:  e.stopping.Load,
		MayRelay: func(upstream *blackboard.Upstream) bool { return e.throttle.MayRelay(upstream) },
		OnRelayed: func(upstream *blackboard.Upstream, response *http.Response) {
			e.throttle.Relayed(upstream, platform.Headers{}.ReadResponse(response).Feedback)
		},
		Holders: func(upstream *blackboard.Upstream) []string {
			return e.owners.Holders(upstream.Instance.ID, upstream.Slots)
		},
		TakePlace:   e.takePlace,
		ReserveBody: func(bytes int64) (func(), bool) { return e.forward.ReserveBody(bytes) },
		RequestID:   platform.Headers{}.RequestID,
		Logger:      e.config.Logger,
		Registerer:  e.registry,
	})
}

// egressPeers returns the other instances that are alive.
func (e *Entry) egressPeers() []egress.Peer {
	var peers []egress.Peer
	for _, member := range e.board.Members.All() {
		if member.ID == e.config.Settings.Instance || member.Dead || member.Leaving || member.Address == "" {
			continue
		}
		peers = append(peers, egress.Peer{
			ID:            member.ID,
			FailureDomain: member.FailureDomain,
			Address:       member.Address,
		})
	}
	return peers
}

// probeReplica opens a connection to a replica and closes it.
func probeReplica(ctx context.Context, upstream *blackboard.Upstream) error {
	conn, err := httplimit.DialAbortive(ctx, &net.Dialer{
		KeepAlive: -1,
	}, "tcp", upstream.Instance.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}
