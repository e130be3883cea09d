package lease

import (
	"slices"
	"time"
)

// former is a machine that held the lease.
type former struct {
	Holder string `json:"holder"`
	// AgoMS is for how many milliseconds at least it has not held it.
	AgoMS int64 `json:"ago_ms"`
}

// aged returns the former holders as they are now, without those that may hold
// the lease again. Ages grow by the monotonic clock of whoever holds the record,
// which may stand still and makes them too young then, never too old. The caller
// holds the lock.
func (l *Lease) aged(now time.Time) []former {
	since := max(0, now.Sub(l.seen)).Milliseconds()
	var known []former
	for _, f := range l.record.Former {
		f.AgoMS += since
		if f.AgoMS < l.over().Milliseconds() {
			known = append(known, f)
		}
	}
	return known
}

// followed returns the former holders for a record that ends the time of the one
// seen last: its holder is the last of them. The caller holds the lock.
func (l *Lease) followed(now time.Time) []former {
	known := l.aged(now)
	if l.record.Session == "" {
		return known
	}
	holder := l.record.Holder
	known = slices.DeleteFunc(known, func(f former) bool { return f.Holder == holder })
	return append(known, former{
		Holder: holder,
	})
}

// rest is how long this machine may not hold the lease since another one held it
// after it did; zero where none did. The caller holds the lock.
//
// Failure: machines are restarted in turn. The holder releases the lease as it
// stops, the next one acts and stops too, and the first, started again, acts a
// second later. A peer that tells holders apart by the order of their calls sees
// A, B, A within a term and must take the last for one that was paused. A machine
// that rests for a whole term after its own time cannot be there twice within
// one; others take over without a wait.
func (l *Lease) rest(now time.Time) time.Duration {
	known := l.aged(now)
	at := slices.IndexFunc(known, func(f former) bool { return f.Holder == l.config.Holder })
	if at < 0 || l.record.Holder == l.config.Holder {
		return 0
	}
	if l.record.Session == "" && at == len(known)-1 {
		return 0
	}
	return l.over() - time.Duration(known[at].AgoMS)*time.Millisecond
}
