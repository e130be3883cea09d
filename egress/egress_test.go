package egress_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/plain"
	"zinniamast/standin/replica"
)

// fixture is an instance whose path to its only replica is down, and a peer that reaches it.
type fixture struct {
	is      *is.I
	replica *replica.Replica
	// client sends requests to the replica from the instance.
	client zinniamast.Replica
	// peer is the server of the peer, and atPeer the peer's view of the replica.
	peer   *httptest.Server
	atPeer *blackboard.Upstream
	// reserve is the peer's ReserveBody; nil reserves nothing.
	reserve func(bytes int64) (func(), bool)
	// abortAtPeer ends the requests that the peer relays, as a stop does.
	abortAtPeer context.CancelFunc
}

// unreachable is a client whose connections fail.
type unreachable struct{}

// Send implements zinniamast.Replica.
func (unreachable) Send(context.Context, *http.Request) (*http.Response, error) {
	return nil, &zinniamast.UpstreamError{
		Failure:  zinniamast.FailureDial,
		Upstream: "i-1",
		Cause:    errors.New("connection refused"),
	}
}

// Close implements zinniamast.Replica.
func (unreachable) Close() {}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		is:      is.New(t),
		replica: replica.New("i-1"),
	}
	t.Cleanup(f.replica.Close)
	atPeer := blackboard.NewUpstreams()
	peer := egress.New(egress.Config{
		Upstreams: atPeer,
		Probe:     func(context.Context, *blackboard.Upstream) error { return nil },
		Logger:    slog.New(slog.DiscardHandler),
		ReserveBody: func(bytes int64) (func(), bool) {
			if f.reserve == nil {
				return func() {}, true
			}
			return f.reserve(bytes)
		},
	})
	f.atPeer = f.upstream(peer.Replica("i-1", plain.New(plain.Config{
		Upstream: "i-1",
		Address:  "http://" + f.replica.Address(),
	})))
	atPeer.Add(f.atPeer)
	serving, abort := context.WithCancel(context.Background())
	t.Cleanup(abort)
	f.abortAtPeer = abort
	f.peer = httptest.NewUnstartedServer(peer)
	f.peer.Config.BaseContext = func(net.Listener) context.Context { return serving }
	f.peer.Start()
	t.Cleanup(f.peer.Close)

	upstreams := blackboard.NewUpstreams()
	instance := egress.New(egress.Config{
		Upstreams: upstreams,
		Peers: func() []egress.Peer {
			return []egress.Peer{{
				ID:      "edge-2",
				Address: strings.TrimPrefix(f.peer.URL, "http://"),
			}}
		},
		Client: plain.New(plain.Config{
			Upstream:     "peer",
			DisableReuse: true,
		}),
		Probe:  func(context.Context, *blackboard.Upstream) error { return errors.New("connection refused") },
		Logger: slog.New(slog.DiscardHandler),
	})
	f.client = instance.Replica("i-1", unreachable{})
	upstreams.Add(f.upstream(f.client))
	return f
}

func (f *fixture) upstream(client zinniamast.Replica) *blackboard.Upstream {
	return &blackboard.Upstream{
		Instance: zinniamast.Instance{
			ID:      "i-1",
			Service: "svc",
			Address: f.replica.Address(),
		},
		Replica: client,
	}
}

// send sends a request to the replica.
func (f *fixture) send(ctx context.Context) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.replica.Address()+"/say/x?y=%2F", strings.NewReader("body"))
	f.is.NoErr(err)
	request.Header.Set("Zinniamast-Expect-Instance", "i-1")
	request.Header.Set("Zinniamast-Request-Id", "r-1")
	return f.client.Send(ctx, request)
}

// Guards against a relayed request or answer that differs from a direct one.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	f := newFixture(t)
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	f.is.NoErr(err)
	f.is.Equal(string(body), "i-1 ran r-1")
	f.is.Equal(response.Header.Get("Zinniamast-Server-Stamp"), "stamp-i-1")
	run := f.replica.Runs()[0]
	f.is.Equal(run.Method, http.MethodPost)
	f.is.Equal(run.Target, "/say/x?y=%2F")
	f.is.Equal(run.Body, "body")
	for name := range run.Header {
		f.is.True(!strings.HasPrefix(name, "Relay-"))
	}
	for name := range response.Header {
		f.is.True(!strings.HasPrefix(name, "Relay-"))
	}
}

