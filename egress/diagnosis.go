package egress

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"zinniamast/blackboard"
)

const (
	// diagnosisTimeout bounds the probes through peers of one diagnosis.
	diagnosisTimeout = 300 * time.Millisecond
	// diagnosisPeers is the number of peers that are asked at once. Some of them may be cut
	// off as well.
	diagnosisPeers = 4
	// diagnosisTime is how long a diagnosis holds: the connections to one replica break
	// together.
	diagnosisTime = 200 * time.Millisecond
)

// diagnosis tells why connections to a replica broke.
type diagnosis struct {
	// done is closed when the diagnosis ends, and isPath and at are set then.
	done   chan struct{}
	isPath bool
	at     time.Time
}

// isRecent reports whether the diagnosis is in progress or still holds.
func (d *diagnosis) isRecent() bool {
	select {
	case <-d.done:
		return time.Since(d.at) < diagnosisTime
	default:
		return true
	}
}

// isPathAtFault reports whether a connection to the replica broke because of this instance's
// path: it cannot connect any more and a peer can. A replica that has crashed accepts no
// connections for a while.
func (r *Replica) isPathAtFault(l *link, upstream *blackboard.Upstream) bool {
	r.mu.Lock()
	d := r.diagnosis
	isNew := d == nil || !d.isRecent()
	if isNew {
		d = &diagnosis{
			done: make(chan struct{}),
		}
		r.diagnosis = d
	}
	r.mu.Unlock()
	if isNew {
		d.isPath = !r.connects(context.Background(), l, upstream) && r.connectsFromPeer(upstream)
		d.at = time.Now()
		close(d.done)
	}
	<-d.done
	return d.isPath
}

// connectsFromPeer reports whether a peer can connect to the replica.
func (r *Replica) connectsFromPeer(upstream *blackboard.Upstream) bool {
	e := r.egress
	ctx, cancel := context.WithTimeout(context.Background(), diagnosisTimeout)
	defer cancel()
	peers, _ := e.peers.choose(e.config.Peers(), upstream)
	peers = peers[:min(len(peers), diagnosisPeers)]
	connected := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() { connected <- e.probeThrough(ctx, peer, upstream) }()
	}
	for range peers {
		if <-connected {
			return true
		}
	}
	return false
}

// probeThrough reports whether a peer can connect to a replica.
func (e *Egress) probeThrough(ctx context.Context, peer Peer, upstream *blackboard.Upstream) bool {
	response, err := e.config.Client.Send(ctx, probeRequest(peer, upstream))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.Header.Get(headerOutcome) == outcomeAnswered
}

// probeRequest returns a request that asks a peer to connect to a replica.
func probeRequest(peer Peer, upstream *blackboard.Upstream) *http.Request {
	header := http.Header{}
	header.Set(headerReplica, upstream.Instance.ID)
	header.Set(headerProbe, "1")
	return &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme: "http",
			Host:   peer.Address,
			Path:   "/",
		},
		Header: header,
		Body:   http.NoBody,
	}
}

// probeForPeer returns the outcome of a peer's probe.
func (r *Replica) probeForPeer(ctx context.Context, l *link, upstream *blackboard.Upstream) string {
	if r.connects(ctx, l, upstream) {
		return outcomeAnswered
	}
	return outcomeUnreachable
}
