package limits

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// usageWindow is the time constant with which work decays. It is longer than the
	// exchange between nodes takes and shorter than an organisation is willing to wait.
	usageWindow = 10 * time.Second
	// fullHeadroom is how far below its share, as a fraction of it, an organisation
	// must be to get the full maximum wait.
	fullHeadroom = 0.2
	// classFloor is the fraction of a service's work guaranteed to each class that
	// has demand: with strict priorities alone, a flood of urgent requests would
	// starve the other classes for as long as it lasts.
	classFloor = 0.1
)

// accountKey identifies an organisation's account at a service.
type accountKey struct {
	service      string
	organisation string
}

// account counts an organisation's work at a service, by class, in seconds of
// compute time that decay exponentially.
type account struct {
	key      accountKey
	hash     uint64
	offered  [classCount]float64
	admitted [classCount]float64
}

func sum(values [classCount]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// usage holds the work of all organisations, as far as this node knows it.
type usage struct {
	accounts  map[accountKey]*account
	remote    remoteUsage
	decayedAt time.Time
	// shares caches the shares until the next decay, by the service's hash.
	shares map[uint32]serviceShares
	// longWaits holds when requests of each class last had a long wait, by service.
	longWaits map[string]*[classCount]time.Time
}

func newUsage() usage {
	return usage{
		accounts:  map[accountKey]*account{},
		remote:    newRemoteUsage(),
		shares:    map[uint32]serviceShares{},
		longWaits: map[string]*[classCount]time.Time{},
	}
}

func (u *usage) account(key accountKey) *account {
	a, ok := u.accounts[key]
	if ok {
		return a
	}
	a = &account{
		key:  key,
		hash: hashAccount(key.service, key.organisation),
	}
	u.accounts[key] = a
	return a
}

// hashAccount returns the hash that identifies an account in gossip.
func hashAccount(service, organisation string) uint64 {
	return uint64(uint32(xxh3.HashString(service)))<<32 | uint64(uint32(xxh3.HashString(organisation)))
}

// serviceOf returns the service's hash, the upper half of an account's hash.
func serviceOf(hash uint64) uint32 { return uint32(hash >> 32) }

// decayInterval limits how often the counts are decayed, which bounds its cost.
const decayInterval = 50 * time.Millisecond

// minAccountWork is the work, in seconds, below which an account is deleted.
const minAccountWork = 1e-6

// decay decays all counts up to now and deletes negligible accounts and expired
// remote usage.
func (u *usage) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt)
	if elapsed < decayInterval {
		return
	}
	u.decayedAt = now
	clear(u.shares)
	factor := math.Exp(-float64(elapsed) / float64(usageWindow))
	for key, a := range u.accounts {
		for i := range a.offered {
			a.offered[i] *= factor
			a.admitted[i] *= factor
		}
		if sum(a.offered) < minAccountWork {
			delete(u.accounts, key)
		}
	}
	u.remote.expire(now)
}

// totals is the work of one account, over all its classes.
type totals struct {
	offered  float64
	admitted float64
}

// fleetTotals returns the sums of a service's accounts over all nodes.
func (u *usage) fleetTotals(service uint32) map[uint64]totals {
	all := map[uint64]totals{}
	for _, a := range u.accounts {
		if serviceOf(a.hash) == service {
			all[a.hash] = totals{
				offered:  sum(a.offered),
				admitted: sum(a.admitted),
			}
		}
	}
	u.remote.addTo(all, service)
	return all
}

// admittedTo returns the work that all nodes admitted to an account.
func (u *usage) admittedTo(key accountKey, hash uint64) float64 {
	work := u.remote.sums[hash].admitted
	if a, ok := u.accounts[key]; ok {
		work += sum(a.admitted)
	}
	return work
}

// noteLongWait records that requests of a class have a long wait at a service.
func (u *usage) noteLongWait(service string, class int, now time.Time) {
	times, ok := u.longWaits[service]
	if !ok {
		times = &[classCount]time.Time{}
		u.longWaits[service] = times
	}
	times[class] = now
}

// longWaitTTL is how long a recorded long wait is taken into account.
const longWaitTTL = 2 * time.Second

// starvesLowerClass reports whether a class less urgent than the given one has had
// a long wait recently and is below its floor at a service.
func (u *usage) starvesLowerClass(service string, class int, now time.Time) bool {
	times, ok := u.longWaits[service]
	if !ok {
		return false
	}
	var admitted [classCount]float64
	for i := class + 1; i < classCount; i++ {
		if now.Sub(times[i]) > longWaitTTL {
			continue
		}
		if sum(admitted) == 0 {
			admitted = u.admittedByClass(service)
		}
		if admitted[i] < classFloor*sum(admitted) {
			return true
		}
	}
	return false
}

// admittedByClass returns the work that this node admitted at a service, by class.
func (u *usage) admittedByClass(service string) [classCount]float64 {
	var admitted [classCount]float64
	for _, a := range u.accounts {
		if a.key.service != service {
			continue
		}
		for i := range admitted {
			admitted[i] += a.admitted[i]
		}
	}
	return admitted
}
