package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"zinniamast/plain"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// ConnContext is the ConnContext of a caller's http.Server. Without it, answers that end with their
// replica's connection are framed as complete.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// resettable is a connection whose close can be made a reset, such as a *net.TCPConn.
type resettable interface {
	SetLinger(seconds int) error
}

// The values of SO_LINGER: a close resets the connection, or sends what is left in order.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// startFraming decides how the end of the answer to the caller is marked, before its header is written.
//
// The end of a replica's connection may be its crash. If nothing else marks the end of its answer, the
// caller's answer ends with the connection as well, and not with a length or a last chunk that says
// that it is complete. Until finish is called, the close of that connection is a reset, also by the
// kernel when this process is killed, as an orderly one would say that the replica's was.
//
// HTTP/1.0 has no chunks: a body of unknown length ends with the connection whatever the replica does.
func (a *answer) startFraming(request *http.Request, response *http.Response, length int64) {
	a.isFramed = !plain.EndsWithConnection(response)
	endsWithConnection := !a.isFramed || length < 0 && !request.ProtoAtLeast(1, 1)
	conn, ok := request.Context().Value(connKey{}).(resettable)
	if !endsWithConnection || !ok || conn.SetLinger(lingerReset) != nil {
		return
	}
	a.unframed = conn
	a.writer.Header().Set("Transfer-Encoding", "identity")
}

// setLength announces the length of a body, unless the answer ends with its connection.
func (a *answer) setLength(length int64) {
	if a.unframed == nil && length >= 0 {
		a.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// finish lets the connection be closed in order if the answer ends with it.
func (a *answer) finish() {
	if a.unframed == nil {
		return
	}
	// What the server has buffered must be written before.
	if http.NewResponseController(a.writer).Flush() == nil {
		_ = a.unframed.SetLinger(lingerDefault)
	}
}
