// Package operator implements the RPC interface for operators. It reports a
// node's view of the fleet and accepts configuration changes. Calls use the peer
// transport and are authenticated with separate operator keys.
package operator
