package httplimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"

	"zinniamast"
)

// maxRecorded bounds what is recorded of an answer: interim heads and the final one.
const maxRecorded = 2 * MaxHeaderBytes

// Head records the heads of an answer for CheckFraming, unless the answer is HTTP/1.1. The zero value
// records nothing.
type Head struct {
	mu     sync.Mutex
	isOpen bool
	data   []byte
}

// Reset starts to record the answer to a new request.
func (h *Head) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isOpen, h.data = true, nil
}

// Add records bytes as they are read.
func (h *Head) Add(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isOpen {
		return
	}
	if len(h.data) == 0 && isCurrent(p) {
		h.isOpen = false
		return
	}
	h.data = append(h.data, p[:min(len(p), maxRecorded-len(h.data))]...)
}

// Check is CheckFraming with what was recorded. The recording ends.
func (h *Head) Check(response *http.Response) error {
	h.mu.Lock()
	data := h.data
	h.isOpen, h.data = false, nil
	h.mu.Unlock()
	return CheckFraming(response, data)
}

// isCurrent reports whether the data begins with a final head of HTTP/1.1.
func isCurrent(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte("HTTP/1.1 "))
	return ok && len(rest) > 0 && rest[0] != '1'
}

// CheckFraming returns zinniamast.ErrMalformed if an answer older than HTTP/1.1 has the field
// Transfer-Encoding, so that its framing is faulty (RFC 9112, section 6.1). net/http removes that field, and
// takes the chunks for the body. The data begins with the answer's heads.
func CheckFraming(response *http.Response, data []byte) error {
	if response.ProtoAtLeast(1, 1) {
		return nil
	}
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(data)))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return fmt.Errorf("%w: head of %s not found: %w", zinniamast.ErrMalformed, response.Proto, err)
		}
		fields, err := reader.ReadMIMEHeader()
		if err != nil {
			return fmt.Errorf("%w: head of %s: %w", zinniamast.ErrMalformed, response.Proto, err)
		}
		if isInterim(line) {
			continue
		}
		if coding, ok := fields["Transfer-Encoding"]; ok {
			return fmt.Errorf("%w: %s with transfer coding %q", zinniamast.ErrMalformed, response.Proto, coding)
		}
		return nil
	}
}

// isInterim reports whether the first line of a head is that of an interim answer.
func isInterim(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	return strings.HasPrefix(strings.TrimLeft(status, " "), "1")
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Recorded returns a dial function for a transport that is used by a StrictTransport, which checks the
// framing of answers only on such connections.
func Recorded(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordedConn{
			Conn: conn,
		}, nil
	}
}

// recordedConn records the heads of the answers that it reads.
type recordedConn struct {
	net.Conn
	head Head
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.head.Add(p[:n])
	return n, err
}
