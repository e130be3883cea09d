package capacitypage_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/node"
	"zinniamast/platformapi"
	"zinniamast/settings"
	"zinniamast/standin/platform"
)

const (
	peerKey = "0123456789abcdef0123456789abcdef"
	settled = 3 * time.Second
	window  = 8 * time.Second
	// patience bounds the wait until all know each other and the fleet.
	patience = 40 * time.Second
	// domains is how many failure domains the listed upstreams stand in.
	domains = 14
)

// counted counts the bytes of all connections to one listener, both ways.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn: conn,
		sum:  &c.bytes,
	}, nil
}

type countedConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sum.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sum.Add(int64(n))
	return n, err
}

// serve starts a counted listener.
func serve(b *testing.B, handler http.Handler) (string, *counted) {
	b.Helper()
	server := httptest.NewUnstartedServer(handler)
	c := &counted{
		Listener: server.Listener,
	}
	server.Listener = c
	server.Start()
	b.Cleanup(server.Close)
	return server.URL, c
}

// rig is some nodes at rest before a listed fleet.
type rig struct {
	nodes []*node.Node
	list  *counted
	cloud *counted
	// reports are the engines' answers, one listener for all.
	reports *counted
	asked   atomic.Int64
	read    atomic.Int64
}

func (r *rig) engine(w http.ResponseWriter, q *http.Request) {
	r.asked.Add(1)
	w.Header().Set("Content-Type", "application/json")
	if q.URL.Path == "/cache_events" {
		fmt.Fprint(w, `[]`)
		return
	}
	_ = json.NewEncoder(w).Encode(zinniamast.LoadReport{
		At:     time.Now(),
		Models: []string{"summary"},
	})
}

// listing is the list as the platform would send it, packed once so that the
// stand-in costs next to nothing.
func listing(engines string, upstreams int) []byte {
	instances := make([]zinniamast.Instance, upstreams)
	for i := range instances {
		instances[i] = zinniamast.Instance{
			ID:            fmt.Sprintf("i-%06d", i),
			FailureDomain: fmt.Sprintf("domain-%02d", i%domains),
			Class:         "g1",
			Market:        zinniamast.Reclaimable,
			Role:          "engine",
			Service:       "summary",
			Address:       engines,
			Started:       time.Now().Add(-time.Duration(i) * time.Hour / 4).UTC(),
		}
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_ = json.NewEncoder(w).Encode(instances)
	_ = w.Close()
	return packed.Bytes()
}

func newRig(b *testing.B, nodes, upstreams int) *rig {
	b.Helper()
	r := &rig{}
	var engines, lists, clouds string
	engines, r.reports = serve(b, http.HandlerFunc(r.engine))
	packed := listing(engines, upstreams)
	lists, r.list = serve(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.read.Add(1)
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(packed)
	}))
	p := platform.New(platform.Config{})
	clouds, r.cloud = serve(b, p)
	var peers []string
	for i := range nodes {
		api := platformapi.New(platformapi.Config{
			CloudURL:   clouds + "/cloud",
			ListURL:    lists,
			WeightsURL: clouds + "/weights",
		})
		n, err := node.New(node.Config{
			Settings: &settings.Settings{
				Instance:      fmt.Sprintf("node-%02d", i),
				FailureDomain: fmt.Sprintf("domain-%02d", i%3),
				Weight:        1,
				Listen:        "127.0.0.1:0",
				PeerListen:    "127.0.0.1:0",
				Peers:         peers,
				PeerKeys:      []string{peerKey},
				OperatorKeys:  []string{peerKey},
				StopTimeout:   config.Duration(time.Second),
				MemoryCap:     64 << 20,
				Platform: settings.Platform{
					WritesASec: 100,
					ReadsASec:  100,
				},
			},
			Platform: node.Platform{
				Table:   p.Table,
				Objects: p.Objects,
				Cloud:   api,
				List:    api,
				Weights: api,
			},
			Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			b.Fatal(err)
		}
		peers = append(peers, n.PeerAddress())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		b.Cleanup(func() {
			cancel()
			<-done
		})
		r.nodes = append(r.nodes, n)
	}
	r.configure(b)
	for deadline := time.Now().Add(patience); time.Now().Before(deadline) && !r.whole(upstreams); {
		time.Sleep(20 * time.Millisecond)
	}
	if !r.whole(upstreams) {
		b.Fatal("nodes do not know each other or the fleet")
	}
	time.Sleep(settled)
	return r
}

func (r *rig) configure(b *testing.B) {
	b.Helper()
	hash := sha256.Sum256([]byte("key"))
	raw := fmt.Appendf(nil, `{"defaults": {}, "organisations": [{"name": "north", "key_hashes": ["%s"]}],
		"models": [{"name": "summary"}], "services": []}`, hex.EncodeToString(hash[:]))
	r.nodes[0].PutConfiguration(b.Context(), raw, "bench", "bench")
}

func (r *rig) whole(upstreams int) bool {
	for _, n := range r.nodes {
		domain := 0
		for _, m := range n.Board().Members.All() {
			if m.Heard.IsZero() || !m.Dead {
				domain++
			}
		}
		if len(n.Board().Upstreams.All()) != upstreams || domain < min(len(r.nodes), (len(r.nodes)+2)/3) {
			return false
		}
	}
	return true
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
