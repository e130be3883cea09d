package peer_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast/peer"
)

// callTimeout is long because a handshake takes seconds with the race detector on a busy machine.
const callTimeout = 30 * time.Second

// sampledFleet returns a pool in which all addresses but silent ones lead to one server, the
// addresses, and a count of the connections opened.
func sampledFleet(t *testing.T, nodes int, isSilent func(address string) bool) (*peer.Pool, []string, *atomic.Int64) {
	t.Helper()
	server, err := peer.NewServer(peer.ServerConfig{
		Listen:           "127.0.0.1:0",
		PeerKeys:         []string{oldKey},
		HandshakeTimeout: callTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := server.RegisterPeer("Echo", newEcho()); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Close(ended)
	})
	dials := &atomic.Int64{}
	p := newPool(t, peer.PoolConfig{
		Keys:        []string{oldKey},
		DialTimeout: callTimeout,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			if isSilent(address) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp", server.Address())
		},
	})
	var addresses []string
	for i := range nodes {
		addresses = append(addresses, fmt.Sprintf("node-%03d", i))
	}
	return p, addresses, dials
}

func callAll(t *testing.T, p *peer.Pool, addresses []string, timeout time.Duration) (answered int) {
	t.Helper()
	for _, address := range addresses {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		var reply []byte
		if p.Call(ctx, address, "Echo.Say", []byte("a"), &reply) == nil {
			answered++
		}
		cancel()
	}
	return answered
}

func noneIsSilent(string) bool { return false }

// TestSamplesOpenFewConnections guards against a starting node that connects to three further nodes each time it asks
// for something, more of them the larger the fleet is.
func TestSamplesOpenFewConnections(t *testing.T) {
	for _, nodes := range []int{30, 100, 300} {
		t.Run(fmt.Sprintf("%d_nodes", nodes), func(t *testing.T) {
			check := is.New(t)
			p, addresses, dials := sampledFleet(t, nodes, noneIsSilent)
			for range 12 {
				sample := p.Sample(addresses, 3)
				check.Equal(len(slices.Compact(slices.Sorted(slices.Values(sample)))), 3)
				check.Equal(callAll(t, p, sample, callTimeout), 3)
			}
			t.Logf("%d connections opened for 12 samples of three", dials.Load())
			check.True(dials.Load() <= 3+11)
		})
	}
}

// TestSamplesFindOtherPeers guards against a node that only asks the peers it is connected to.
func TestSamplesFindOtherPeers(t *testing.T) {
	check := is.New(t)
	p, addresses, _ := sampledFleet(t, 100, noneIsSilent)
	check.Equal(callAll(t, p, addresses[:5], callTimeout), 5)
	found := 0
	for range 40 {
		if slices.ContainsFunc(p.Sample(addresses, 3), func(a string) bool { return !slices.Contains(addresses[:5], a) }) {
			found++
		}
	}
	check.True(found >= 20) // of some 38
}

// TestSamplesPreferPeersThatAnswer guards against samples of peers that are still being connected to while connections
// to others are open.
func TestSamplesPreferPeersThatAnswer(t *testing.T) {
	check := is.New(t)
	p, addresses, _ := sampledFleet(t, 60, func(address string) bool { return address < "node-050" })
	check.Equal(callAll(t, p, addresses[:3], 10*time.Millisecond), 0) // these are being connected to from now on
	check.Equal(callAll(t, p, addresses[50:52], callTimeout), 2)
	for range 20 {
		sample := p.Sample(addresses[:52], 3)
		open := 0
		for _, a := range sample {
			if slices.Contains(addresses[50:52], a) {
				open++
			}
		}
		check.Equal(open, 2)
	}
}

// TestSampleOfFewPeersIsAll guards against samples that leave out peers of a small fleet.
func TestSampleOfFewPeersIsAll(t *testing.T) {
	check := is.New(t)
	p, addresses, _ := sampledFleet(t, 2, noneIsSilent)
	check.Equal(slices.Sorted(slices.Values(p.Sample(addresses, 3))), addresses)
	check.Equal(len(p.Sample(addresses, 1)), 1)
	check.Equal(len(p.Sample(nil, 3)), 0)
}
