// Package processtest runs the zinniamast binary as processes on loopback, for
// end-to-end failure tests. Every external system is simulated, and each link
// passes through a fault proxy.
//
// Only tests use it: the product itself starts no processes.
package processtest
