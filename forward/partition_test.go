package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/plain"
	"zinniamast/platform"
)

// cutKind is what a cut does to the connections between a node and all replicas. New ones
// are never established.
type cutKind string

const (
	notCut cutKind = ""
	// cutSilent keeps the open connections silent and drops the packets of new ones, cutReset
	// resets and refuses them, and cutNew lets the open ones live on.
	cutSilent cutKind = "silent"
	cutReset  cutKind = "reset"
	cutNew    cutKind = "new"
)

// dialTimeout is how long a node waits for a connection, and connectTime how long one takes.
const (
	dialTimeout = 300 * time.Millisecond
	connectTime = 4 * time.Millisecond
)

// paths are a node's connections to all replicas.
type paths struct {
	fleet *fleet
	node  string

	mu   sync.Mutex
	kind cutKind
	// changed is closed and replaced when the kind changes.
	changed chan struct{}
	idle    map[string]int
}

// cut sets the kind of the cut.
func (p *paths) cut(kind cutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind = kind
	if kind == cutReset {
		clear(p.idle)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *paths) state() (kind cutKind, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind, p.changed
}

// takeIdle takes an idle connection to a replica.
func (p *paths) takeIdle(replica string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle[replica] == 0 {
		return false
	}
	p.idle[replica]--
	return true
}

// connect establishes a connection to a replica.
func (p *paths) connect(ctx context.Context, r *fragile) error {
	kind, _ := p.state()
	wait, err := connectTime, error(nil)
	if kind != notCut || r.hasCrashed() {
		err = errors.New("connection refused")
	}
	if kind == cutSilent {
		wait, err = dialTimeout, errors.New("i/o timeout")
	}
	select {
	case <-time.After(wait):
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasCrashed reports whether the replica is down.
func (r *fragile) hasCrashed() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.isDown
}

// probe tries to connect to a replica.
func (p *paths) probe(ctx context.Context, upstream *blackboard.Upstream) error {
	p.fleet.mu.Lock()
	i := slices.IndexFunc(p.fleet.replicas, func(r *fragile) bool { return r.id == upstream.Instance.ID })
	r := p.fleet.replicas[i]
	p.fleet.mu.Unlock()
	return p.connect(ctx, r)
}

// awaitOpen waits while an established connection is silent. It returns an error if the
// connection is reset.
func (p *paths) awaitOpen(ctx context.Context) error {
	for {
		kind, changed := p.state()
		switch kind {
		case cutReset:
			return errors.New("connection reset by peer")
		case notCut, cutNew:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// pathTo is the client of a replica over a node's paths. It implements zinniamast.Replica.
type pathTo struct {
	paths   *paths
	replica *fragile
}

// Close implements zinniamast.Replica.
func (r *pathTo) Close() {
	r.paths.mu.Lock()
	defer r.paths.mu.Unlock()
	delete(r.paths.idle, r.replica.id)
}

func (r *pathTo) failure(kind zinniamast.Failure, cause error) error {
	return &zinniamast.UpstreamError{
		Failure:  kind,
		Upstream: r.replica.id,
		Cause:    cause,
	}
}

// Send implements zinniamast.Replica.
func (r *pathTo) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	if !r.paths.takeIdle(r.replica.id) {
		if err := r.paths.connect(ctx, r.replica); err != nil {
			return nil, r.failure(zinniamast.FailureDial, err)
		}
	}
	if err := r.paths.awaitOpen(ctx); err != nil {
		switch {
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			return nil, r.failure(zinniamast.FailureTimeout, err)
		case ctx.Err() != nil:
			return nil, r.failure(zinniamast.FailureStopped, err)
		}
		return nil, r.failure(zinniamast.FailureReset, err)
	}
	r.paths.fleet.countRun(request)
	response, err := r.replica.Send(withSender(ctx, r.paths.node), request)
	if err != nil {
		return nil, err
	}
	response.Body = &pathBody{
		ReadCloser: response.Body,
		ctx:        ctx,
		path:       r,
	}
	return response, nil
}

// pathBody is the body of an answer that comes over a node's paths.
type pathBody struct {
	io.ReadCloser
	ctx  context.Context
	path *pathTo
}

// Read implements io.Reader.
func (b *pathBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if pathErr := b.path.paths.awaitOpen(b.ctx); pathErr != nil {
		return 0, pathErr
	}
	if err == io.EOF {
		b.path.paths.mu.Lock()
		defer b.path.paths.mu.Unlock()
		b.path.paths.idle[b.path.replica.id]++
	}
	return n, err
}

// countRun counts how often each request that must not be repeated reaches a replica.
func (f *fleet) countRun(request *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.HasPrefix(request.URL.Opaque, "/pay/") {
		f.runs[request.Header.Get("Zinniamast-Request-Id")]++
	}
}

// pipeListener accepts the connections that dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection.
func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// addEgress gives a node paths to the replicas and a receiver for other nodes' requests.
func (n *fleetNode) addEgress(name, domain string, logger *slog.Logger) {
	f := n.fleet
	n.paths = &paths{
		fleet:   f,
		node:    name,
		changed: make(chan struct{}),
		idle:    map[string]int{},
	}
	n.egress = egress.New(egress.Config{
		FailureDomain: domain,
		Upstreams:     n.board.Upstreams,
		Peers:         n.peers,
		Client: plain.New(plain.Config{
			Upstream: "peer",
			Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
				for _, other := range f.nodes {
					if other.name+":80" == address {
						if n.hasSilentLinks.Load() || other.hasSilentLinks.Load() {
							time.Sleep(dialTimeout)
							return nil, errors.New("i/o timeout")
						}
						conn, err := other.listener().dial(ctx)
						return newSilenceable(conn, n, other), err
					}
				}
				return nil, errors.New("no such node")
			},
			DisableReuse: true,
		}),
		Probe:    n.paths.probe,
		MayRelay: func(upstream *blackboard.Upstream) bool { return n.throttle.MayRelay(upstream) },
		OnRelayed: func(upstream *blackboard.Upstream, response *http.Response) {
			n.throttle.Relayed(upstream, platform.Headers{}.ReadResponse(response).Feedback)
		},
		Closing: func() bool { return n.leaves.Load() },
		Holders: func(upstream *blackboard.Upstream) []string {
			return n.owners.Holders(upstream.Instance.ID, upstream.Slots)
		},
		TakePlace: func(upstream *blackboard.Upstream) (*egress.Place, string) {
			return takePlace(currentThrottle{n}.current(), n.queue, upstream)
		},
		Logger: logger,
	})
	n.serveRelays()
}

// peers returns the other nodes.
func (n *fleetNode) peers() []egress.Peer {
	var peers []egress.Peer
	for _, other := range n.fleet.nodes {
		if other != n {
			peers = append(peers, egress.Peer{
				ID:            other.name,
				FailureDomain: other.domain,
				Address:       other.name + ":80",
			})
		}
	}
	return peers
}

// newClient returns the node's client of a replica.
func (n *fleetNode) newClient(r *fragile) zinniamast.Replica {
	if n.egress == nil {
		return &sentBy{
			fragile: r,
			node:    n.name,
		}
	}
	return n.egress.Replica(r.id, &pathTo{
		paths:   n.paths,
		replica: r,
	})
}

// callNode sends a request to a node and reports whether it was answered with success.
func (f *fleet) callNode(n *fleetNode, path, id string, duration time.Duration) (served bool) {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(fmt.Sprint(id, " ", duration.Milliseconds())))
	request.Host = host
	request.Header.Set("Zinniamast-Request-Id", id)
	request.Header.Set("Zinniamast-Deadline-Ms", "5000")
	request.Header.Set("Api-Key", key)
	recorder := httptest.NewRecorder()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
		served = recorder.Code == http.StatusOK && recorder.Body.String() == events(takeoverEvents)
	}()
	n.handler.ServeHTTP(recorder, request)
	return served
}

// The times of a fleet some of whose nodes are cut off from all replicas. Two thirds of the
// cut nodes' requests from contactTime after the cut must be served; the aim is nearly all.
const (
	cutBegin    = 5 * time.Second
	cutEnd      = 17 * time.Second
	cutTestEnd  = 22 * time.Second
	perNode     = 14
	maxUnserved = 0.01
)

// tally counts the first tries at some nodes.
type tally struct {
	sent, served int
}

// Guards against nodes that refuse their callers, or let them wait, while only their own paths to the replicas are cut.
func TestCallersOfNodesWithoutReplicasAreServed(t *testing.T) {
	paths := []string{pathResumable, pathUnsafe, pathSafe, pathStream}
	for _, kind := range []cutKind{cutSilent, cutReset, cutNew} {
		for _, cutNodes := range [][]int{{1, 2}, {0, 4}, {0, 1, 2, 3, 4}} {
			t.Run(fmt.Sprint(kind, " ", cutNodes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, fleetConfig{
						seed:     1,
						slots:    64,
						hasPaths: true,
					})
					defer f.closeServers()
					isCut := map[*fleetNode]bool{}
					for _, i := range cutNodes {
						isCut[f.nodes[i]] = true
						time.AfterFunc(cutBegin, func() { f.nodes[i].paths.cut(kind) })
						time.AfterFunc(cutEnd, func() { f.nodes[i].paths.cut(notCut) })
					}
					tallies := map[bool]*tally{true: {}, false: {}}
					early := tally{}
					var done sync.WaitGroup
					for number := 0; time.Since(f.start) < cutTestEnd; number++ {
						time.Sleep(time.Second / perNode)
						for i, n := range f.nodes {
							at := time.Since(f.start)
							path := paths[(number+i)%len(paths)]
							done.Go(func() {
								served := f.callNode(n, path, fmt.Sprint("r-", i, "-", number), 500*time.Millisecond)
								f.mu.Lock()
								defer f.mu.Unlock()
								count := tallies[isCut[n]]
								if isCut[n] && at >= cutBegin-time.Second && at < cutBegin+contactTime {
									count = &early
								}
								count.sent++
								if served {
									count.served++
								}
							})
						}
					}
					done.Wait()
					cut, others := tallies[true], tallies[false]
					t.Logf("served at cut nodes %d of %d, at the others %d of %d, around the begin of the cut %d of %d",
						cut.served, cut.sent, others.served, others.sent, early.served, early.sent)
					for _, count := range tallies {
						f.is.True(float64(count.sent-count.served) <= maxUnserved*float64(count.sent))
					}
					for _, runs := range f.runs {
						f.is.Equal(runs, 1)
					}
				})
			})
		}
	}
}

