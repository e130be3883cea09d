package forward

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyStep is how much memory a body of unknown length reserves at a time.
const bodyStep = 64 << 10

// errMemoryFull means that a body or an event has no place beside those that are kept.
var errMemoryFull = errors.New("what other requests keep in memory leaves no place")

// memoryBudget bounds what all requests together keep in memory, such as their bodies. A body is kept
// until its request has ended.
type memoryBudget struct {
	// limit is the bound in bytes; zero means none.
	limit int64
	used  atomic.Int64
}

// reserve reserves memory and reports whether there was enough.
func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit && b.limit > 0 {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// ReserveBody reserves memory for the body of another node's request, among those of this node's own
// ones. It returns false if there is not enough.
func (h *Handler) ReserveBody(bytes int64) (release func(), ok bool) {
	r := reservation{
		budget: &h.bodies,
	}
	if r.grow(bytes) != nil {
		return nil, false
	}
	return r.release, true
}

// reservation is the memory that one request has reserved.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow reserves more memory.
func (r *reservation) grow(bytes int64) error {
	if !r.budget.reserve(bytes) {
		return errMemoryFull
	}
	r.bytes += bytes
	return nil
}

// release gives all memory back.
func (r *reservation) release() {
	r.budget.used.Add(-r.bytes)
	r.bytes = 0
}

// readAll reads a body. If its length is known, it allocates one buffer of that size.
func (r *reservation) readAll(body io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(&growingReader{
			reader:      body,
			reservation: r,
		})
	}
	if err := r.grow(length); err != nil {
		return nil, err
	}
	buffer := make([]byte, length)
	_, err := io.ReadFull(body, buffer)
	return buffer, err
}

// growingReader reserves memory for what is read.
type growingReader struct {
	reader      io.Reader
	reservation *reservation
	read        int64
}

// Read implements io.Reader.
func (g *growingReader) Read(p []byte) (int, error) {
	if g.read >= g.reservation.bytes {
		if err := g.reservation.grow(bodyStep); err != nil {
			return 0, err
		}
	}
	n, err := g.reader.Read(p[:min(int64(len(p)), g.reservation.bytes-g.read)])
	g.read += int64(n)
	return n, err
}
