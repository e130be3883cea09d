package replica

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// writeUnframed answers with a stream, or with a whole answer if the behaviour has no events,
// that ends with its connection.
func (r *Replica) writeUnframed(w http.ResponseWriter, request *http.Request, run *Run, b Behaviour) {
	header := w.Header().Clone()
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer connection.Close()
	if tcp, ok := connection.(*net.TCPConn); ok && b.ResetEnd {
		_ = tcp.SetLinger(0)
	}
	status := http.StatusOK
	if b.Status != 0 {
		status = b.Status
	}
	if b.InterimField != "" {
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\n", b.InterimField)
	}
	_, _ = fmt.Fprintf(buffered, "%s %s %s\r\n", cmp.Or(b.RawVersion, "HTTP/1.1"), cmp.Or(b.RawStatus, strconv.Itoa(status)), http.StatusText(status))
	_ = header.Write(buffered)
	if b.RawField != "" {
		_, _ = fmt.Fprintf(buffered, "%s\r\n", b.RawField)
	}
	var body io.Writer = buffered
	if b.TrailerField != "" {
		chunks := httputil.NewChunkedWriter(buffered)
		defer func() {
			_ = chunks.Close()
			_, _ = fmt.Fprintf(buffered, "%s\r\n\r\n", b.TrailerField)
			_ = buffered.Flush()
		}()
		body = chunks
		_, _ = fmt.Fprint(buffered, "Transfer-Encoding: chunked\r\n")
	}
	_, _ = fmt.Fprint(buffered, "Connection: close\r\n\r\n")
	if b.Events == 0 {
		_, _ = fmt.Fprint(body, r.ID+" ran "+run.ID)
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= b.Events; i++ {
		if b.BreakAfter > 0 && i > b.BreakAfter && (after == 0 || !b.BreakNew) {
			_, _ = fmt.Fprintf(body, "id: %d\ndata: half of", i)
			break
		}
		_, _ = fmt.Fprintf(body, "id: %d\ndata: %s\n\n", i, EventData(r.StreamPrefix != "", run.ID, i))
		_ = buffered.Flush()
		time.Sleep(b.Gap)
	}
	err = buffered.Flush()
	for b.Endless && err == nil {
		_, err = fmt.Fprint(body, "more and more ")
	}
	if b.ResetEnd {
		time.Sleep(resetDelay) // A reset discards what has not been read.
	}
}

// resetDelay is the time between the last byte of an answer and its reset.
const resetDelay = 50 * time.Millisecond
