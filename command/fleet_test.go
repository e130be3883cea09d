package command_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/membership"
	"zinniamast/operator"
	"zinniamast/peer"
	"zinniamast/rollout"
	"zinniamast/standin/platform"
)

var (
	peerKey     = strings.Repeat("k", 32)
	operatorKey = strings.Repeat("o", 32)
)

// hookedTable calls a function after each successful write.
type hookedTable struct {
	zinniamast.Table
	mu         sync.Mutex
	afterWrite func()
}

// Write implements zinniamast.Table.
func (h *hookedTable) Write(ctx context.Context, writes []zinniamast.Write) error {
	err := h.Table.Write(ctx, writes)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && h.afterWrite != nil {
		h.afterWrite()
	}
	return err
}

func (h *hookedTable) setAfterWrite(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.afterWrite = f
}

// fleet is a set of nodes in this process that connect over loopback TLS.
type fleet struct {
	platform *platform.Platform
	table    *hookedTable
	nodes    []*fleetNode
	// keyFile is the path of a file with the operator key.
	keyFile string
}

type fleetNode struct {
	id      string
	board   *blackboard.Board
	server  *peer.Server
	pool    *peer.Pool
	rollout *rollout.Rollout
	members *membership.Membership
}

func newFleet(t testing.TB, domains, perDomain int) *fleet {
	t.Helper()
	f := &fleet{
		platform: platform.New(platform.Config{}),
		keyFile:  filepath.Join(t.TempDir(), "key"),
	}
	f.table = &hookedTable{
		Table: f.platform.Table,
	}
	check := is.New(t)
	check.NoErr(os.WriteFile(f.keyFile, []byte(operatorKey+"\n"), 0o600))
	var seeds []string
	for d := range domains {
		for i := range perDomain {
			n := f.startNode(t, fmt.Sprintf("%c%d", 'a'+d, i), fmt.Sprintf("domain-%c", 'a'+d), seeds)
			f.nodes = append(f.nodes, n)
			seeds = append(seeds, n.server.Address())[:1]
		}
	}
	for !f.hasConverged(perDomain, domains) {
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

// hasConverged reports whether every node knows all members of its own failure
// domain and at least one of each other failure domain.
func (f *fleet) hasConverged(perDomain, domains int) bool {
	for _, n := range f.nodes {
		found := map[string]int{}
		for _, m := range n.board.Members.All() {
			found[m.FailureDomain]++
		}
		own, _ := n.board.Members.Get(n.id)
		if found[own.FailureDomain] != perDomain || len(found) != domains {
			return false
		}
	}
	return true
}

func (f *fleet) startNode(t testing.TB, id, domain string, seeds []string) *fleetNode {
	check := is.New(t)
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	n := &fleetNode{
		id:    id,
		board: blackboard.New(),
	}
	var err error
	n.server, err = peer.NewServer(peer.ServerConfig{
		Listen:       "127.0.0.1:0",
		PeerKeys:     []string{peerKey},
		OperatorKeys: []string{operatorKey},
		Logger:       logger,
	})
	check.NoErr(err)
	n.pool, err = peer.NewPool(peer.PoolConfig{
		Keys: []string{peerKey},
	})
	check.NoErr(err)
	n.members = membership.New(membership.Config{
		ID:            id,
		FailureDomain: domain,
		Address:       n.server.Address(),
		Weight:        1,
		Seeds:         seeds,
		Members:       n.board.Members,
		Transport:     membership.RPC{Pool: n.pool},
		Logger:        logger,
		ConfigVersion: func() uint64 { return n.rollout.Number() },
		OnNewerConfig: func(address string, number uint64) { n.rollout.ObserveVersion(address, number) },
	})
	n.rollout, err = rollout.New(rollout.Config{
		Node:          id,
		FailureDomain: domain,
		Board:         n.board,
		Table:         f.table,
		Transport:     n.pool,
		Joined:        n.members.Joined,
		Logger:        logger,
	})
	check.NoErr(err)
	check.NoErr(n.server.RegisterPeer(membership.ServiceName, n.members.Receiver()))
	check.NoErr(n.server.RegisterPeer(rollout.ServiceName, n.rollout.Receiver()))
	check.NoErr(n.server.RegisterOperator(operator.ServiceName, operator.NewReceiver(operator.Config{
		Node:          id,
		FailureDomain: domain,
		Board:         n.board,
		Rollout:       n.rollout,
		Members:       n.members,
		Refusals:      func() map[string]uint64 { return map[string]uint64{"over_share": 3} },
		Explain:       func(_ context.Context, request string) (string, error) { return "story of " + request, nil },
		Scarcity: func() ([]operator.RefusedRequests, []operator.Share) {
			return []operator.RefusedRequests{{Service: "assistant", Class: "urgent", Organisation: "acme", Reason: "over_share", Count: 7}},
				[]operator.Share{{Service: "assistant", Organisation: "acme", Used: 0.625, Entitled: 0.5}}
		},
		Leases: func(context.Context) ([]operator.Lease, error) {
			return []operator.Lease{{Name: "capacity", Holder: id, Fence: 4}}, nil
		},
		Unknowns: func(context.Context) ([]operator.UnknownCall, error) { return nil, platform.ErrDown },
		Held: func() []operator.HeldRequest {
			return []operator.HeldRequest{{Fingerprint: "0000000000000007", Crashes: 2}}
		},
	})))
	n.run(t)
	return n
}

// serveOperators starts a server with a receiver of the given configuration and
// returns its address.
func serveOperators(t testing.TB, config operator.Config) string {
	check := is.New(t)
	server, err := peer.NewServer(peer.ServerConfig{
		Listen:       "127.0.0.1:0",
		PeerKeys:     []string{peerKey},
		OperatorKeys: []string{operatorKey},
	})
	check.NoErr(err)
	t.Cleanup(func() { server.Close(context.Background()) })
	check.NoErr(server.RegisterOperator(operator.ServiceName, operator.NewReceiver(config)))
	go server.Serve()
	return server.Address()
}

func (n *fleetNode) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.server.Serve() })
	wg.Go(func() { n.members.Run(ctx) })
	wg.Go(func() { n.rollout.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		stop, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		n.pool.Close()
		_ = n.server.Close(stop)
		wg.Wait()
	})
}
