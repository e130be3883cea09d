package throttle

import (
	"fmt"
	"time"

	"zinniamast"
)

// publish tells the other nodes which limit a start of a replica names; zero if none. The
// value is the start in Unix milliseconds, the limit in requests per second and the number
// of the change.
func (t *Throttle) publish(id string, started time.Time, rate float64, change uint64) {
	value := fmt.Sprintf("%d %g %d", started.UnixMilli(), rate, change)
	t.config.Gossip.Publish(zinniamast.GossipItem{
		Topic:      zinniamast.TopicRateLimit,
		Key:        id,
		Value:      []byte(value),
		Expires:    time.Now().Add(limitLifetime),
		AllDomains: true,
	})
}

// receive records a limit that another node reports.
func (t *Throttle) receive(item zinniamast.GossipItem) {
	var millis int64
	var rate float64
	var change uint64
	if _, err := fmt.Sscanf(string(item.Value), "%d %g %d", &millis, &rate, &change); err != nil || !(rate >= 0) {
		return
	}
	started := time.UnixMilli(millis)
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.limits[item.Key]
	if known && (l.started.After(started) || l.started.Equal(started) && change < l.change) {
		return
	}
	t.set(item.Key, started, rate, change, t.config.Now())
}