// Guards against a refusal that counts because the connection over which the peer received it passes for a new one.
func TestRelayedAnswerTellsOfThePeersConnection(t *testing.T) {
	f := newFixture(t)
	for earlier := range 2 {
		var connection zinniamast.Connection
		response, err := f.send(zinniamast.WithConnection(t.Context(), &connection))
		f.is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		f.is.NoErr(err)
		f.is.NoErr(response.Body.Close())
		f.is.Equal(connection.Requests, earlier)
	}
}

// Guards against an answer that its replica broke off and that ends like a whole one behind a peer.
func TestRelayedAnswerCutShortIsNotWhole(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Events:     4,
		BreakAfter: 2,
	})
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	f.is.True(errors.Is(err, io.ErrUnexpectedEOF))
	f.is.True(!errors.Is(err, zinniamast.ErrRelayLost))
}

// Guards against blaming a replica for the loss of the peer that relayed its answer.
func TestLostPeerIsToldFromLostReplica(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Events: 100,
		Gap:    20 * time.Millisecond,
	})
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	defer response.Body.Close()
	f.peer.CloseClientConnections()
	_, err = io.ReadAll(response.Body)
	f.is.True(errors.Is(err, zinniamast.ErrRelayLost))

	f.replica.SetBehaviour(replica.Behaviour{
		Hang: true,
	})
	time.AfterFunc(100*time.Millisecond, f.peer.CloseClientConnections)
	_, err = f.send(t.Context())
	f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureRelay)
	f.is.Equal(zinniamast.AsUpstreamError(err).Outcome().Ran, zinniamast.Unknown)
}

// Guards against counting the end of a peer's stop as a crash of the replica that was answering through it.
func TestStopOfPeerIsToldFromLostReplica(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Events: 100,
		Gap:    20 * time.Millisecond,
	})
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	defer response.Body.Close()
	f.abortAtPeer()
	_, err = io.ReadAll(response.Body)
	f.is.True(errors.Is(err, zinniamast.ErrRelayLost))
}

// Guards against relayed bodies that take more memory than the peer has, as nothing counts them.
func TestRelayedBodiesReserveMemory(t *testing.T) {
	f := newFixture(t)
	var reserved, released atomic.Int64
	isFull := false
	f.reserve = func(bytes int64) (func(), bool) {
		reserved.Add(bytes)
		return func() { released.Add(bytes) }, !isFull
	}
	response, err := f.send(t.Context())
	f.is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	f.is.NoErr(err)
	f.is.NoErr(response.Body.Close())
	f.is.Equal(reserved.Load(), int64(len("body")))
	for released.Load() < reserved.Load() {
		time.Sleep(time.Millisecond)
	}
	isFull = true
	_, err = f.send(t.Context())
	f.is.Equal(zinniamast.AsUpstreamError(err).Outcome().Ran, zinniamast.NotRun)
	f.is.Equal(len(f.replica.Runs()), 1)
}

// Guards against a peer that sends a relayed request to a replica of which it knows that it leaves.
func TestPeerRelaysNothingToLeavingReplica(t *testing.T) {
	f := newFixture(t)
	leaving := blackboard.NewUpstreams()
	leaving.Add(f.atPeer)
	f.is.True(leaving.MarkLeaving("i-1", time.Time{}))
	_, err := f.send(t.Context())
	f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureDial)
	f.is.Equal(len(f.replica.Runs()), 0)
}

// Guards against a replica that works on for a caller that has left the instance before the peer.
func TestCancelledRequestIsCancelledBehindPeer(t *testing.T) {
	f := newFixture(t)
	f.replica.SetBehaviour(replica.Behaviour{
		Hang: true,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.send(ctx)
	f.is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureTimeout)
	select {
	case <-f.replica.Runs()[0].Disconnected:
	case <-time.After(400 * time.Millisecond):
		t.Error("the replica still works on the request")
	}
}

// unfitPeers counts the requests to peers, none of which relays any.
type unfitPeers struct{ asked atomic.Int64 }

// Send implements zinniamast.Replica.
func (p *unfitPeers) Send(context.Context, *http.Request) (*http.Response, error) {
	p.asked.Add(1)
	return &http.Response{
		StatusCode: http.StatusBadGateway,
		Header:     http.Header{"Relay-Outcome": {"unfit"}},
		Body:       http.NoBody,
	}, nil
}

// Close implements zinniamast.Replica.
func (*unfitPeers) Close() {}

// Guards against instances that ask all others with each request when all of them have lost a service.
func TestOutageOfServiceAsksFewPeers(t *testing.T) {
	const (
		instances    = 195
		perSecond    = 12
		duration     = 10 * time.Second
		maxPerSecond = 5
	)
	synctest.Test(t, func(t *testing.T) {
		client := &unfitPeers{}
		upstreams := blackboard.NewUpstreams()
		e := egress.New(egress.Config{
			Upstreams: upstreams,
			Peers: func() []egress.Peer {
				peers := make([]egress.Peer, instances-1)
				for i := range peers {
					peers[i].ID = fmt.Sprint("edge-", i)
				}
				return peers
			},
			Client: client,
			Probe:  func(context.Context, *blackboard.Upstream) error { return errors.New("connection refused") },
			Logger: slog.New(slog.DiscardHandler),
		})
		for i := range 4 {
			upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      fmt.Sprint("i-", i),
					Service: "svc",
				},
				Replica: e.Replica(fmt.Sprint("i-", i), unreachable{}),
			})
		}
		for i := range perSecond * int(duration.Seconds()) {
			time.Sleep(time.Second / perSecond)
			request, err := http.NewRequest(http.MethodGet, "http://replica.example/", http.NoBody)
			is.New(t).NoErr(err)
			_, err = upstreams.Get(fmt.Sprint("i-", i%4)).Replica.Send(t.Context(), request)
			is.New(t).Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureDial)
		}
		t.Logf("%d peers asked by %d requests in %v", client.asked.Load(), perSecond*int(duration.Seconds()), duration)
		is.New(t).True(client.asked.Load() <= maxPerSecond*int64(duration.Seconds()))
	})
}

