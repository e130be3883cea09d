package egress_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/peer"
	"zinniamast/plain"
	"zinniamast/standin/replica"
)

// placeFixture is an instance without places and a peer with some at a replica.
type placeFixture struct {
	is       *is.I
	replica  *replica.Replica
	peer     *httptest.Server
	instance *egress.Egress
	// unused counts the peer's unused places, other is what it offers without one, and taken
	// counts the places that it has given.
	unused atomic.Int64
	other  string
	taken  atomic.Int64
	// isClosing is what the peer reports.
	isClosing atomic.Bool
}

func newPlaceFixture(t testing.TB) *placeFixture {
	f := &placeFixture{
		is:      is.New(t),
		replica: replica.New("i-1"),
	}
	t.Cleanup(f.replica.Close)
	atPeer := blackboard.NewUpstreams()
	receiver := egress.New(egress.Config{
		Upstreams: atPeer,
		Probe:     func(context.Context, *blackboard.Upstream) error { return nil },
		Closing:   f.isClosing.Load,
		TakePlace: func(*blackboard.Upstream) (*egress.Place, string) {
			if f.unused.Add(-1) < 0 {
				f.unused.Add(1)
				return nil, f.other
			}
			f.taken.Add(1)
			return &egress.Place{
				OnAnswer: func(*http.Response) {},
				Release:  func() { f.unused.Add(1) },
			}, ""
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	atPeer.Add(f.upstream("i-1", receiver.Replica("i-1", plain.New(plain.Config{
		Upstream: "i-1",
		Address:  "http://" + f.replica.Address(),
	}))))
	f.peer = httptest.NewServer(receiver)
	t.Cleanup(f.peer.Close)
	f.instance = f.newInstance(strings.TrimPrefix(f.peer.URL, "http://"), plain.New(plain.Config{
		Upstream:     "peer",
		DisableReuse: true,
	}))
	return f
}

// newInstance returns the instance without places.
func (f *placeFixture) newInstance(address string, client zinniamast.Replica) *egress.Egress {
	upstreams := blackboard.NewUpstreams()
	instance := egress.New(egress.Config{
		Upstreams: upstreams,
		Peers: func() []egress.Peer {
			return []egress.Peer{{
				ID:      "edge-2",
				Address: address,
			}}
		},
		Client:  client,
		Holders: func(*blackboard.Upstream) []string { return []string{"edge-2", "edge-3"} },
		Logger:  slog.New(slog.DiscardHandler),
	})
	for _, id := range []string{"i-1", "i-2"} {
		upstreams.Add(f.upstream(id, instance.Replica(id, unreachable{})))
	}
	return instance
}

func (f *placeFixture) upstream(id string, client zinniamast.Replica) *blackboard.Upstream {
	return &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      id,
			Service: "svc",
			Address: f.replica.Address(),
		},
		Replica: client,
	}
}

// send sends a request to i-1 through the peer.
func (f *placeFixture) send(ctx context.Context) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.replica.Address()+"/say/x", strings.NewReader("body"))
	f.is.NoErr(err)
	request.Header.Set("Zinniamast-Expect-Instance", "i-1")
	request.Header.Set("Zinniamast-Request-Id", "r-1")
	return f.instance.SendDetour(ctx, zinniamast.Detour{
		Upstream: "i-1",
		Node:     "edge-2",
	}, request)
}

// Guards against a request that uses a place of which its instance does not know, or keeps it.
func TestRequestUsesPlaceOfPeer(t *testing.T) {
	f := newPlaceFixture(t)
	f.unused.Store(1)
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.NoErr(response.Body.Close())
	f.is.Equal(string(body), "i-1 ran r-1")
	for name := range f.replica.Runs()[0].Header {
		f.is.True(!strings.HasPrefix(name, "Relay-"))
	}
	f.is.Equal(f.taken.Load(), int64(1))
	for range 100 {
		if f.unused.Load() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the place was not given back")
}

// Guards against a request that runs although its peer has no place or stops, or whose caller is not told that it has not run.
func TestPeerWithoutPlaceRunsNothing(t *testing.T) {
	f := newPlaceFixture(t)
	for _, isClosing := range []bool{false, true} {
		f.isClosing.Store(isClosing)
		_, err := f.send(t.Context())
		f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureNoPlace)
		f.is.Equal(zinniamast.AsUpstreamError(err).Outcome().Ran, zinniamast.NotRun)
	}
	f.peer.Close()
	_, err := f.send(t.Context())
	f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureNoPlace)
	f.is.Equal(len(f.replica.Runs()), 0)
}

// Guards against taking a request for one that has not run, after its peer died while it ran.
func TestLostPeerLeavesOpenWhetherRequestRan(t *testing.T) {
	f := newPlaceFixture(t)
	f.unused.Store(1)
	f.replica.SetBehaviour(replica.Behaviour{
		Hang: true,
	})
	time.AfterFunc(100*time.Millisecond, f.peer.CloseClientConnections)
	_, err := f.send(t.Context())
	f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureRelay)
	f.is.Equal(zinniamast.AsUpstreamError(err).Outcome().Ran, zinniamast.Unknown)
}

// Guards against asking a peer without a place again at once, and against ignoring the place that it offers.
func TestPeerWithoutPlaceIsLeftAlone(t *testing.T) {
	f := newPlaceFixture(t)
	replicas := []string{"i-1", "i-2"}
	detour, ok := f.instance.FindDetour("svc", replicas)
	f.is.True(ok)
	f.is.Equal(detour.Node, "edge-2") // edge-3 is not alive
	f.other = "i-2"
	_, err := f.send(t.Context())
	f.is.True(err != nil)
	detour, ok = f.instance.FindDetour("svc", replicas)
	f.is.True(ok)
	f.is.Equal(detour.Upstream, "i-2")
	f.other = ""
	_, err = f.send(t.Context())
	f.is.True(err != nil)
	_, ok = f.instance.FindDetour("svc", replicas)
	f.is.True(!ok)
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkDetour measures a request that is sent through a peer's place, and one whose peer has
// none, with the work of the instance, the peer and the replica. The bytes are those between the
// instances above TLS.
func BenchmarkDetour(b *testing.B) {
	for name, unused := range map[string]int64{"taken": 1 << 30, "no_place": 0} {
		b.Run(name, func(b *testing.B) {
			f := newPlaceFixture(b)
			f.unused.Store(unused)
			server, err := peer.NewServer(peer.ServerConfig{
				Listen:   "127.0.0.1:0",
				PeerKeys: []string{"key"},
			})
			f.is.NoErr(err)
			defer func() { _ = server.Close(context.Background()) }()
			go func() { _ = server.Serve() }()
			relays := &http.Server{
				Handler:           f.peer.Config.Handler,
				ReadHeaderTimeout: time.Second,
			}
			defer func() { _ = relays.Close() }()
			go func() { _ = relays.Serve(server.RelayListener()) }()
			pool, err := peer.NewPool(peer.PoolConfig{
				Keys: []string{"key"},
			})
			f.is.NoErr(err)
			defer pool.Close()
			var bytes atomic.Int64
			f.instance = f.newInstance(server.Address(), plain.New(plain.Config{
				Upstream: "peer",
				Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
					conn, err := pool.DialRelay(ctx, address, time.Second)
					if err != nil {
						return nil, err
					}
					return countedConn{
						Conn:  conn,
						bytes: &bytes,
					}, nil
				},
				DisableReuse: true,
			}))
			for b.Loop() {
				response, err := f.send(b.Context())
				if (err == nil) != (unused > 0) {
					b.Fatal(err)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