// Guards against nodes whose own paths are reset and that report the replicas as crashed under the requests running there.
func TestNodesWithoutReplicasReportNoCrashes(t *testing.T) {
	const cuts, cutTime, period = 6, 4 * time.Second, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetConfig{
			seed:     1,
			slots:    64,
			hasPaths: true,
		})
		defer f.closeServers()
		for i := range cuts {
			for _, n := range []*fleetNode{f.nodes[i%fleetNodes], f.nodes[(i+1)%fleetNodes]} {
				begin := period * time.Duration(i+1)
				time.AfterFunc(begin, func() { n.paths.cut(cutReset) })
				time.AfterFunc(begin+cutTime, func() { n.paths.cut(notCut) })
			}
		}
		var done sync.WaitGroup
		f.callers(&done, 60, period*(cuts+1))
		done.Wait()
		reported, suspected := len(f.log.linesWith("replica crashed")), len(f.log.linesWith("suspect request admitted"))
		t.Logf("%d crashes reported and %d requests suspected although no replica crashed; %d of %d requests served", reported, suspected, f.served, f.sent)
		f.is.Equal(reported, 0)
		f.is.Equal(suspected, 0)
		f.is.Equal(f.refused, 0)
		f.is.Equal(f.served, f.sent)
	})
}

// Guards against taking a real crash for the loss of a path, so that a request that crashes replicas goes on.
func TestCrashesAreReportedBesideNodesWithoutReplicas(t *testing.T) {
	const poison, tries = "poison", 8
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetConfig{
			seed:     1,
			slots:    64,
			hasPaths: true,
			contents: []string{poison},
		})
		defer f.closeServers()
		for i := range 2 {
			time.AfterFunc(time.Second, func() { f.nodes[i].paths.cut(cutReset) })
		}
		var done sync.WaitGroup
		done.Go(func() { f.callers(&done, 60, tries*time.Second) })
		isHeldBack := false
		for i := range tries {
			time.Sleep(time.Second)
			isHeldBack, _ = f.call(fmt.Sprint("p-", i), poison, 0)
		}
		done.Wait()
		time.Sleep(time.Minute)
		crashes := len(f.crashes[poison])
		t.Logf("%d crashes, %d lines that report one; held back: %t; %d of %d others served, %d held back",
			crashes, len(f.log.linesWith("replica crashed")), isHeldBack, f.served, f.sent, f.refused)
		f.is.True(isHeldBack)
		f.is.True(crashes >= 2 && crashes <= 3)
	})
}
