package plain_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
)

// endlessServer answers each request with a start and then with bytes without end.
type endlessServer struct {
	listener net.Listener
	start    string
	piece    string
	// read counts the bytes that the client has read.
	read atomic.Int64
}

func newEndlessServer(t *testing.T, start, piece string) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{
		listener: listener,
		start:    start,
		piece:    strings.Repeat(piece, 50),
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := conn.Write([]byte(s.start))
	for err == nil {
		_, err = conn.Write([]byte(s.piece))
	}
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// client returns a client of the server that counts what it reads.
func (s *endlessServer) client() *plain.Client {
	return plain.New(plain.Config{
		Upstream:  "u",
		Address:   "http://" + s.listener.Addr().String(),
		MaxAnswer: 1 << 20,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countedConn{
				Conn: conn,
				read: &s.read,
			}, err
		},
	})
}

// Guards against heads and bodies without end that fill the memory of the node.
func TestAnswerWithoutEndIsCut(t *testing.T) {
	const wholeHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	answers := map[string][2]string{
		"header lines":      {wholeHead, "X-More: of the same\r\n"},
		"one header line":   {wholeHead + "X-More: ", "more"},
		"status line":       {"HTTP/1.1 200 ", "more"},
		"informational":     {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"no HTTP":           {"", "more"},
		"body of no length": {wholeHead + "\r\n", "more"},
		"chunks":            {wholeHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("more", 256) + "\r\n"},
		"trailer":           {wholeHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n", "X-More: of the same\r\n"},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessServer(t, answer[0], answer[1])
			began := time.Now()
			_, err := s.client().Call(t.Context(), booking())
			t.Logf("%d bytes read: %v", s.read.Load(), err)
			is.True(err != nil)
			is.True(zinniamast.AsUpstreamError(err).Outcome().Ran != zinniamast.NotRun)
			is.True(s.read.Load() < 2<<20)
			is.True(time.Since(began) < 5*time.Second)
		})
	}
}

// Guards against bytes after a whole answer that are read without end, or taken for the next answer.
func TestBytesAfterWholeAnswerAreNotRead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, piece := range map[string]string{"no HTTP": "more", "answers": whole} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessServer(t, whole, piece)
			client := s.client()
			for range 3 {
				answer, err := client.Call(t.Context(), booking())
				is.NoErr(err)
				is.Equal(string(answer.Body), "{}")
				time.Sleep(50 * time.Millisecond)
			}
			is.True(s.read.Load() < 1<<20)
		})
	}
}
