package queue

import (
	"math"
	"sync"
	"time"
)

// usageTime is the time constant with which work is forgotten. An organisation that has sent
// nothing for that long is not held back for what it used before.
const usageTime = 10 * time.Second

// LocalUsage is what this node's requests have used. It is safe for concurrent use.
type LocalUsage struct {
	mu       sync.Mutex
	accounts map[accountKey]*account
}

type accountKey struct {
	service      string
	organisation string
}

type account struct {
	work  float64
	since time.Time
}

// NewLocalUsage returns a usage without work.
func NewLocalUsage() *LocalUsage {
	return &LocalUsage{
		accounts: map[accountKey]*account{},
	}
}

// Add implements Usage.
func (u *LocalUsage) Add(service, organisation string, work float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := accountKey{
		service:      service,
		organisation: organisation,
	}
	now := time.Now()
	a, ok := u.accounts[key]
	if !ok {
		a = &account{}
		u.accounts[key] = a
	}
	a.work = max(0, a.at(now)+work)
	a.since = now
}

// Used implements Usage. All organisations have the same weight.
func (u *LocalUsage) Used(service, organisation string) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	a, ok := u.accounts[accountKey{
		service:      service,
		organisation: organisation,
	}]
	if !ok {
		return 0
	}
	return a.at(time.Now())
}

func (a *account) at(now time.Time) float64 {
	return a.work * math.Exp(-float64(now.Sub(a.since))/float64(usageTime))
}
