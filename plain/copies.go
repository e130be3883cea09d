package plain

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/zeebo/xxh3"

	"zinniamast/httplimit"
)

const (
	// maxHeldHead bounds the start of an answer that is held until its ID is known.
	maxHeldHead = 64 << 10
	// maxCopyBody bounds the body of a second copy that is discarded.
	maxCopyBody = 1 << 20
)

// headEnd marks the end of an answer's head.
var headEnd = []byte("\r\n\r\n")

// awaited is a request whose answer has not begun to arrive on its connection.
type awaited struct {
	id string
	// idOf returns the ID of the request that an answer repeats.
	idOf func(http.Header) string
}

// await lets the connection expect the answer to a request.
func (c *conn) await(id string, idOf func(http.Header) string) {
	if id == "" {
		c.awaited.Store(nil)
		return
	}
	c.awaited.Store(&awaited{
		id:   id,
		idOf: idOf,
	})
}

// readAnswer reads from the network without second copies of answers to earlier requests that arrive
// ahead of the answer to the present one, whose caller would otherwise not learn how it has ended.
func (c *conn) readAnswer(p []byte) (int, error) {
	for len(c.held) == 0 {
		n, err := c.read(p)
		request := c.awaited.Load()
		if request == nil || n == 0 {
			return n, err
		}
		if request.isNamedIn(p[:n]) {
			c.awaited.Store(nil)
			return n, err
		}
		c.held = append(c.held, p[:n]...)
		c.discardCopies(request)
	}
	n := copy(p, c.held)
	if c.held = c.held[n:]; len(c.held) == 0 {
		c.held = nil // a pooled connection must not keep the buffer
	}
	return n, nil
}

// isNamedIn reports whether the head at the start of the data contains the ID of the request.
func (a *awaited) isNamedIn(data []byte) bool {
	if end := bytes.Index(data, headEnd); end >= 0 {
		data = data[:end]
	}
	return bytes.Contains(data, []byte(a.id))
}

// discardCopies reads until the held bytes are the start of an answer that is not a copy, and removes
// the copies before it. The caller holds what has been read so far.
func (c *conn) discardCopies(request *awaited) {
	for {
		if len(c.held) > 0 && request.isNamedIn(c.held) {
			break
		}
		if !bytes.Contains(c.held, headEnd) {
			if len(c.held) >= maxHeldHead || !c.holdMore() {
				break
			}
			continue
		}
		if !c.isCopy(request) {
			break
		}
		c.spoil()
		if !c.discardAnswer() {
			break
		}
		if len(c.held) == 0 {
			return // the next read goes on
		}
	}
	c.awaited.Store(nil)
}

// holdMore reads more of the head. It returns false if the connection has ended.
func (c *conn) holdMore() bool {
	var buffer [4 << 10]byte
	n, err := c.read(buffer[:])
	c.held = append(c.held, buffer[:n]...)
	return err == nil
}

// isCopy reports whether the held head belongs to an answer to an earlier request on this connection
// whose end is marked.
func (c *conn) isCopy(request *awaited) bool {
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.held)), nil)
	if err != nil || EndsWithConnection(response) || checkHead(response) != nil || httplimit.CheckFraming(response, c.held) != nil {
		return false
	}
	id := request.idOf(response.Header)
	return id != "" && id != request.id && c.hasCarried(xxh3.HashString(id))
}

// discardAnswer removes the answer at the start of the held bytes. It returns false if its end did not
// arrive.
func (c *conn) discardAnswer() bool {
	held := bytes.NewReader(c.held)
	reader := bufio.NewReader(io.MultiReader(held, c.Conn))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, response.Body, maxCopyBody)
	if err = httplimit.CheckEnd(response, err); err != io.EOF {
		return false
	}
	rest, _ := reader.Peek(reader.Buffered())
	c.held = append([]byte(nil), rest...)
	unread, _ := io.ReadAll(held)
	c.held = append(c.held, unread...)
	return true
}
