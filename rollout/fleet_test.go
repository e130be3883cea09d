package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/membership"
	"zinniamast/rollout"
)

var errDown = errors.New("down")

// table is the platform's table with injected faults.
type table struct {
	mu    sync.Mutex
	items map[zinniamast.Key]zinniamast.Item
	// stale, if set, is returned to reads instead of items.
	stale map[zinniamast.Key]zinniamast.Item
	// unreachableFrom holds the nodes that cannot reach the table; "all" means
	// every node.
	unreachableFrom map[string]bool
	delay           time.Duration
	// lostReplies is the number of writes that take effect but return an error.
	lostReplies int
	// afterWrite runs after each write that takes effect.
	afterWrite func()
}

// tableClient is one node's access to the table.
type tableClient struct {
	*table
	node string
}

func (c tableClient) reach(ctx context.Context) error {
	c.mu.Lock()
	delay, isUnreachable := c.delay, c.unreachableFrom[c.node] || c.unreachableFrom["all"]
	c.mu.Unlock()
	time.Sleep(delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isUnreachable {
		return errDown
	}
	return nil
}

func (c tableClient) Get(ctx context.Context, key zinniamast.Key) (zinniamast.Item, error) {
	if err := c.reach(ctx); err != nil {
		return zinniamast.Item{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	items := c.items
	if c.stale != nil {
		items = c.stale
	}
	item, ok := items[key]
	if !ok {
		return item, zinniamast.ErrNotFound
	}
	return item, nil
}

func (c tableClient) Query(ctx context.Context, partition, after string, limit int) ([]zinniamast.Item, error) {
	if err := c.reach(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []zinniamast.Item
	for number := range uint64(100) {
		sort := fmt.Sprintf("%020d", number)
		if item, ok := c.items[zinniamast.Key{Partition: partition, Sort: sort}]; ok && sort > after && len(found) < limit {
			found = append(found, item)
		}
	}
	return found, nil
}

func (c tableClient) Write(ctx context.Context, writes []zinniamast.Write) error {
	if err := c.reach(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflict zinniamast.ConflictError
	for i, write := range writes {
		if c.items[write.Item.Key].Revision != write.Expect {
			conflict.Failed = append(conflict.Failed, i)
		}
	}
	if len(conflict.Failed) > 0 {
		return &conflict
	}
	for _, write := range writes {
		write.Item.Revision = write.Expect + 1
		c.items[write.Item.Key] = write.Item
	}
	if c.afterWrite != nil {
		c.afterWrite()
	}
	if c.lostReplies > 0 {
		c.lostReplies--
		return errDown
	}
	return nil
}

// fleet is a set of nodes in one process, with injected faults of the network
// and the table.
type fleet struct {
	t     *testing.T
	table *table
	mu    sync.Mutex
	nodes map[string]*node
	cut   map[[2]string]bool
	// spreads are the messages sent, in order.
	spreads []rollout.Spread
}

// node is one node with membership and rollout.
type node struct {
	*rollout.Rollout
	id, domain string
	board      *blackboard.Board
	members    *membership.Membership
	stop       func()
	// versionsSeen are the versions in force, in the order observed.
	versionsSeen []uint64
}

func newFleet(t *testing.T, domains, perDomain int) *fleet {
	f := &fleet{
		t: t,
		table: &table{
			items:           map[zinniamast.Key]zinniamast.Item{},
			unreachableFrom: map[string]bool{},
		},
		nodes: map[string]*node{},
		cut:   map[[2]string]bool{},
	}
	for d := range domains {
		for i := range perDomain {
			f.start(fmt.Sprintf("%c%d", 'a'+d, i), fmt.Sprintf("domain-%c", 'a'+d))
		}
	}
	time.Sleep(10 * time.Second)
	return f
}

func (f *fleet) start(id, domain string) *node {
	n := &node{
		id:     id,
		domain: domain,
		board:  blackboard.New(),
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.members = membership.New(membership.Config{
		ID:            id,
		FailureDomain: domain,
		Address:       id,
		Weight:        1,
		Seeds:         []string{"a0", "b0"},
		Members:       n.board.Members,
		Transport:     transport{fleet: f, from: id},
		Logger:        logger,
		ConfigVersion: func() uint64 { return n.Number() },
		OnNewerConfig: func(address string, number uint64) { n.ObserveVersion(address, number) },
	})
	var err error
	n.Rollout, err = rollout.New(rollout.Config{
		Node:          id,
		FailureDomain: domain,
		Board:         n.board,
		Table:         tableClient{table: f.table, node: id},
		Transport:     transport{fleet: f, from: id},
		Joined:        n.members.Joined,
		Logger:        logger,
	})
	is.New(f.t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.members.Run(ctx) })
	running.Go(func() { n.Run(ctx) })
	running.Go(func() { n.recordVersions(ctx) })
	stopped := sync.Once{}
	n.stop = func() {
		stopped.Do(func() {
			f.mu.Lock()
			if f.nodes[id] == n {
				delete(f.nodes, id)
			}
			f.mu.Unlock()
			cancel()
			running.Wait()
		})
	}
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	f.t.Cleanup(n.stop)
	return n
}

// recordVersions records each change of the version in force;
// checkVersionsIncrease checks the order.
func (n *node) recordVersions(ctx context.Context) {
	for ctx.Err() == nil {
		number := n.Number()
		if len(n.versionsSeen) == 0 || number != n.versionsSeen[len(n.versionsSeen)-1] {
			n.versionsSeen = append(n.versionsSeen, number)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// cutOneWay drops messages from one set of nodes to another.
func (f *fleet) cutOneWay(from, to []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			f.cut[[2]string{a, b}] = true
		}
	}
}

// update changes the injected faults while holding the lock.
func (t *table) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}

// setIsolated isolates a failure domain from the others, or reconnects it.
func (f *fleet) setIsolated(domain string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, first := range f.nodes {
		for b, second := range f.nodes {
			if (first.domain == domain) != (second.domain == domain) {
				f.cut[[2]string{a, b}] = cut
			}
		}
	}
}

func (f *fleet) allInForce(number uint64, except string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.domain != except && n.Number() != number {
			return false
		}
	}
	return true
}

// transport carries the calls of one node to the others.
type transport struct {
	fleet *fleet
	from  string
}

// reach waits 1.5 ms and returns the destination node.
func (t transport) reach(ctx context.Context, to string) (*node, error) {
	t.fleet.mu.Lock()
	cut, n := t.fleet.cut[[2]string{t.from, to}], t.fleet.nodes[to]
	t.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(1500 * time.Microsecond)
	if n == nil {
		return nil, errDown
	}
	return n, nil
}

// Exchange implements membership.Transport.
func (t transport) Exchange(ctx context.Context, address string, message *membership.Exchange) (*membership.Exchange, error) {
	n, err := t.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	answer := n.members.Receive(message)
	_, err = transport{fleet: t.fleet, from: address}.reach(ctx, t.from)
	return answer, err
}

// Probe implements membership.Transport.
func (t transport) Probe(ctx context.Context, address string, probe membership.Probe) (membership.ProbeResult, error) {
	n, err := t.reach(ctx, address)
	if err != nil {
		return membership.ProbeResult{}, err
	}
	return n.members.ProbeFor(probe), nil
}

// Call implements rollout.Transport.
func (t transport) Call(ctx context.Context, address, method string, args, reply any) error {
	n, err := t.reach(ctx, address)
	if err != nil {
		return err
	}
	switch method {
	case rollout.ServiceName + ".Fetch":
		err = n.Receiver().Fetch(args.(rollout.Fetch), reply.(*rollout.FetchReply))
	case rollout.ServiceName + ".Spread":
		t.fleet.mu.Lock()
		t.fleet.spreads = append(t.fleet.spreads, args.(rollout.Spread))
		t.fleet.mu.Unlock()
		err = n.Receiver().Spread(args.(rollout.Spread), reply.(*rollout.SpreadReply))
	}
	if err != nil {
		return err
	}
	_, err = transport{fleet: t.fleet, from: address}.reach(ctx, t.from)
	return err
}
