package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/egress"
	"zinniamast/forward"
	"zinniamast/platform"
	"zinniamast/queue"
	"zinniamast/throttle"
)

// detours returns the way of the node's requests to other nodes' places; nil if it has no egress.
func (n *fleetNode) detours() forward.Detours {
	if n.egress == nil {
		return nil
	}
	return n.egress
}

// takePlace takes a place of a node for another node's request, as package entry does.
func takePlace(t *throttle.Throttle, q *queue.Queue, upstream *blackboard.Upstream) (*egress.Place, string) {
	if !t.BeginForPeer(upstream) {
		return nil, t.UnusedForPeers(upstream.Instance.Service)
	}
	sent := time.Now()
	return &egress.Place{
		OnAnswer: func(response *http.Response) {
			t.Answered(upstream, sent, platform.Headers{}.ReadResponse(response).Feedback)
		},
		Release: func() {
			upstream.EndAttempt()
			service := upstream.Instance.Service
			q.Freed(service, upstream.Instance.ID, q.IsShort(service) && t.KeepsPlace(upstream))
		},
	}, ""
}

// serveRelays lets the node serve other nodes' requests. Its listener is new, as after a restart.
func (n *fleetNode) serveRelays() {
	server := &http.Server{
		Handler: n.egress,
	}
	relays := &pipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.server, n.relays = server, relays
	go func() { _ = server.Serve(relays) }()
}

// listener returns the node's present listener for other nodes' requests.
func (n *fleetNode) listener() *pipeListener {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.relays
}

// silenceable is a connection between two nodes that may fall silent.
type silenceable struct {
	net.Conn
	nodes  []*fleetNode
	closed chan struct{}
	once   sync.Once
}

func newSilenceable(conn net.Conn, nodes ...*fleetNode) net.Conn {
	if conn == nil {
		return nil
	}
	return &silenceable{
		Conn:   conn,
		nodes:  nodes,
		closed: make(chan struct{}),
	}
}

// isSilent reports whether the link between the nodes is silent.
func (c *silenceable) isSilent() bool {
	return slices.ContainsFunc(c.nodes, func(n *fleetNode) bool { return n.hasSilentLinks.Load() })
}

// Read implements net.Conn.
func (c *silenceable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *silenceable) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silenceable) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// peerOutcome is what a caller knows of its request.
type peerOutcome struct {
	id     string
	status int
	whole  bool
}

// callForOutcome sends a request to a node.
func (f *fleet) callForOutcome(n *fleetNode, path, id string, duration time.Duration) (o peerOutcome) {
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
		o = peerOutcome{
			id:     id,
			status: recorder.Code,
			whole:  recorder.Code == http.StatusOK && recorder.Body.String() == events(takeoverEvents),
		}
	}()
	n.handler.ServeHTTP(recorder, request)
	return o
}

// playPeerFailures lets the callers of one node, and few of others, ask brittle replicas while
// something happens to the other nodes, and checks that what the callers are told is true. It
// returns the share of requests that were served, and how many were offered to other nodes.
func playPeerFailures(t *testing.T, disturb func(f *fleet, peer *fleetNode)) (served float64, relayed int) {
	const perSecond, from, until = 30, 2 * time.Second, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetConfig{
			seed:     1,
			slots:    8,
			hasPaths: true,
		})
		defer f.closeServers()
		f.setBrittleness(&brittleness{
			rejections: 10,
			slots:      8,
		}, 8)
		for i, n := range f.nodes[1:] {
			for at := 5*time.Second + time.Duration(i)*time.Second; at < until; at += 5 * time.Second {
				time.AfterFunc(at, func() { disturb(f, n) })
			}
		}
		var done sync.WaitGroup
		var outcomes []peerOutcome
		counted, whole := 0, 0
		paths := []string{pathUnsafe, pathResumable, pathStream, pathSafe}
		for number := 0; time.Since(f.start) < until; number++ {
			time.Sleep(time.Second / perSecond)
			n := f.nodes[0]
			if number%5 == 0 {
				n = f.nodes[1+number/5%(len(f.nodes)-1)]
			}
			isCounted := n == f.nodes[0] && time.Since(f.start) > from
			f.mu.Lock()
			duration := time.Duration(200+f.random.IntN(1800)) * time.Millisecond
			f.mu.Unlock()
			done.Go(func() {
				o := f.callForOutcome(n, paths[number%len(paths)], fmt.Sprint("r-", number), duration)
				f.mu.Lock()
				defer f.mu.Unlock()
				outcomes = append(outcomes, o)
				if isCounted {
					counted++
				}
				if isCounted && o.whole {
					whole++
				}
			})
		}
		done.Wait()
		time.Sleep(time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, o := range outcomes {
			var number int
			_, _ = fmt.Sscanf(o.id, "r-%d", &number)
			path := paths[number%len(paths)]
			if (path == pathUnsafe || path == pathStream) && f.begun[o.id] > 1 {
				t.Errorf("%s on %s, which may not be repeated, ran %d times", o.id, path, f.begun[o.id])
			}
			if (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) && f.begun[o.id] > 0 {
				t.Errorf("%s got status %d and ran", o.id, o.status)
			}
		}
		relayed = len(f.log.linesWith("through=node-"))
		served = float64(whole) / float64(counted)
	})
	return served, relayed
}

