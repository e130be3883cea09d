package blackboard

import (
	"sync"
	"sync/atomic"
	"time"

	"zinniamast/config"
)

// Version is one accepted configuration and its number in the history.
type Version struct {
	// Number rises by one with each accepted change.
	Number uint64
	// Raw is the JSON as accepted.
	Raw []byte
	// Config is the parsed form of Raw.
	Config *config.Config
	// Since is the time at which the version came into force on this node.
	Since time.Time
}

// Configuration holds the version in force. Readers do not block.
type Configuration struct {
	mu      sync.Mutex
	current atomic.Pointer[Version]
}

// Current returns the version in force, or nil before the first.
func (c *Configuration) Current() *Version { return c.current.Load() }

// Config returns the configuration in force, or an empty one before the first.
func (c *Configuration) Config() *config.Config {
	if version := c.current.Load(); version != nil {
		return version.Config
	}
	return &config.Config{}
}

// Apply puts a newer version in force and reports whether it was newer. An older
// version is refused from any source: an old answer of a store that recovered, or
// a peer that was partitioned, must not revert an accepted change.
func (c *Configuration) Apply(version *Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	if current != nil && version.Number <= current.Number {
		return false
	}
	c.current.Store(version)
	return true
}
