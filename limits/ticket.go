package limits

import (
	"sync/atomic"
	"time"
)

// memoryRetryAfter is the retry time of refusals at the memory cap. It is short
// because the load balancer usually assigns the next connection to another node.
const memoryRetryAfter = time.Second

// ticket counts the memory of one admitted request.
type ticket struct {
	limiter  *Limiter
	bytes    atomic.Int64
	released atomic.Bool
}

// Grow implements zinniamast.Ticket. Without a bound on prompts and partial answers,
// the kernel would kill the node and end all its streams; refusing memory loses at
// most the one request.
func (t *ticket) Grow(bytes int) bool {
	if t.released.Load() {
		return false
	}
	size := int64(bytes)
	if t.limiter.memory.Add(size) > t.limiter.config.MemoryCap && size > 0 {
		t.limiter.memory.Add(-size)
		return false
	}
	t.bytes.Add(size)
	return true
}

// Release implements zinniamast.Ticket.
func (t *ticket) Release() {
	if t.released.Swap(true) {
		return
	}
	t.limiter.memory.Add(-t.bytes.Load())
}
