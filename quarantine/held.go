package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniamast"
)

// Fingerprint is the hash of a request's content.
type Fingerprint uint64

// String formats the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("quarantine: %q is not a fingerprint of up to 16 hexadecimal digits", text)
	}
	return Fingerprint(value), nil
}

// Held is a request that is held back.
type Held struct {
	Fingerprint Fingerprint
	// Since is the earliest time at which a node held the request back, of the
	// nodes that reported it.
	Since time.Time
	// Crashes is the number of crashes counted against the request at that time.
	Crashes int
	// lastReport is the time at which the last of these crashes was reported.
	lastReport time.Time
	// expires is the time at which this node forgets the entry.
	expires time.Time
}

// Free is an operator's command that allows a held request to run again.
type Free struct {
	Fingerprint Fingerprint
	// By is the operator and Why the reason. Every node logs both.
	By  string
	Why string
}

// freedState is the state of a request that an operator freed.
type freedState struct {
	at time.Time
	// onProbation means that no run of the request has ended without a crash on this
	// node since it was freed. Until then the request runs alone, and a single crash
	// holds it back again.
	onProbation bool
}

// ErrNotHeld means that this node has no evidence against the request.
var ErrNotHeld = errors.New("no node that is heard here holds this request back")

const (
	// quarantineItemLifetime is how long nodes repeat that a request is held back or was
	// freed, so that nodes that were partitioned or start later receive it.
	quarantineItemLifetime = crashRetention
	// maxTextBytes is the maximum size of Free.By and of Free.Why in gossip.
	maxTextBytes = 256
)

// Held returns the requests that are held back at this node or at nodes that
// reported it, oldest first.
func (q *Quarantine) Held() []Held {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropExpired(time.Now())
	var all []Held
	for fingerprint, held := range q.held {
		if remote, ok := q.remoteHeld[fingerprint]; ok && remote.Since.Before(held.Since) {
			held.Since = remote.Since
		}
		all = append(all, held)
	}
	for fingerprint, held := range q.remoteHeld {
		if _, ok := q.held[fingerprint]; !ok {
			all = append(all, held)
		}
	}
	slices.SortFunc(all, func(a, b Held) int { return a.Since.Compare(b.Since) })
	return all
}

// Free allows a request to run again at every node. Until one of its runs has
// ended without a crash, it runs alone, and a single crash holds it back again.
func (q *Quarantine) Free(free Free) error {
	fingerprint := uint64(free.Fingerprint)
	now := time.Now()
	q.mu.Lock()
	_, here := q.held[fingerprint]
	_, remote := q.remoteHeld[fingerprint]
	if !here && !remote && q.evidenceAgainst(fingerprint).crashes == 0 {
		q.mu.Unlock()
		return ErrNotHeld
	}
	q.markFreed(free, now)
	q.mu.Unlock()
	q.publishFreed(free, now)
	q.archive.save(change{
		key: free.Fingerprint.String(),
	})
	return nil
}

// markFreed records that a request was freed. The caller holds the lock.
func (q *Quarantine) markFreed(free Free, at time.Time) {
	fingerprint := uint64(free.Fingerprint)
	if !at.After(q.freed[fingerprint].at) {
		return
	}
	q.freed[fingerprint] = freedState{
		at:          at,
		onProbation: true,
	}
	for _, entries := range []map[uint64]Held{q.held, q.remoteHeld} {
		// A request that is held because of a later crash stays held. One that a node
		// held because it had not received the item yet does not.
		if held, ok := entries[fingerprint]; ok && !held.lastReport.After(at) {
			delete(entries, fingerprint)
		}
	}
	q.metrics.freed.Inc()
	q.config.Logger.Warn("request freed", "fingerprint", free.Fingerprint, "by", free.By, "why", free.Why, "at", at)
}

// dropExpiredHeld removes expired entries about held and freed requests. The
// caller holds the lock.
func (q *Quarantine) dropExpiredHeld(now time.Time) {
	for _, entries := range []map[uint64]Held{q.held, q.remoteHeld} {
		for fingerprint, held := range entries {
			if now.After(held.expires) {
				delete(entries, fingerprint)
			}
		}
	}
	for fingerprint, freed := range q.freed {
		if now.Sub(freed.at) > crashRetention {
			delete(q.freed, fingerprint)
		}
	}
}

// Prefixes of the keys of gossip items about held and freed requests.
const (
	heldKeyPrefix  = "held "
	freedKeyPrefix = "freed "
)

