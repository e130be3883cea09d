// Package demo runs one node and stand-ins for all external systems in one
// process, on loopback.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/config"
	"zinniamast/node"
	"zinniamast/rollout"
	"zinniamast/settings"
	"zinniamast/standin/engine"
	"zinniamast/standin/platform"
	"zinniamast/standin/service"
)

// Config configures the demo.
type Config struct {
	// Listen is the host:port at which the node accepts callers.
	Listen string
	// Logger receives the log of the node.
	Logger *slog.Logger
	// Engine sets the speed of the stand-in engines; nil means that of a small model.
	Engine *engine.Config
}

// withDefaults sets Engine to its default if it is nil.
func (c Config) withDefaults() Config {
	if c.Engine == nil {
		c.Engine = &engine.Config{
			FirstToken:    20 * time.Millisecond,
			BetweenTokens: 5 * time.Millisecond,
		}
	}
	return c
}

// Names, keys and sizes of the demo.
const (
	Key                 = "demo-key"
	Organisation        = "franchise-office"
	Model               = "contract-summary"
	Service             = "booking"
	engineCount         = 3
	failureDomain       = "burnaby-a"
	tableCallsPerSecond = 100
	internalKey         = "0123456789abcdef0123456789abcdef"
)

// Demo is a running demo.
type Demo struct {
	node     *node.Node
	platform *platform.Platform
	engines  []*engine.Engine
	ledger   *service.Ledger
	servers  []*http.Server
	// standins are the base URLs of all engines and of the service.
	standins []string
	stop     context.CancelFunc
	done     chan error
}

// Start starts the stand-ins and a node, and waits until the node is ready.
func Start(c Config) (*Demo, error) {
	d := &Demo{
		ledger: service.NewLedger(),
		done:   make(chan error, 1),
	}
	instances, err := d.startUpstreams(*c.withDefaults().Engine)
	if err != nil {
		return nil, err
	}
	d.platform = platform.New(platform.Config{
		Instances: instances,
	})
	built, err := node.New(node.Config{
		Settings: &settings.Settings{
			Instance:      "demo",
			FailureDomain: failureDomain,
			Weight:        1,
			Listen:        c.Listen,
			PeerListen:    "127.0.0.1:0",
			PeerKeys:      []string{internalKey},
			OperatorKeys:  []string{internalKey},
			StopTimeout:   config.Duration(10 * time.Second),
			MemoryCap:     256 << 20,
			Platform: settings.Platform{
				WritesASec: tableCallsPerSecond,
				ReadsASec:  tableCallsPerSecond,
			},
		},
		Platform: node.Platform{
			Table:   d.platform.Table,
			Objects: d.platform.Objects,
			Cloud:   d.platform.Cloud,
			List:    d.platform.Cloud,
			Weights: d.platform.Weights,
		},
		Logger: c.Logger,
	})
	if err != nil {
		return nil, err
	}
	d.node = built
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.done <- built.Run(ctx) }()
	return d, d.configure()
}

// configure puts the configuration as an operator would, and waits until the node
// has found the upstreams.
func (d *Demo) configure() error {
	raw, err := configuration()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	reply := d.node.PutConfiguration(ctx, raw, "demo", "the demo's own")
	if reply.Outcome != rollout.InForce {
		return fmt.Errorf("configuration is %s: %s", reply.Outcome, strings.Join(reply.Messages, "; "))
	}
	return d.waitReady()
}

// configuration returns the fleet-wide configuration of the demo.
func configuration() ([]byte, error) {
	hash := sha256.Sum256([]byte(Key))
	return json.MarshalIndent(&config.Config{
		Organisations: []config.Organisation{
			{
				Name:      Organisation,
				KeyHashes: []string{hex.EncodeToString(hash[:])},
			},
		},
		Models: []config.Model{
			{
				Name: Model,
			},
		},
		Services: []config.Service{
			{
				Name: Service,
				Calls: []config.Call{
					{
						Method:     http.MethodGet,
						Path:       "/lookups",
						Idempotent: true,
					},
				},
				LookupPath: "/keys/{key}",
			},
		},
	}, "", "  ")
}

// startUpstreams starts the engines and a service and returns their instances as
// the platform lists them.
func (d *Demo) startUpstreams(c engine.Config) ([]zinniamast.Instance, error) {
	var instances []zinniamast.Instance
	for i := range engineCount {
		c.Models = []string{Model}
		e := engine.New(c)
		d.engines = append(d.engines, e)
		address, err := d.serve(e)
		if err != nil {
			return nil, err
		}
		instances = append(instances, instance(fmt.Sprintf("engine-%d", i), "engine", Model, address))
	}
	address, err := d.serve(service.New(service.Config{
		Ledger: d.ledger,
	}))
	if err != nil {
		return nil, err
	}
	return append(instances, instance("booking-0", "service", Service, address)), nil
}

func instance(id, role, offered, address string) zinniamast.Instance {
	return zinniamast.Instance{
		ID:            id,
		FailureDomain: failureDomain,
		Class:         "medium",
		Market:        zinniamast.Reclaimable,
		Role:          role,
		Service:       offered,
		Address:       address,
		Started:       time.Now(),
	}
}

func (d *Demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: time.Second,
	}
	d.servers = append(d.servers, server)
	go server.Serve(listener)
	address := "http://" + listener.Addr().String()
	d.standins = append(d.standins, address)
	return address, nil
}

const readyTimeout = 5 * time.Second

// waitReady waits until the node has found every upstream, at most for readyTimeout.
func (d *Demo) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if len(d.node.Board().Upstreams.All()) == engineCount+1 {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("the node did not become ready in %s", readyTimeout)
}

// URL returns the base URL for callers.
func (d *Demo) URL() string { return "http://" + d.node.Address() }

// StandinURLs returns the base URLs of the engines and, last, of the service.
// All of them count their runs.
func (d *Demo) StandinURLs() []string { return d.standins }

// Describe prints commands to try against the demo.
func (d *Demo) Describe(out io.Writer) {
	fmt.Fprintf(out, `a node with %d engines and a booking service, all in this process: %s

curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
  -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"power clauses"}]}'
curl %s/services/%s/reservations -H 'Authorization: Bearer %s' -H 'Idempotency-Key: cage-7' -d '{"cage":7}'
curl %s/metrics
zinniamast load -targets %s -key %s -standins %s

Interrupt stops it.
`, engineCount, d.URL(), d.URL(), Key, Model, d.URL(), Service, Key, d.URL(), d.URL(), Key, strings.Join(d.standins, ","))
}

// Stop stops the node gracefully, then the stand-ins.
func (d *Demo) Stop() {
	d.stop()
	<-d.done
	for _, server := range d.servers {
		server.Close()
	}
}

// writeTitle writes an underlined heading of the report.
func writeTitle(out io.Writer, text string) {
	fmt.Fprintf(out, "%s\n%s\n", text, strings.Repeat("-", len(text)))
}
