package peer_test

import (
	"context"
	"testing"

	"zinniamast/peer"
)

// BenchmarkCall measures one small call over an open connection.
func BenchmarkCall(b *testing.B) {
	server, err := peer.NewServer(peer.ServerConfig{
		Listen:   "127.0.0.1:0",
		PeerKeys: []string{oldKey},
	})
	if err != nil {
		b.Fatal(err)
	}
	_ = server.RegisterPeer("Echo", newEcho())
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close(context.Background()) }()
	p, err := peer.NewPool(peer.PoolConfig{
		Keys: []string{oldKey},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer p.Close()
	args := make([]byte, 64)
	b.ReportAllocs()
	for b.Loop() {
		var reply []byte
		if err := p.Call(context.Background(), server.Address(), "Echo.Say", args, &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(p.Traffic().Out.Load())/float64(b.N), "out-B/op")
	b.ReportMetric(float64(p.Traffic().In.Load())/float64(b.N), "in-B/op")
}
