// Package issuedkeys issues idempotency keys that only the issuing process may
// dispatch. Calls that must not be repeated therefore remain possible while the
// table is unavailable: the process keeps the claims in memory.
package issuedkeys

import (
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"zinniamast"
)

// Defaults for fields left zero.
const (
	defaultLifetime = 15 * time.Minute
	defaultRetain   = time.Hour
	// MaxCount bounds the keys of one request.
	MaxCount = 100
)

// Errors of this package.
var (
	// ErrNotIssued means that the key was not issued to this organisation for this service.
	ErrNotIssued = errors.New("issuedkeys: key was not issued to this organisation for this service")
	// ErrExpired means that the key has expired and cannot be used for the first time.
	ErrExpired = errors.New("issuedkeys: key has expired")
	// ErrConflict means that the key was used with another call.
	ErrConflict = errors.New("issuedkeys: key was used with another call")
	// ErrOtherIssuer means that another process issued the key.
	ErrOtherIssuer = errors.New("issuedkeys: key was issued by another process")
)

// Config configures an Issuer.
type Config struct {
	// Node is the instance's name.
	Node string
	// Secrets sign and verify keys: the first one signs, and a signature by any of
	// them is accepted. All nodes of the fleet share them.
	Secrets []string
	// Lifetime is the time after which an unused key expires; 15 minutes if zero.
	Lifetime time.Duration
	// Retain is how long an outcome is kept after the key expires; one hour if zero.
	Retain time.Duration
}

// Issuer issues keys and records the outcome of their use. A process has one
// issuer. Its epoch is unique to the process and changes with a restart under the
// same name, so no other process mistakes the key for one of its own.
type Issuer struct {
	config Config
	epoch  string

	mu        sync.Mutex
	serial    uint64
	uses      map[uint64]*Use
	lastSweep time.Time
}

// New returns the process's issuer.
func New(config Config) *Issuer {
	if config.Lifetime == 0 {
		config.Lifetime = defaultLifetime
	}
	if config.Retain == 0 {
		config.Retain = defaultRetain
	}
	return &Issuer{
		config: config,
		epoch:  rand.Text()[:13],
		uses:   map[uint64]*Use{},
	}
}

// Epoch returns the epoch of this process.
func (i *Issuer) Epoch() string { return i.epoch }

// Issue returns new keys and the time at which they expire. It stores nothing per
// key.
func (i *Issuer) Issue(organisation, service string, count int) ([]string, time.Time) {
	i.mu.Lock()
	first := i.serial + 1
	i.serial += uint64(count)
	i.mu.Unlock()
	expires := time.Now().Add(i.config.Lifetime).Truncate(time.Second)
	keys := make([]string, count)
	for n := range keys {
		key := Key{
			Node:    i.config.Node,
			Epoch:   i.epoch,
			Serial:  first + uint64(n),
			Expires: expires,
		}
		keys[n] = key.sign(i.config.Secrets[0], organisation, service)
	}
	return keys, expires
}

// Use is the single use of a key.
type Use struct {
	callHash string
	expires  time.Time
	// Done is closed when the outcome is known.
	Done chan struct{}
	// Answer or Refusal is set once Done is closed.
	Answer  *zinniamast.ServiceAnswer
	Refusal *zinniamast.Refusal
}

// Take starts the use of a key of this process and returns true, or returns the
// use that was started earlier and false. If the earlier use ended without running
// the call, a new one is started.
func (i *Issuer) Take(key Key, callHash string) (*Use, bool, error) {
	if key.Epoch != i.epoch {
		return nil, false, ErrOtherIssuer
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.sweep(now)
	earlier, ok := i.uses[key.Serial]
	if ok && !earlier.isRepeatable() {
		if earlier.callHash != callHash {
			return nil, false, ErrConflict
		}
		return earlier, false, nil
	}
	if now.After(key.Expires) {
		return nil, false, ErrExpired
	}
	use := &Use{
		callHash: callHash,
		expires:  key.Expires,
		Done:     make(chan struct{}),
	}
	i.uses[key.Serial] = use
	return use, true, nil
}

// isRepeatable reports whether the use has ended without running the call.
func (u *Use) isRepeatable() bool {
	select {
	case <-u.Done:
		return u.Refusal != nil && u.Refusal.Ran == zinniamast.NotRun
	default:
		return false
	}
}

// End records the outcome of a use that Take started.
func (u *Use) End(answer *zinniamast.ServiceAnswer, refusal *zinniamast.Refusal) {
	u.Answer = answer
	u.Refusal = refusal
	close(u.Done)
}

// sweep removes the outcomes of keys whose retention has ended; the caller holds
// the lock. Such a key cannot be used again, because it has expired.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.lastSweep) < time.Minute {
		return
	}
	i.lastSweep = now
	for serial, use := range i.uses {
		if now.After(use.expires.Add(i.config.Retain)) && use.hasEnded() {
			delete(i.uses, serial)
		}
	}
}

func (u *Use) hasEnded() bool {
	select {
	case <-u.Done:
		return true
	default:
		return false
	}
}

// RunState returns whether the call of a key ran, as far as this process knows, for
// refusals that precede the use of the key.
func (i *Issuer) RunState(text string) zinniamast.Ran {
	key, err := parse(text)
	if err != nil || key.Epoch != i.epoch {
		return zinniamast.Unknown
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	use, ok := i.uses[key.Serial]
	switch {
	case !ok && time.Now().After(key.Expires.Add(i.config.Retain)):
		return zinniamast.Unknown
	case !ok || use.isRepeatable():
		return zinniamast.NotRun
	case use.hasEnded() && use.Answer != nil:
		return zinniamast.DidRun
	case use.hasEnded():
		return use.Refusal.Ran
	default:
		return zinniamast.Unknown
	}
}
