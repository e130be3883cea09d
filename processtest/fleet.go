package processtest

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/settings"
	"zinniamast/standin/engine"
	"zinniamast/standin/platform"
	"zinniamast/standin/service"
)

// What a fleet offers.
const (
	Key          = "caller-key"
	Organisation = "franchise-office"
	Model        = "contract-summary"
	Service      = "booking"
	secretKey    = "platform-secret-key"
)

// FleetConfig says what to start.
type FleetConfig struct {
	// FailureDomains get one node each, with engines and one service replica.
	FailureDomains []string
	// NodesEach is the number of nodes per failure domain; zero means 1.
	NodesEach int
	// EnginesEach is the number of engines per failure domain; zero means 2.
	EnginesEach int
	// Engine says how fast the engines are.
	Engine engine.Config
	// Work is how long each booking takes.
	Work time.Duration
	// StopTimeout bounds a node's graceful stop; zero means 5 s.
	StopTimeout time.Duration
	// Environment is added to that of every node, as NAME=VALUE.
	Environment []string
	// Configure may change the configuration before it is put.
	Configure func(c *config.Config)
}

// ThreeDomains is the usual fleet: three failure domains of one region.
var ThreeDomains = []string{"burnaby-a", "surrey-b", "richmond-c"}

// Fleet is a set of nodes as processes beside stand-ins in this process.
type Fleet struct {
	tb        testing.TB
	directory string
	config    FleetConfig
	// Platform is the platform's stand-in; its control calls are not behind a link.
	Platform *platform.Platform
	// Ledger counts what the booking service truly ran.
	Ledger    *service.Ledger
	Nodes     []*Node
	Upstreams []*Upstream
	platform  *httptest.Server
	// Each fleet has its own keys: ports are used again, and a node of another
	// test must not be taken for a peer.
	peerKey     string
	operatorKey string
}

// Node is one entry instance.
type Node struct {
	*Process
	Name          string
	FailureDomain string
	// Callers, Platform and Peers are the links before the node's caller
	// listener, from the node to the platform, and before its peer listener.
	Callers  *Link
	Platform *Link
	Peers    *Link
	// Direct is the base URL of the caller listener without its link.
	Direct string
	// PeerKeys and OperatorKeys go into the node's settings, the first proves.
	PeerKeys     []string
	OperatorKeys []string
	listen       string
	peerListen   string
	settings     string
}

// Upstream is one replica behind its link.
type Upstream struct {
	Instance zinniamast.Instance
	Link     *Link
	// Engine is set for engines.
	Engine *engine.Engine
	direct string
}

// NewFleet starts stand-ins and nodes, puts the configuration and waits until
// every node is ready.
func NewFleet(tb testing.TB, c FleetConfig) *Fleet {
	tb.Helper()
	if c.EnginesEach == 0 {
		c.EnginesEach = 2
	}
	if c.NodesEach == 0 {
		c.NodesEach = 1
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = 5 * time.Second
	}
	f := &Fleet{
		tb:          tb,
		directory:   tb.TempDir(),
		config:      c,
		peerKey:     "peer-" + rand.Text() + rand.Text(),
		operatorKey: "operator-" + rand.Text() + rand.Text(),
		Ledger:      service.NewLedger(),
	}
	f.startUpstreams()
	f.placeNodes()
	f.startPlatform()
	f.startNodes()
	f.putConfiguration()
	f.WaitReady()
	return f
}

func (f *Fleet) startUpstreams() {
	for _, domain := range f.config.FailureDomains {
		for range f.config.EnginesEach {
			c := f.config.Engine
			c.Models = []string{Model}
			e := engine.New(c)
			f.addUpstream(domain, "engine", Model, e).Engine = e
		}
		f.addUpstream(domain, "service", Service, service.New(service.Config{
			Ledger: f.Ledger,
			Work:   f.config.Work,
		}))
	}
}

func (f *Fleet) addUpstream(domain, role, offered string, handler http.Handler) *Upstream {
	server := httptest.NewServer(handler)
	f.tb.Cleanup(server.Close)
	name := strings.Join([]string{domain, role, string(rune('a' + len(f.Upstreams)))}, "-")
	link := NewLink(f.tb, name, server.Listener.Addr().String())
	u := &Upstream{
		Instance: zinniamast.Instance{
			ID:            name,
			FailureDomain: domain,
			Class:         "medium",
			Market:        zinniamast.Reclaimable,
			Role:          role,
			Service:       offered,
			Address:       link.URL(),
			Started:       time.Now().Add(-time.Hour),
		},
		Link:   link,
		direct: server.URL,
	}
	f.Upstreams = append(f.Upstreams, u)
	return u
}

func (f *Fleet) startPlatform() {
	var instances []zinniamast.Instance
	for _, u := range f.Upstreams {
		instances = append(instances, u.Instance)
	}
	for _, n := range f.Nodes {
		instances = append(instances, zinniamast.Instance{
			ID:            n.Name,
			FailureDomain: n.FailureDomain,
			Class:         "small",
			Market:        zinniamast.Reclaimable,
			Role:          "entry",
			Address:       n.Peers.Address(),
			Started:       time.Now().Add(-time.Hour),
		})
	}
	f.Platform = platform.New(platform.Config{
		Instances: instances,
	})
	f.platform = httptest.NewServer(f.Platform)
	f.tb.Cleanup(f.platform.Close)
}

