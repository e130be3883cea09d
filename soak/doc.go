// Package soak runs entry instances of the users' platform as processes and
// injects random faults, drawn from a seed, from outside: links are slow, silent
// or reset, processes are killed, paused and stopped, and the store and replicas
// misbehave. Faults occur one after the other and overlap. The package compares
// the answers that callers receive with the requests that replicas ran.
package soak
