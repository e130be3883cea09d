package limits

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"zinniamast"
)

// A usage item of the gossip begins with the length and name of the failure
// domain. Entries of usageItemBytes follow: the account's hash and the work
// offered and admitted. The key of a node's item is keyNode, a slash and a number that
// differs from process to process, so that a restarted node does not replace what
// its former process reported.
const (
	usageItemBytes   = 16
	usageTTL         = 20 * time.Second
	minUsageInterval = time.Second
	// usageBytesPerSecond bounds the usage that a node receives, and usageOverhead is
	// the assumed size of an item without its value.
	usageBytesPerSecond = 1500
	usageOverhead       = 80
	// domainDelay is how long a new process waits before it publishes its failure
	// domain's sum: the sum of the process before it counts until the other nodes of
	// the domain have reported.
	domainDelay = 2 * time.Second
	// maxItemWork bounds the work of an account in an item; more is malformed. A
	// hundred thousand slots do that much work in usageWindow.
	maxItemWork = 1e6
	keyNode     = "node"
	keyDomain   = "domain"
)

// usageItem is one account's work as it is encoded in gossip.
type usageItem struct {
	hash uint64
	totals
}

// encodeUsage encodes as many accounts as fit, those with the most work first.
func encodeUsage(domain string, items []usageItem) []byte {
	slices.SortFunc(items, func(a, b usageItem) int {
		if byWork := cmp.Compare(b.offered, a.offered); byWork != 0 {
			return byWork
		}
		return cmp.Compare(a.hash, b.hash)
	})
	value := append([]byte{byte(len(domain))}, domain...)
	for _, item := range items {
		if len(value)+usageItemBytes > zinniamast.MaxGossipValueBytes {
			break
		}
		value = binary.BigEndian.AppendUint64(value, item.hash)
		value = binary.BigEndian.AppendUint32(value, math.Float32bits(float32(item.offered)))
		value = binary.BigEndian.AppendUint32(value, math.Float32bits(float32(item.admitted)))
	}
	return value
}

// decodeUsage decodes usage received by gossip; it returns false if the value is
// malformed.
func decodeUsage(value []byte) (domain string, items []usageItem, ok bool) {
	if len(value) == 0 || len(value) < 1+int(value[0]) {
		return "", nil, false
	}
	domain = string(value[1 : 1+int(value[0])])
	rest := value[1+int(value[0]):]
	if len(rest)%usageItemBytes != 0 {
		return "", nil, false
	}
	for ; len(rest) > 0; rest = rest[usageItemBytes:] {
		item := usageItem{
			hash: binary.BigEndian.Uint64(rest),
			totals: totals{
				offered:  float64(math.Float32frombits(binary.BigEndian.Uint32(rest[8:]))),
				admitted: float64(math.Float32frombits(binary.BigEndian.Uint32(rest[12:]))),
			},
		}
		if !(item.offered >= 0 && item.offered <= maxItemWork && item.admitted >= 0 && item.admitted <= maxItemWork) {
			return "", nil, false
		}
		items = append(items, item)
	}
	return domain, items, true
}