// placeNodes gives each node its addresses and the links before them.
func (f *Fleet) placeNodes() {
	for _, domain := range f.config.FailureDomains {
		f.placeNode("entry-"+domain, domain)
		for i := 1; i < f.config.NodesEach; i++ {
			f.placeNode(fmt.Sprintf("entry-%s-%d", domain, i+1), domain)
		}
	}
}

func (f *Fleet) placeNode(name, domain string) {
	n := &Node{
		Name:          name,
		FailureDomain: domain,
		PeerKeys:      []string{f.peerKey},
		OperatorKeys:  []string{f.operatorKey},
		listen:        FreeAddress(f.tb),
		peerListen:    FreeAddress(f.tb),
	}
	n.Direct = "http://" + n.listen
	n.Callers = NewLink(f.tb, name+"-callers", n.listen)
	n.Peers = NewLink(f.tb, name+"-peers", n.peerListen)
	f.Nodes = append(f.Nodes, n)
}

// startNodes starts all nodes; each knows the others' links.
func (f *Fleet) startNodes() {
	for _, n := range f.Nodes {
		n.Platform = NewLink(f.tb, n.Name+"-platform", f.platform.Listener.Addr().String())
		n.settings = f.writeSettings(n)
		f.StartNode(n)
	}
}

// StartNode starts a node's process, also after the last one ended.
func (f *Fleet) StartNode(n *Node) {
	f.tb.Helper()
	n.Process = startWith(f.tb, n.Name, f.config.Environment, "node", "-settings", n.settings)
}

// StartTwin starts another process that has a caller port of its own and the
// peer port of a node that runs.
func (f *Fleet) StartTwin(n *Node) *Process {
	f.tb.Helper()
	twin := *n
	twin.Name = n.Name + "-twin"
	twin.listen = FreeAddress(f.tb)
	return Start(f.tb, twin.Name, "node", "-settings", f.writeSettings(&twin))
}

func (f *Fleet) writeSettings(n *Node) string {
	var peers []string
	for _, other := range f.Nodes {
		if other != n {
			peers = append(peers, other.Peers.Address())
		}
	}
	base := n.Platform.URL()
	return f.writeJSON(n.Name+".json", &settings.Settings{
		Instance:      n.Name,
		FailureDomain: n.FailureDomain,
		Weight:        1,
		Listen:        n.listen,
		PeerListen:    n.peerListen,
		PeerAdvertise: n.Peers.Address(),
		Peers:         peers,
		PeerKeys:      n.PeerKeys,
		OperatorKeys:  n.OperatorKeys,
		StopTimeout:   config.Duration(f.config.StopTimeout),
		MemoryCap:     256 << 20,
		LogLevel:      "info",
		Platform: settings.Platform{
			TableURL:   base + "/table",
			TableName:  "zinniamast",
			ObjectsURL: base + "/objects",
			Bucket:     "zinniamast",
			CloudURL:   base + "/cloud",
			ListURL:    base + "/list",
			WeightsURL: base + "/weights",
			Region:     "bc-mainland",
			AccessKey:  "access",
			SecretKey:  secretKey,
			WritesASec: 400,
			ReadsASec:  2000,
		},
	})
}

func (f *Fleet) writeJSON(name string, value any) string {
	f.tb.Helper()
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		f.tb.Fatal(err)
	}
	path := filepath.Join(f.directory, name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		f.tb.Fatal(err)
	}
	return path
}

// configuration offers one model and one service with idempotent lookups.
func (f *Fleet) configuration() *config.Config {
	hash := sha256.Sum256([]byte(Key))
	c := &config.Config{
		Organisations: []config.Organisation{{
			Name:      Organisation,
			KeyHashes: []string{hex.EncodeToString(hash[:])},
		}},
		Models: []config.Model{{
			Name: Model,
		}},
		Services: []config.Service{{
			Name: Service,
			Calls: []config.Call{{
				Method:     http.MethodGet,
				Path:       "/lookups",
				Idempotent: true,
			}},
			LookupPath: "/keys/{key}",
		}},
	}
	if f.config.Configure != nil {
		f.config.Configure(c)
	}
	return c
}

// putTimeout bounds one config put; waitReady bounds the wait for the fleet.
const (
	putTimeout   = 30 * time.Second
	readyTimeout = 20 * time.Second
)

// putConfiguration puts the configuration as an operator would.
func (f *Fleet) putConfiguration() {
	f.tb.Helper()
	f.waitHealthy()
	path := f.writeJSON("configuration.json", f.configuration())
	put := Start(f.tb, "config-put", "config", "put", "-settings", f.Nodes[0].settings,
		"-base", "0", "-why", "the test's fleet", "-who", "test", path)
	if err := put.Wait(putTimeout); err != nil {
		f.tb.Fatalf("config put: %v\n%s", err, put.Logs())
	}
}

func (f *Fleet) waitHealthy() {
	f.tb.Helper()
	for _, n := range f.Nodes {
		f.waitFor(n, "/healthz")
	}
}

// WaitReady waits until every node that runs is ready.
func (f *Fleet) WaitReady() {
	f.tb.Helper()
	for _, n := range f.Nodes {
		if !n.Exited() {
			f.waitFor(n, "/readyz")
		}
	}
}

// waitFor polls a page of a node until it answers 200.
func (f *Fleet) waitFor(n *Node, page string) {
	f.tb.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(n.Direct + page)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if n.Exited() {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.tb.Fatalf("%s does not answer %s", n.Name, page)
}
