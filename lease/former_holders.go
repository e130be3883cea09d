package lease

import (
	"slices"
	"time"
)

// formerHolder is an instance that held the lease.
type formerHolder struct {
	Holder string `json:"holder"`
	// AgoMS is the minimum time in milliseconds since it last held the lease.
	AgoMS int64 `json:"ago_ms"`
}

// recentHolders returns the former holders with their present ages, without those
// that may hold the lease again. Ages grow by this node's monotonic clock. That
// clock may stand still while the instance is suspended, so an age can be too low
// but never too high. The caller holds the lock.
func (l *Lease) recentHolders(now time.Time) []formerHolder {
	sinceObserved := max(0, now.Sub(l.observedAt)).Milliseconds()
	var known []formerHolder
	for _, f := range l.record.Former {
		f.AgoMS += sinceObserved
		if f.AgoMS < l.expiryDelay().Milliseconds() {
			known = append(known, f)
		}
	}
	return known
}

// recentHoldersWithLast returns the former holders for a record that replaces the
// one observed last; the holder of the replaced record becomes the last of them.
// The caller holds the lock.
func (l *Lease) recentHoldersWithLast(now time.Time) []formerHolder {
	known := l.recentHolders(now)
	if l.record.Session == "" {
		return known
	}
	holder := l.record.Holder
	known = slices.DeleteFunc(known, func(f formerHolder) bool { return f.Holder == holder })
	return append(known, formerHolder{
		Holder: holder,
	})
}

// reacquireDelay returns how long this instance must wait before it may hold the
// lease again, because another instance held it in between; zero if none did. The
// caller holds the lock.
//
// During a rolling restart the holder releases the lease as it stops, the next
// instance acts and stops too, and the first one, started again, would act a
// second later. A peer that distinguishes holders by the order of their calls
// would see A, B, A within one term and would have to treat the last call as one
// of a paused former holder. An instance that waits for a whole term after it
// held the lease cannot appear twice within a term. Other instances take over
// without this wait.
func (l *Lease) reacquireDelay(now time.Time) time.Duration {
	known := l.recentHolders(now)
	at := slices.IndexFunc(known, func(f formerHolder) bool { return f.Holder == l.config.Holder })
	if at < 0 || l.record.Holder == l.config.Holder {
		return 0
	}
	if l.record.Session == "" && at == len(known)-1 {
		return 0
	}
	return l.expiryDelay() - time.Duration(known[at].AgoMS)*time.Millisecond
}
