// Package settings reads the settings of one process: its addresses, failure
// domain, platform endpoints and keys.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"zinniamast/config"
	"zinniamast/strictjson"
)

// Settings holds the contents of the settings file of one entry instance.
type Settings struct {
	// Instance is the instance's name.
	Instance string `json:"instance"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `json:"failure_domain"`
	// Weight is the size of the instance relative to the other entry instances.
	Weight float64 `json:"weight"`
	// Listen is the host:port that callers use; it also serves /metrics, /healthz
	// and /readyz.
	Listen string `json:"listen"`
	// PeerListen is the host:port that peers and operators use.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the host:port at which peers reach PeerListen; empty means
	// PeerListen itself. It differs behind an address translation or a fault proxy.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// Peers lists the host:port of some other nodes through which this one joins.
	Peers []string `json:"peers"`
	// PeerKeys are shared keys of at least 32 characters. The node authenticates
	// itself with the first and accepts all of them, so that keys can be rotated
	// without an interruption.
	PeerKeys []string `json:"peer_keys"`
	// OperatorKeys are shared keys of operators, with the same rules.
	OperatorKeys []string `json:"operator_keys"`
	// Platform holds the endpoints of the platform's services.
	Platform Platform `json:"platform"`
	// StopTimeout bounds a graceful stop; running requests are transferred to
	// peers before it ends.
	StopTimeout config.Duration `json:"stop_timeout"`
	// MemoryCap bounds the memory for prompts and partial answers on the node.
	MemoryCap config.Size `json:"memory_cap"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// Platform holds base URLs and credentials of the platform's services.
type Platform struct {
	TableURL   string `json:"table_url"`
	TableName  string `json:"table_name"`
	ObjectsURL string `json:"objects_url"`
	Bucket     string `json:"bucket"`
	CloudURL   string `json:"cloud_url"`
	ListURL    string `json:"list_url"`
	WeightsURL string `json:"weights_url"`
	Region     string `json:"region"`
	AccessKey  string `json:"access_key"`
	SecretKey  string `json:"secret_key"`
	// WritesASec and ReadsASec are this node's share of the fleet's permitted rate
	// of calls to the table.
	WritesASec float64 `json:"writes_a_second"`
	ReadsASec  float64 `json:"reads_a_second"`
}

// Defaults for optional fields, and the minimum key length.
const (
	// defaultStopTimeout exceeds the configuration's built-in deadline of two
	// minutes, so that a planned stop interrupts no request accepted before it.
	defaultStopTimeout = 150 * time.Second
	defaultMemoryCap   = 512 << 20
	minKeyLength       = 32
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	parsed, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return parsed, nil
}

// Parse decodes settings strictly, applies defaults and checks the result.
func Parse(raw []byte) (*Settings, error) {
	s := &Settings{
		Weight:      1,
		StopTimeout: config.Duration(defaultStopTimeout),
		MemoryCap:   defaultMemoryCap,
		LogLevel:    "info",
	}
	if err := strictjson.Decode(raw, s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Instance == "" {
		return fmt.Errorf("instance: is empty; name the instance")
	}
	if s.FailureDomain == "" {
		return fmt.Errorf("failure_domain: is empty; name where the instance runs")
	}
	if s.Weight <= 0 {
		return fmt.Errorf("weight: %v is not above 0; 1 is an ordinary instance", s.Weight)
	}
	if err := checkAddress("listen", s.Listen); err != nil {
		return err
	}
	if err := checkAddress("peer_listen", s.PeerListen); err != nil {
		return err
	}
	if s.PeerAdvertise != "" {
		if err := checkAddress("peer_advertise", s.PeerAdvertise); err != nil {
			return err
		}
	}
	for i, peer := range s.Peers {
		if err := checkAddress(fmt.Sprintf("peers[%d]", i), peer); err != nil {
			return err
		}
	}
	if err := checkKeys("peer_keys", s.PeerKeys); err != nil {
		return err
	}
	return checkKeys("operator_keys", s.OperatorKeys)
}

// PeerAddress returns the host:port that this node advertises to its peers.
func (s *Settings) PeerAddress() string {
	if s.PeerAdvertise != "" {
		return s.PeerAdvertise
	}
	return s.PeerListen
}

func checkAddress(path, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %q is not host:port, such as \"127.0.0.1:8080\"", path, address)
	}
	return nil
}

func checkKeys(path string, keys []string) error {
	if len(keys) == 0 {
		return fmt.Errorf("%s: is empty; give at least one shared key", path)
	}
	for i, key := range keys {
		if len(key) < minKeyLength {
			return fmt.Errorf("%s[%d]: is shorter than %d characters", path, i, minKeyLength)
		}
	}
	return nil
}
