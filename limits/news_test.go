package limits_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/limits"
)

// Requests are admitted as before. Order: a peer of another version, or one
// that is broken, sends usage news of any bytes. It must change nothing that
// is not well formed, and never stop the node.
func TestMalformedUsageIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite([]string{"x", "y"}, map[string]float64{"a": 1})
		value := rapid.SliceOfN(rapid.Byte(), 0, zinniamast.MaxNews).Draw(t, "value")
		key := rapid.SampledFrom([]string{"node", "domain", "other"}).Draw(t, "key")
		s.bus.ports[0].receive(zinniamast.News{
			Key:     key,
			Value:   value,
			Origin:  "1",
			Expires: s.queue.now.Add(time.Minute),
		})
		_, err := s.nodes[0].Admit(zinniamast.Admission{
			Organisation: "a",
			Service:      "assistant",
			Priority:     1,
		})
		if err != nil {
			t.Fatalf("an idle service refuses: %v", err)
		}
	})
}

// The node's memory never counts above its cap, and nothing is left after all
// tickets are released, whatever the order.
func TestMemoryIsCountedExactly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		limiter := limits.New(limits.Config{
			Board:     blackboard.New(),
			MemoryCap: capacity,
		})
		held := 0
		var tickets []zinniamast.Ticket
		var sizes []int
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			size := rapid.IntRange(1, 400).Draw(t, "size")
			if len(tickets) > 0 && rapid.Bool().Draw(t, "release") {
				last := len(tickets) - 1
				tickets[last].Release()
				held -= sizes[last]
				tickets, sizes = tickets[:last], sizes[:last]
				continue
			}
			ticket, err := limiter.Admit(zinniamast.Admission{Bytes: size})
			if (err == nil) != (held+size <= capacity) {
				t.Fatalf("%d held, %d asked for: %v", held, size, err)
			}
			if err == nil {
				held += size
				tickets = append(tickets, ticket)
				sizes = append(sizes, size)
			}
		}
	})
}