// Guards against requests that run twice, or ran although their caller was told otherwise, when the node that is to relay them fails.
func TestPeerThatFailsRunsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name      string
		minServed float64
		disturb   func(f *fleet, peer *fleetNode)
	}{
		{
			name:      "calm",
			minServed: 0.9,
			disturb:   func(*fleet, *fleetNode) {},
		},
		{
			// Half of the requests may not be repeated, and a peer dies fifteen times.
			name:      "peer dies and comes back",
			minServed: 0.8,
			disturb: func(_ *fleet, peer *fleetNode) {
				_ = peer.server.Close()
				time.AfterFunc(2*time.Second, peer.serveRelays)
			},
		},
		{
			name:      "peer stops",
			minServed: 0.9,
			disturb: func(_ *fleet, peer *fleetNode) {
				peer.leaves.Store(true)
				time.AfterFunc(2*time.Second, func() { peer.leaves.Store(false) })
			},
		},
		{
			// Two of five links are silent at any time.
			name:      "links are silent",
			minServed: 0.8,
			disturb: func(_ *fleet, peer *fleetNode) {
				peer.hasSilentLinks.Store(true)
				time.AfterFunc(2*time.Second, func() { peer.hasSilentLinks.Store(false) })
			},
		},
		{
			name:      "peers disagree about shares",
			minServed: 0.9,
			disturb: func(f *fleet, peer *fleetNode) {
				f.mu.Lock()
				defer f.mu.Unlock()
				peer.owners.Instances = func() []zinniamast.Instance { return nil }
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			served, relayed := playPeerFailures(t, c.disturb)
			t.Logf("%.3f served, %d relayed", served, relayed)
			is.New(t).True(relayed > 0)
			is.New(t).True(served >= c.minServed)
		})
	}
}

// Guards against a node with most of the callers that refuses these, while other nodes' places stand idle at replicas that ask for rest, and against rests broken for it.
func TestBusiestNodeUsesRoomOfReplicasThatAskForRest(t *testing.T) {
	// At more than 25 a second and five of eight slots, the replicas that ask for none are full too.
	const perSecond = 25
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play := func(rest resting) (broken int, served float64) {
				synctest.Test(t, func(t *testing.T) {
					w := &brittleWorld{
						fleet: newFleet(t, fleetConfig{
							seed:     seed,
							slots:    8,
							hasPaths: true,
						}),
					}
					defer w.closeServers()
					w.hasBusyNode = true
					time.AfterFunc(restFrom, func() { w.setBrittleness(nil, rest.slots) })
					time.AfterFunc(restFrom, func() { w.setRest(&rest) })
					time.AfterFunc(restUntil, func() { w.setRest(nil) })
					var done sync.WaitGroup
					done.Go(func() { w.callersBetween(&done, "all", perSecond, 0, restUntil) })
					done.Wait()
					for _, asked := range w.rests {
						if asked.requests > restSlack {
							broken++
						}
					}
					served = w.served(restFrom, restUntil)
				})
				return broken, served
			}
			broken, served := play(resting{
				whenFull: 5 * time.Second,
				slots:    5,
			})
			_, servedWithout := play(resting{
				slots: 5,
			})
			t.Logf("%d rests broken; %.3f served, %.3f by replicas that ask for none, ratio %.3f", broken, served, servedWithout, served/servedWithout)
			is.New(t).Equal(broken, 0)
			is.New(t).True(served >= 0.95*servedWithout)
		})
	}
}
