package forward

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// streamBufferBytes is the size of the buffer for the events of one read. An
	// event is about 100 bytes.
	streamBufferBytes = 16 << 10
	// maxEventBytes bounds one event. A replica that never ends an event would
	// otherwise fill this node's memory.
	maxEventBytes = 1 << 20
)

// errEventTooLarge is the error of a stream with an event that is not kept until it ends.
var errEventTooLarge = errors.New("the event is too large")

// streamBuffers pools read buffers so that forwarding a stream does not allocate
// a new one.
var streamBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, streamBufferBytes)
		return &buffer
	},
}

// eventReader reads whole events from a stream.
type eventReader struct {
	body   io.Reader
	pooled *[]byte
	// buffer holds the filled bytes that were read, of which the first taken were
	// returned by next.
	buffer []byte
	filled int
	taken  int
	// memory is what the buffer takes beyond the pooled one.
	memory reservation
	// err is the error that ended the stream; io.EOF at its regular end.
	err error
}

func newEventReader(body io.Reader, budget *memoryBudget) *eventReader {
	pooled, _ := streamBuffers.Get().(*[]byte)
	return &eventReader{
		body:   body,
		pooled: pooled,
		buffer: *pooled,
		memory: reservation{
			budget: budget,
		},
	}
}

// next waits for whole events and returns them. The data is valid until the next call.
// It returns nothing once the stream has ended, and may return the last events
// together with the end.
func (r *eventReader) next() []byte {
	r.discardTaken()
	searched := 0
	for r.err == nil {
		if r.err = r.makeRoom(); r.err != nil {
			break
		}
		n, err := r.body.Read(r.buffer[r.filled:])
		r.filled += n
		r.err = err
		// The end of an event may have begun in what was read before.
		from := max(0, searched-len(eventEnd)+1)
		searched = r.filled
		if length := wholeEventsLength(r.buffer[from:r.filled]); length > 0 {
			r.taken = from + length
			return r.buffer[:r.taken]
		}
	}
	return nil
}

// discardTaken moves what next has not returned to the start of the buffer, and returns to the pooled
// one if that suffices.
func (r *eventReader) discardTaken() {
	rest := r.buffer[r.taken:r.filled]
	if len(rest) < len(*r.pooled) && len(r.buffer) > len(*r.pooled) {
		r.buffer = *r.pooled
		r.memory.release()
	}
	r.filled = copy(r.buffer, rest)
	r.taken = 0
}

// makeRoom enlarges a full buffer. It returns an error if the event is too large, or if there is no
// memory for it beside those of the other streams.
func (r *eventReader) makeRoom() error {
	switch {
	case r.filled < len(r.buffer):
		return nil
	case r.filled >= maxEventBytes:
		return fmt.Errorf("%w: more than %d bytes", errEventTooLarge, maxEventBytes)
	}
	if err := r.memory.grow(int64(len(r.buffer))); err != nil {
		return fmt.Errorf("%w: more than %d bytes and %w", errEventTooLarge, r.filled, err)
	}
	r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	return nil
}

// isWhole reports whether the stream has ended after a whole event.
func (r *eventReader) isWhole() bool { return r.err == io.EOF && r.filled == r.taken }

// free returns the buffer to the pool. The reader must not be used after it.
func (r *eventReader) free() {
	if r != nil {
		r.memory.release()
		streamBuffers.Put(r.pooled)
	}
}

// eventEnd terminates each event of a stream.
var eventEnd = []byte("\n\n")

// wholeEventsLength returns the length in bytes of the whole events at the start
// of the data.
func wholeEventsLength(data []byte) int {
	at := bytes.LastIndex(data, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// idField starts the line of an event that contains its ID.
var idField = []byte("id:")

// lastID returns the ID of the last event that has one.
func lastID(data []byte) []byte {
	at := bytes.LastIndex(data, idField)
	for at > 0 && data[at-1] != '\n' {
		at = bytes.LastIndex(data[:at], idField)
	}
	if at < 0 {
		return nil
	}
	line := data[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return bytes.TrimSpace(line)
}