// publishHeldBack tells the other nodes, and those that start later, that a request is
// held back.
func (q *Quarantine) publishHeldBack(held *Held) {
	q.publishQuarantineItem(heldKeyPrefix, held.Fingerprint, quarantineItemLifetime, held.fields()...)
	q.archive.save(change{
		key:   held.Fingerprint.String(),
		value: []byte(strings.Join(held.fields(), "\n")),
	})
}

// publishNotHeld replaces the item that this node published when it held a request back,
// so that nodes that start later do not receive it.
func (q *Quarantine) publishNotHeld(fingerprint uint64) {
	q.publishQuarantineItem(heldKeyPrefix, Fingerprint(fingerprint), crashMergeWindow)
	q.archive.save(change{
		key: Fingerprint(fingerprint).String(),
	})
}

func (q *Quarantine) publishFreed(free Free, at time.Time) {
	q.publishQuarantineItem(freedKeyPrefix, free.Fingerprint, quarantineItemLifetime,
		fmt.Sprint(at.UnixNano()), singleLine(free.By), singleLine(free.Why))
}

func (q *Quarantine) publishQuarantineItem(prefix string, fingerprint Fingerprint, lifetime time.Duration, fields ...string) {
	if q.config.Gossip == nil {
		return
	}
	q.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicQuarantine,
		Key:        prefix + fingerprint.String(),
		Value:      []byte(strings.Join(fields, "\n")),
		Expires:    time.Now().Add(lifetime),
		AllDomains: true,
	})
}

// singleLine truncates an operator's text and puts it on one line.
func singleLine(text string) string {
	return strings.ReplaceAll(text[:min(len(text), maxTextBytes)], "\n", " ")
}

// receiveQuarantineItem records that another node holds a request back or that
// a request was freed there.
func (q *Quarantine) receiveQuarantineItem(item zinniamast.GossipItem) {
	kind, name, _ := strings.Cut(item.Key, " ")
	fingerprint, err := ParseFingerprint(name)
	fields := strings.Split(string(item.Value), "\n")
	at, timeErr := parseUnixNano(fields[0])
	if err != nil || timeErr != nil || len(fields) != heldFields {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	switch kind + " " {
	case freedKeyPrefix:
		q.markFreed(Free{
			Fingerprint: fingerprint,
			By:          fields[1],
			Why:         fields[2],
		}, at)
	case heldKeyPrefix:
		q.recordRemoteHeld(fingerprint, at, fields[1], fields[2], item.Expires)
	}
}

// parseUnixNano parses a time in Unix nanoseconds.
func parseUnixNano(text string) (time.Time, error) {
	nanos, err := strconv.ParseInt(text, 10, 64)
	return time.Unix(0, nanos), err
}

// recordRemoteHeld records that another node holds a request back. This node then holds
// it back as well: it may know of fewer crashes, as nodes start and miss reports. The
// caller holds the lock.
func (q *Quarantine) recordRemoteHeld(fingerprint Fingerprint, since time.Time, crashes, reported string, expires time.Time) {
	previous, ok := q.remoteHeld[uint64(fingerprint)]
	if ok && !since.Before(previous.Since) {
		return
	}
	count, err := strconv.Atoi(crashes)
	lastReport, timeErr := parseUnixNano(reported)
	if err != nil || timeErr != nil || !lastReport.After(q.freed[uint64(fingerprint)].at) {
		return
	}
	q.remoteHeld[uint64(fingerprint)] = Held{
		Fingerprint: fingerprint,
		Since:       since,
		Crashes:     count,
		lastReport:  lastReport,
		expires:     expires,
	}
}

// tablePartition is the table partition that holds the requests that are held back.
const tablePartition = "quarantine"

// Run reads the requests that were held back when all nodes stopped, and stores changes
// until ctx ends.
func (q *Quarantine) Run(ctx context.Context) { q.archive.run(ctx, q.readHeld) }

// readHeld records a held request from the table.
func (q *Quarantine) readHeld(key string, value []byte) {
	fingerprint, err := ParseFingerprint(key)
	fields := strings.Split(string(value), "\n")
	since, timeErr := parseUnixNano(fields[0])
	if err != nil || timeErr != nil || len(fields) != heldFields {
		q.config.Logger.Warn("held request in the table is unreadable", "item", key)
		return
	}
	if time.Since(since) > staleItemAge {
		q.archive.save(change{
			key: key,
		})
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordRemoteHeld(fingerprint, since, fields[1], fields[2], time.Now().Add(crashRetention))
}

// heldFields is the number of fields of an encoded Held.
const heldFields = 3

// fields encodes an entry.
func (h *Held) fields() []string {
	return []string{
		strconv.FormatInt(h.Since.UnixNano(), 10),
		strconv.Itoa(h.Crashes),
		strconv.FormatInt(h.lastReport.UnixNano(), 10),
	}
}
