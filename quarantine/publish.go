package quarantine

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"zinniamast"
)

// fingerprintBytes is the size of an encoded fingerprint, in bytes.
const fingerprintBytes = 8

// publishCrash publishes the requests that this node ran on a crashed replica.
// Requests that do not fit into one gossip item are omitted, because a crash
// that involves so many requests is no evidence against any of them.
func (q *Quarantine) publishCrash(upstream string, running []uint64) {
	value := make([]byte, 0, fingerprintBytes*len(running))
	for _, fingerprint := range running[:min(len(running), zinniamast.MaxGossipValueBytes/fingerprintBytes)] {
		value = binary.BigEndian.AppendUint64(value, fingerprint)
	}
	q.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicCrash,
		Key:        upstream,
		Value:      value,
		Expires:    time.Now().Add(crashMergeWindow),
		AllDomains: true,
	})
}

// writingKeyPrefix starts the keys of items about requests that a crashed replica had been
// answering for a while. No replica ID starts with it.
const writingKeyPrefix = "writing: "

// clearedKeyPrefix starts the keys of items about requests that ended without a
// crash. No replica ID starts with it.
const clearedKeyPrefix = "ended well: "

// publishCleared publishes that a suspect ended without crashing its replica.
// Otherwise the other nodes would keep counting earlier crashes against it, and
// an innocent request that is sent often would have as much evidence against it
// as the poison request.
func (q *Quarantine) publishCleared(fingerprint uint64) {
	q.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicCrash,
		Key:        clearedKeyPrefix + strconv.FormatUint(fingerprint, 16),
		Value:      binary.BigEndian.AppendUint64(nil, fingerprint),
		Expires:    time.Now().Add(crashMergeWindow),
		AllDomains: true,
	})
}

// receiveCrashItem records the requests that another node ran on a crashed
// replica, or those that ended there without a crash.
func (q *Quarantine) receiveCrashItem(item zinniamast.GossipItem) {
	var running []uint64
	for value := item.Value; len(value) >= fingerprintBytes; value = value[fingerprintBytes:] {
		running = append(running, binary.BigEndian.Uint64(value))
	}
	if strings.HasPrefix(item.Key, clearedKeyPrefix) {
		q.receiveCleared(running, item.Origin)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if upstream, ok := strings.CutPrefix(item.Key, writingKeyPrefix); ok {
		q.recordWriting(upstream, running, item.Expires.Add(-crashMergeWindow), item.Origin)
		return
	}
	q.recordCrash(item.Key, running, item.Expires.Add(-crashMergeWindow), item.Origin)
}

// receiveCleared records that requests ended without a crash on another node.
func (q *Quarantine) receiveCleared(fingerprints []uint64, origin string) {
	for _, fingerprint := range fingerprints {
		q.mu.Lock()
		wasHeld := q.markCleared(fingerprint, origin)
		q.mu.Unlock()
		if wasHeld {
			q.publishNotHeld(fingerprint)
		}
	}
}
