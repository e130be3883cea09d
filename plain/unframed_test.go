package plain_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
)

// Guards against taking an answer with neither a length nor chunks for broken, or one that is reset for whole.
func TestAnswerMayEndWithItsConnection(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		go answerUnframed(listener, isReset)
		client := plain.New(plain.Config{
			Upstream: "u",
			Address:  "http://" + listener.Addr().String(),
		})
		answer, err := client.Call(t.Context(), booking())
		if isReset {
			is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureCutShort)
			continue
		}
		is.NoErr(err)
		is.Equal(string(answer.Body), "{}")
	}
}

// answerUnframed answers the first connection, and resets or closes it.
func answerUnframed(listener net.Listener, isReset bool) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	buffer := make([]byte, 4096)
	c.Read(buffer)
	c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n{}"))
	if tcp, ok := c.(*net.TCPConn); ok && isReset {
		tcp.SetLinger(0)
		time.Sleep(50 * time.Millisecond) // A reset discards what has not been read.
	}
}
