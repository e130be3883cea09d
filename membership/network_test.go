package membership_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/membership"
)

var errNetwork = errors.New("network")

// framingBytes is what TCP, IP, TLS and the RPC header add to a message.
const framingBytes = 52 + 22 + 24

// network connects nodes in one process and injects faults.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*node
	latency time.Duration
	// extraDelay is an additional one-way delay from or to a node.
	extraDelay map[string]time.Duration
	// cut drops messages from the first node to the second.
	cut map[[2]string]bool
	// paused blocks messages from and to a node until the channel closes.
	paused map[string]chan struct{}
	// refused makes messages from a node fail at once.
	refused  map[string]bool
	lossRate float64
	random   *rand.Rand
	sizes    *messageSizer
	bytes    map[string]int
	messages map[string]int
	// exchanges and probes count what was started, by sender and receiver.
	exchanges map[[2]string]int
	probes    map[[2]string]int
	// asks counts the messages of a node that ask for the full state of another.
	asks map[string]int
	// listedFrom is when the instance list, which is shared by all nodes, begins to
	// include nodes outside the first domain; zero means that there is no list.
	listedFrom time.Time
}

// firstDomain is the failure domain whose nodes are listed from the start.
const firstDomain = "domain-00"

// List implements zinniamast.InstanceList.
func (n *network) List(context.Context) ([]zinniamast.Instance, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var instances []zinniamast.Instance
	for _, started := range n.nodes {
		if started.domain != firstDomain && time.Now().Before(n.listedFrom) {
			continue
		}
		instances = append(instances, zinniamast.Instance{
			ID:            started.id,
			FailureDomain: started.domain,
			Role:          "entry",
			Address:       started.id,
		})
	}
	return instances, nil
}

// node is one member under test.
type node struct {
	*membership.Membership
	id, domain string
	table      *blackboard.Members
	stop       context.CancelFunc
	version    atomic.Uint64
}

func newNetwork() *network {
	return &network{
		nodes:      map[string]*node{},
		latency:    time.Millisecond,
		extraDelay: map[string]time.Duration{},
		cut:        map[[2]string]bool{},
		paused:     map[string]chan struct{}{},
		refused:    map[string]bool{},
		exchanges:  map[[2]string]int{},
		probes:     map[[2]string]int{},
		random:     rand.New(rand.NewPCG(1, 2)),
		sizes:      newMessageSizer(),
		bytes:      map[string]int{},
		messages:   map[string]int{},
		asks:       map[string]int{},
	}
}

// start starts a node whose address is its ID.
func (n *network) start(t *testing.T, id, domain string, seeds ...string) *node {
	t.Helper()
	started := &node{
		id:     id,
		domain: domain,
		table:  blackboard.NewMembers(),
	}
	var list zinniamast.InstanceList
	if !n.listedFrom.IsZero() {
		list = n
	}
	started.Membership = membership.New(membership.Config{
		List:          list,
		ID:            id,
		FailureDomain: domain,
		Address:       id,
		Weight:        1,
		Seeds:         seeds,
		Members:       started.table,
		Transport:     nodeTransport{network: n, id: id},
		Logger:        slog.New(slog.NewTextHandler(io.Discard, nil)),
		ConfigVersion: started.version.Load,
		OnNewerConfig: func(_ string, version uint64) { started.version.Store(version) },
	})
	n.mu.Lock()
	n.nodes[id] = started
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	started.stop = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		started.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return started
}

// fleet starts count nodes across the domains and waits until they have joined.
func (n *network) fleet(t *testing.T, count, domains int) []*node {
	t.Helper()
	var all []*node
	for i := range count {
		domain := fmt.Sprintf("domain-%02d", i%domains)
		all = append(all, n.start(t, fmt.Sprintf("node-%03d", i), domain, "node-000", "node-001"))
		time.Sleep(7 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	return all
}

// crash stops a node. Messages to it are then refused, or vanish if the crash is silent.
func (n *network) crash(id string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id].stop()
	if !silent {
		delete(n.nodes, id)
		return
	}
	n.paused[id] = make(chan struct{})
}

func (n *network) pause(id string) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	gate := make(chan struct{})
	n.paused[id] = gate
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.paused, id)
		close(gate)
	}
}

// update changes the network under its lock.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// deliver delivers one message, subject to the faults, and returns the receiver.
func (n *network) deliver(ctx context.Context, from, to string, size int) (*node, error) {
	n.mu.Lock()
	delay := n.latency + n.extraDelay[from] + n.extraDelay[to]
	lost := n.cut[[2]string{from, to}] || n.random.Float64() < n.lossRate
	gates := []chan struct{}{n.paused[from], n.paused[to]}
	n.bytes[from] += size
	n.bytes[to] += size
	n.messages[from]++
	refused := n.refused[from]
	n.mu.Unlock()
	if refused {
		return nil, errNetwork
	}
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, gate := range gates {
		if gate == nil {
			continue
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	time.Sleep(delay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver, ok := n.nodes[to]
	if !ok {
		return nil, errNetwork
	}
	return receiver, nil
}

// nodeTransport is one node's transport over the network.
type nodeTransport struct {
	network *network
	id      string
}

// Exchange implements membership.Transport.
func (p nodeTransport) Exchange(ctx context.Context, address string, message *membership.Exchange) (*membership.Exchange, error) {
	p.network.update(func() { p.network.exchanges[[2]string{p.id, address}]++ })
	if message.Want {
		p.network.update(func() { p.network.asks[p.id]++ })
	}
	receiver, err := p.network.deliver(ctx, p.id, address, p.network.sizes.of(message))
	if err != nil {
		return nil, err
	}
	answer := receiver.Receive(message)
	_, err = p.network.deliver(ctx, address, p.id, p.network.sizes.of(answer))
	return answer, err
}

// Probe implements membership.Transport.
func (p nodeTransport) Probe(ctx context.Context, address string, probe membership.Probe) (membership.ProbeResult, error) {
	p.network.update(func() { p.network.probes[[2]string{p.id, address}]++ })
	receiver, err := p.network.deliver(ctx, p.id, address, framingBytes+32)
	if err != nil {
		return membership.ProbeResult{}, err
	}
	result := receiver.ProbeFor(probe)
	_, err = p.network.deliver(ctx, address, p.id, framingBytes+4)
	return result, err
}

// messageSizer measures messages as gob encodes them on an established connection.
type messageSizer struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func newMessageSizer() *messageSizer {
	s := &messageSizer{}
	s.encoder = gob.NewEncoder(&s.buffer)
	_ = s.encoder.Encode(&membership.Exchange{From: "x"})
	return s
}

func (s *messageSizer) of(message *membership.Exchange) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer.Reset()
	_ = s.encoder.Encode(message)
	return s.buffer.Len() + framingBytes
}
