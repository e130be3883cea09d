package service

import (
	"maps"
	"sync"
)

// Ledger counts the requests that ran. The replicas of one service share a
// ledger, as they would share a database.
type Ledger struct {
	mu      sync.Mutex
	counts  Counts
	answers map[string][]byte
	fence   uint64
}

// Counts holds the numbers of requests that ran.
type Counts struct {
	// Keys counts runs per idempotency key.
	Keys map[string]int `json:"keys"`
	// Attempts counts runs per attempt.
	Attempts map[string]int `json:"attempts"`
	// Bodies counts runs per body.
	Bodies map[string]int `json:"bodies"`
	// Runs counts all runs of calls that change state.
	Runs int `json:"runs"`
	// Lookups counts the lookups that ran.
	Lookups int `json:"lookups"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.Reset()
	return l
}

// Reset clears the counts, the answers and the fencing number.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts = Counts{
		Keys:     map[string]int{},
		Attempts: map[string]int{},
		Bodies:   map[string]int{},
	}
	l.answers = map[string][]byte{}
	l.fence = 0
}

// Counts returns a copy of the counts.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	counts.Keys = maps.Clone(l.counts.Keys)
	counts.Attempts = maps.Clone(l.counts.Attempts)
	counts.Bodies = maps.Clone(l.counts.Bodies)
	return counts
}

// KeysRunTwice lists the keys that ran more than once.
func (l *Ledger) KeysRunTwice() []string {
	var doubled []string
	for key, runs := range l.Counts().Keys {
		if runs > 1 {
			doubled = append(doubled, key)
		}
	}
	return doubled
}

// run records one run and returns its answer. With checkKeys, a key that has run
// before does not run again and returns its first answer.
func (l *Ledger) run(key, attempt, body string, answer []byte, checkKeys bool) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.answers[key]; ok && checkKeys && key != "" {
		return known
	}
	l.counts.Runs++
	l.counts.Attempts[attempt]++
	l.counts.Bodies[body]++
	if key != "" {
		l.counts.Keys[key]++
		l.answers[key] = answer
	}
	return answer
}

// countLookup counts a lookup.
func (l *Ledger) countLookup() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Lookups++
}

// answerByKey returns the answer of an idempotency key, if the key ran.
func (l *Ledger) answerByKey(key string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, ok := l.answers[key]
	return answer, ok
}

// admitFence reports whether a fencing number is not lower than the highest
// admitted one, and records it.
func (l *Ledger) admitFence(fence uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}
