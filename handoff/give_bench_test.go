package handoff_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"zinniamast/blackboard"
	"zinniamast/handoff"
	"zinniamast/peer"
	"zinniamast/request"
)

// tcpNode is a node with a real listener and pool on loopback.
type tcpNode struct {
	board    *blackboard.Board
	exchange *handoff.Exchange
	server   *peer.Server
	pool     *peer.Pool
}

func newTCPNodes(ctx context.Context, b *testing.B, count int) []*tcpNode {
	keys := []string{strings.Repeat("k", 32)}
	var nodes []*tcpNode
	for i := range count {
		server, err := peer.NewServer(peer.ServerConfig{
			Listen:       "127.0.0.1:0",
			PeerKeys:     keys,
			OperatorKeys: keys,
		})
		if err != nil {
			b.Fatal(err)
		}
		pool, err := peer.NewPool(peer.PoolConfig{
			Keys: keys,
		})
		if err != nil {
			b.Fatal(err)
		}
		node := &tcpNode{
			board:  blackboard.New(),
			server: server,
			pool:   pool,
		}
		node.exchange = handoff.New(handoff.Config{
			Board:         node.board,
			Transport:     pool,
			Runner:        finishingRunner{length: 0},
			Node:          fmt.Sprint("node-", i),
			FailureDomain: fmt.Sprint("domain-", i),
			Address:       server.Address(),
			Stopping:      func() bool { return false },
			Context:       ctx,
			Logger:        slog.New(slog.DiscardHandler),
		})
		if err := server.RegisterPeer(handoff.ServiceName, node.exchange.Receiver()); err != nil {
			b.Fatal(err)
		}
		go server.Serve()
		b.Cleanup(func() {
			pool.Close()
			server.Close(ctx)
		})
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		for i, other := range nodes {
			node.board.Members.Update(fmt.Sprint("node-", i), func(m *blackboard.Member) bool {
				m.Address = other.server.Address()
				m.FailureDomain = fmt.Sprint("domain-", i)
				m.Weight = 1
				return true
			})
		}
	}
	return nodes
}

// BenchmarkHandOff hands over 200 open streams of 30,000 prompt tokens each, from
// listing the requests to the last Start call.
func BenchmarkHandOff(b *testing.B) {
	const streams, promptBytes, produced = 200, 120_000, 500
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	nodes := newTCPNodes(ctx, b, 4)
	round := 0
	for b.Loop() {
		b.StopTimer()
		nodes[0].board.Requests.Sweep(time.Now().Add(time.Hour), 0)
		for i := range streams {
			q := request.New(request.Call{
				ID:       fmt.Sprintf("r-%d-%d", round, i),
				Deadline: time.Now().Add(time.Minute),
				Messages: []byte(strings.Repeat("x", promptBytes)),
			})
			nodes[0].board.Requests.Add(q)
			q.Begin("a", "engine-0")
			for k := range produced {
				q.Append("a", k, []int32{int32(k)}, tokenText(k))
			}
		}
		round++
		b.StartTimer()
		if remaining := nodes[0].exchange.HandOff(ctx, time.Time{}); remaining > 0 {
			b.Fatalf("%d streams were accepted by no peer", remaining)
		}
	}
	traffic := nodes[0].pool.Traffic()
	b.ReportMetric(float64(traffic.Out.Load())/float64(round), "wire-B/op")
}
