// Package discovery maintains the shared table of upstreams. It merges the
// platform's lagging instance list, reports from other nodes and what this node
// observes itself. A report that an upstream is leaving takes effect at once,
// whatever its source, and no older list reverts it.
package discovery
