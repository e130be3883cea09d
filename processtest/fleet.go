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

// The credentials, organisation, model and service of a fleet.
const (
	Key          = "caller-key"
	Organisation = "franchise-office"
	Model        = "contract-summary"
	Service      = "booking"
	secretKey    = "platform-secret-key"
)

// FleetConfig configures a fleet.
type FleetConfig struct {
	// FailureDomains each get NodesPerDomain nodes, EnginesPerDomain engines and one
	// service replica.
	FailureDomains []string
	// NodesPerDomain is the number of nodes per failure domain; zero means 1.
	NodesPerDomain int
	// EnginesPerDomain is the number of engines per failure domain; zero means 2.
	EnginesPerDomain int
	// Engine configures the engines.
	Engine engine.Config
	// Work is the processing time of each booking.
	Work time.Duration
	// StopTimeout bounds a node's graceful stop; zero means 5 s.
	StopTimeout time.Duration
	// Environment is added to the environment of every node, as NAME=VALUE.
	Environment []string
	// Configure, if set, changes the configuration before it is put.
	Configure func(c *config.Config)
}

// ThreeDomains are the failure domains of most fleets: three in one region.
var ThreeDomains = []string{"burnaby-a", "surrey-b", "richmond-c"}

// Fleet is a set of node processes, with external systems simulated in this process.
type Fleet struct {
	tb        testing.TB
	directory string
	config    FleetConfig
	// Platform is the simulated platform. Its control methods are called directly,
	// without a link.
	Platform *platform.Platform
	// Ledger counts the bookings that the service ran.
	Ledger    *service.Ledger
	Nodes     []*Node
	Upstreams []*Upstream
	platform  *httptest.Server
	// Each fleet has its own keys: ports are reused, and a node of another test
	// must not be accepted as a peer.
	peerKey     string
	operatorKey string
}

// Node is one entry instance.
type Node struct {
	*Process
	Name          string
	FailureDomain string
	// Callers is the link in front of the node's caller listener, Platform the
	// link from the node to the platform, and Peers the link in front of its peer
	// listener.
	Callers  *Link
	Platform *Link
	Peers    *Link
	// DirectURL is the base URL of the caller listener without its link.
	DirectURL string
	// PeerKeys and OperatorKeys are written to the node's settings. The node
	// proves itself by the first of a list and accepts all.
	PeerKeys          []string
	OperatorKeys      []string
	listenAddress     string
	peerListenAddress string
	settingsPath      string
}

// Upstream is one replica behind its link.
type Upstream struct {
	Instance zinniamast.Instance
	Link     *Link
	// Engine is set for engines.
	Engine    *engine.Engine
	directURL string
}

// NewFleet starts the simulated systems and the nodes, puts the configuration and
// waits until every node is ready.
func NewFleet(tb testing.TB, c FleetConfig) *Fleet {
	tb.Helper()
	if c.EnginesPerDomain == 0 {
		c.EnginesPerDomain = 2
	}
	if c.NodesPerDomain == 0 {
		c.NodesPerDomain = 1
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
	f.addNodes()
	f.startPlatform()
	f.startNodes()
	f.putConfiguration()
	f.WaitReady()
	return f
}

func (f *Fleet) startUpstreams() {
	for _, domain := range f.config.FailureDomains {
		for range f.config.EnginesPerDomain {
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
		Link:      link,
		directURL: server.URL,
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

// addNodes creates the nodes with their addresses and the links in front of them.
func (f *Fleet) addNodes() {
	for _, domain := range f.config.FailureDomains {
		f.addNode("entry-"+domain, domain)
		for i := 1; i < f.config.NodesPerDomain; i++ {
			f.addNode(fmt.Sprintf("entry-%s-%d", domain, i+1), domain)
		}
	}
}

func (f *Fleet) addNode(name, domain string) {
	n := &Node{
		Name:              name,
		FailureDomain:     domain,
		PeerKeys:          []string{f.peerKey},
		OperatorKeys:      []string{f.operatorKey},
		listenAddress:     FreeAddress(f.tb),
		peerListenAddress: FreeAddress(f.tb),
	}
	n.DirectURL = "http://" + n.listenAddress
	n.Callers = NewLink(f.tb, name+"-callers", n.listenAddress)
	n.Peers = NewLink(f.tb, name+"-peers", n.peerListenAddress)
	f.Nodes = append(f.Nodes, n)
}

// startNodes starts all nodes. Each has the peer links of the others in its settings.
func (f *Fleet) startNodes() {
	for _, n := range f.Nodes {
		n.Platform = NewLink(f.tb, n.Name+"-platform", f.platform.Listener.Addr().String())
		n.settingsPath = f.writeSettings(n)
		f.StartNode(n)
	}
}

// StartNode starts a node's process, or starts it again after the previous one ended.
func (f *Fleet) StartNode(n *Node) {
	f.tb.Helper()
	n.Process = startWithEnvironment(f.tb, n.Name, f.config.Environment, "node", "-settings", n.settingsPath)
}

// StartOnSamePeerPort starts another process with its own caller port and the peer port of a
// running node.
func (f *Fleet) StartOnSamePeerPort(n *Node) *Process {
	f.tb.Helper()
	twin := *n
	twin.Name = n.Name + "-twin"
	twin.listenAddress = FreeAddress(f.tb)
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
		Listen:        n.listenAddress,
		PeerListen:    n.peerListenAddress,
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

// putTimeout bounds one config put, and readyTimeout the wait for one node.
const (
	putTimeout   = 30 * time.Second
	readyTimeout = 20 * time.Second
)

// putConfiguration puts the configuration by the operators' command.
func (f *Fleet) putConfiguration() {
	f.tb.Helper()
	f.waitHealthy()
	path := f.writeJSON("configuration.json", f.configuration())
	put := Start(f.tb, "config-put", "config", "put", "-settings", f.Nodes[0].settingsPath,
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

// WaitReady waits until every running node is ready.
func (f *Fleet) WaitReady() {
	f.tb.Helper()
	for _, n := range f.Nodes {
		if !n.Exited() {
			f.waitFor(n, "/readyz")
		}
	}
}

// waitFor polls a page of a node until the status is 200.
func (f *Fleet) waitFor(n *Node, page string) {
	f.tb.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		response, err := http.Get(n.DirectURL + page)
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
