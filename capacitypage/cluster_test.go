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
	peerKey       = "0123456789abcdef0123456789abcdef"
	settleTime    = 3 * time.Second
	measureWindow = 8 * time.Second
	// readyTimeout bounds the wait until all nodes have discovered each other and the
	// fleet.
	readyTimeout = 40 * time.Second
	// failureDomains is the number of failure domains of the listed upstreams.
	failureDomains = 14
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn: conn,
		sum:  &c.bytes,
	}, nil
}

type countingConn struct {
	net.Conn
	sum *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sum.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sum.Add(int64(n))
	return n, err
}

// serveCounted starts a server behind a counting listener and returns its URL.
func serveCounted(b *testing.B, handler http.Handler) (string, *countingListener) {
	b.Helper()
	server := httptest.NewUnstartedServer(handler)
	c := &countingListener{
		Listener: server.Listener,
	}
	server.Listener = c
	server.Start()
	b.Cleanup(server.Close)
	return server.URL, c
}

// testCluster is a number of idle nodes with a fleet in the instance list.
type testCluster struct {
	nodes         []*node.Node
	listListener  *countingListener
	cloudListener *countingListener
	// engineListener serves the requests to all engines.
	engineListener *countingListener
	engineRequests atomic.Int64
	listReads      atomic.Int64
}

func (c *testCluster) engine(w http.ResponseWriter, q *http.Request) {
	c.engineRequests.Add(1)
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

// compressedInstanceList returns the instance list as the platform sends it. It
// is compressed once, so that the stand-in uses little CPU time.
func compressedInstanceList(engines string, upstreams int) []byte {
	instances := make([]zinniamast.Instance, upstreams)
	for i := range instances {
		instances[i] = zinniamast.Instance{
			ID:            fmt.Sprintf("i-%06d", i),
			FailureDomain: fmt.Sprintf("domain-%02d", i%failureDomains),
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

func newTestCluster(b *testing.B, nodes, upstreams int) *testCluster {
	b.Helper()
	c := &testCluster{}
	var engines, lists, clouds string
	engines, c.engineListener = serveCounted(b, http.HandlerFunc(c.engine))
	packed := compressedInstanceList(engines, upstreams)
	lists, c.listListener = serveCounted(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.listReads.Add(1)
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(packed)
	}))
	p := platform.New(platform.Config{})
	clouds, c.cloudListener = serveCounted(b, p)
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
		c.nodes = append(c.nodes, n)
	}
	c.configure(b)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && !c.isReady(upstreams); {
		time.Sleep(20 * time.Millisecond)
	}
	if !c.isReady(upstreams) {
		b.Fatal("nodes did not discover each other or the fleet in time")
	}
	time.Sleep(settleTime)
	return c
}

func (c *testCluster) configure(b *testing.B) {
	b.Helper()
	hash := sha256.Sum256([]byte("key"))
	raw := fmt.Appendf(nil, `{"defaults": {}, "organisations": [{"name": "north", "key_hashes": ["%s"]}],
		"models": [{"name": "summary"}], "services": []}`, hex.EncodeToString(hash[:]))
	c.nodes[0].PutConfiguration(b.Context(), raw, "bench", "bench")
}

func (c *testCluster) isReady(upstreams int) bool {
	for _, n := range c.nodes {
		domain := 0
		for _, m := range n.Board().Members.All() {
			if m.Heard.IsZero() || !m.Dead {
				domain++
			}
		}
		if len(n.Board().Upstreams.All()) != upstreams || domain < min(len(c.nodes), (len(c.nodes)+2)/3) {
			return false
		}
	}
	return true
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
