package egress_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/peer"
	"zinniamast/plain"
	"zinniamast/standin/replica"
)

// BenchmarkRelay measures a request that is relayed through a peer, with the work of the
// instance, the peer and the replica, and the same request sent directly.
func BenchmarkRelay(b *testing.B) {
	r := replica.New("i-1")
	defer r.Close()
	direct := plain.New(plain.Config{
		Upstream: "i-1",
		Address:  "http://" + r.Address(),
	})
	b.Run("direct", func(b *testing.B) { send(b, direct, r.Address()) })
	b.Run("relayed", func(b *testing.B) { send(b, relayedClient(b, direct, r.Address()), r.Address()) })
}

// relayedClient returns a client whose own path to the replica is down.
func relayedClient(b *testing.B, direct zinniamast.Replica, address string) zinniamast.Replica {
	b.Helper()
	server, err := peer.NewServer(peer.ServerConfig{
		Listen:   "127.0.0.1:0",
		PeerKeys: []string{"key"},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close(context.Background()) })
	go func() { _ = server.Serve() }()
	atPeer := newEgress(nil, nil)
	atPeer.add(address, direct)
	relays := &http.Server{
		Handler:           atPeer.egress,
		ReadHeaderTimeout: time.Second,
	}
	b.Cleanup(func() { _ = relays.Close() })
	go func() { _ = relays.Serve(server.RelayListener()) }()
	pool, err := peer.NewPool(peer.PoolConfig{
		Keys: []string{"key"},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(pool.Close)
	own := newEgress([]egress.Peer{{
		ID:      "edge-2",
		Address: server.Address(),
	}}, plain.New(plain.Config{
		Upstream: "peer",
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return pool.DialRelay(ctx, address, time.Second)
		},
		DisableReuse: true,
	}))
	return own.add(address, unreachable{})
}

// oneReplica is an egress with one replica.
type oneReplica struct {
	egress    *egress.Egress
	upstreams *blackboard.Upstreams
}

func newEgress(peers []egress.Peer, client zinniamast.Replica) *oneReplica {
	upstreams := blackboard.NewUpstreams()
	return &oneReplica{
		egress: egress.New(egress.Config{
			Upstreams: upstreams,
			Peers:     func() []egress.Peer { return peers },
			Client:    client,
			Probe:     func(context.Context, *blackboard.Upstream) error { return errors.New("connection refused") },
			Logger:    slog.New(slog.DiscardHandler),
		}),
		upstreams: upstreams,
	}
}

// add adds the replica and returns its client.
func (o *oneReplica) add(address string, direct zinniamast.Replica) zinniamast.Replica {
	client := o.egress.Replica("i-1", direct)
	o.upstreams.Add(&blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "i-1",
			Service: "svc",
			Address: address,
		},
		Replica: client,
	})
	return client
}

func send(b *testing.B, client zinniamast.Replica, address string) {
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		request.Header.Set("Zinniamast-Expect-Instance", "i-1")
		response, err := client.Send(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