// slowClient takes a time to fail to connect.
type slowClient struct {
	unreachable
	timeout time.Duration
}

// Send implements zinniamast.Replica.
func (c slowClient) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	time.Sleep(c.timeout)
	return c.unreachable.Send(ctx, request)
}

// answering is a client of a replica that answers at once.
type answering struct{}

// Send implements zinniamast.Replica.
func (answering) Send(context.Context, *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, nil
}

// Close implements zinniamast.Replica.
func (answering) Close() {}

// Guards against requests that wait for connections to replicas that no instance can reach from a cut-off failure domain, while other replicas answer.
func TestUnreachableReplicasFailAtOnceWhileOthersAnswer(t *testing.T) {
	const (
		dialTimeout = 300 * time.Millisecond
		perSecond   = 10
		notice      = 2 * time.Second
		duration    = 20 * time.Second
		maxSlow     = 0.1
	)
	synctest.Test(t, func(t *testing.T) {
		upstreams := blackboard.NewUpstreams()
		isReachable := func(id string) bool { return id == "i-0" }
		e := egress.New(egress.Config{
			Upstreams: upstreams,
			Peers: func() []egress.Peer {
				return []egress.Peer{{ID: "edge-2"}, {ID: "edge-3"}, {ID: "edge-4"}, {ID: "edge-5"}}
			},
			Client: slowClient{
				timeout: dialTimeout,
			},
			Probe: func(_ context.Context, u *blackboard.Upstream) error {
				if isReachable(u.Instance.ID) {
					return nil
				}
				time.Sleep(dialTimeout)
				return errors.New("i/o timeout")
			},
			Logger: slog.New(slog.DiscardHandler),
		})
		for i := range 4 {
			id := fmt.Sprint("i-", i)
			client := zinniamast.Replica(slowClient{
				timeout: dialTimeout,
			})
			if isReachable(id) {
				client = answering{}
			}
			upstreams.Add(&blackboard.Upstream{
				Instance: zinniamast.Instance{
					ID:      id,
					Service: "svc",
				},
				Replica: e.Replica(id, client),
			})
		}
		start := time.Now()
		var sent, slow atomic.Int64
		var sends sync.WaitGroup
		for i := 0; time.Since(start) < duration; i++ {
			time.Sleep(time.Second / perSecond)
			sends.Go(func() {
				id := fmt.Sprint("i-", i%4)
				request, err := http.NewRequest(http.MethodGet, "http://replica.example/", http.NoBody)
				is.New(t).NoErr(err)
				began := time.Now()
				response, err := upstreams.Get(id).Replica.Send(t.Context(), request)
				is.New(t).Equal(err == nil, isReachable(id))
				if err == nil {
					_ = response.Body.Close()
				}
				if isReachable(id) || began.Sub(start) < notice {
					return
				}
				sent.Add(1)
				if time.Since(began) >= dialTimeout {
					slow.Add(1)
				}
			})
		}
		sends.Wait()
		time.Sleep(time.Minute) // until the last probes have ended
		t.Logf("%d of %d sends to unreachable replicas waited for a connection", slow.Load(), sent.Load())
		is.New(t).True(float64(slow.Load()) <= maxSlow*float64(sent.Load()))
	})
}
