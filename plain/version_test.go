package plain_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast"
)

// Guards against an HTTP/1.0 answer whose chunks are passed on as its body.
func TestOldAnswerWithTransferEncodingIsFailure(t *testing.T) {
	const chunks = "f\r\nfifteen bytes..\r\n0\r\n\r\n"
	for name, head := range map[string]string{
		"no length":      "HTTP/1.0 200 OK\r\n",
		"length":         "HTTP/1.0 200 OK\r\nContent-Length: 25\r\n",
		"other case":     "HTTP/1.0 200 OK\r\nX: 1\r\ntransfer-encoding: chunked\r\n",
		"older version":  "HTTP/0.9 200 OK\r\n",
		"after a 103":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.0 200 OK\r\n",
		"after two 1xx":  "HTTP/1.0 100 Continue\r\n\r\nHTTP/1.0 102 Processing\r\n\r\nHTTP/1.0 200 OK\r\n",
		"bare line feed": "HTTP/1.0 200 OK\nContent-Length: 25\n",
		"large head":     "HTTP/1.0 200 OK\r\nX-Large: " + strings.Repeat("x", 50<<10) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := earlyServer{
				answer: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
				end:    endInOrder,
			}.start(t)
			for range 2 {
				_, err := upload(t, address, 10)
				is.True(errors.Is(err, zinniamast.ErrMalformed))
				is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureError)
			}
		})
	}
}

// Guards against missing the field if the head arrives in parts.
func TestOldAnswerInPartsWithTransferEncodingIsFailure(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for size := range len(head) {
		is := is.New(t)
		server := startWireServer(t, func(id string, before []string) []string {
			return []string{head[:size], head[size:] + "2\r\n{}\r\n0\r\n\r\n"}
		})
		client := server.client()
		_, err := sendWithID(t, client, server.listener.Addr().String(), "r-1")
		client.Close()
		is.True(errors.Is(err, zinniamast.ErrMalformed))
	}
}

// Guards against rejecting HTTP/1.0 answers without a transfer coding.
func TestOldAnswerIsReturned(t *testing.T) {
	for name, answer := range map[string]string{
		"no length":     "HTTP/1.0 200 OK\r\n\r\n{}",
		"length":        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"after a 103":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"in the value":  "HTTP/1.0 200 OK\r\nX-Note: Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}",
		"in a fold":     "HTTP/1.0 200 OK\r\nX-Note: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n{}",
		"bare line end": "HTTP/1.0 200 OK\nContent-Length: 2\n\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := earlyServer{
				answer: answer,
				end:    endInOrder,
			}.start(t)
			body, err := upload(t, address, 10)
			is.NoErr(err)
			is.Equal(body, "{}")
		})
	}
}

// Guards against taking the field from an earlier answer on the connection, and using that of a rejected one again.
func TestAnswersOnOneConnectionAreCheckedOnTheirOwn(t *testing.T) {
	is := is.New(t)
	old := func(id, fields string) string {
		return "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nId: " + id + "\r\n" + fields + "Content-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	server := startWireServer(t, func(id string, before []string) []string {
		if id == "r-4" {
			return []string{old(id, "Transfer-Encoding: chunked\r\n")}
		}
		return []string{old(id, "")}
	})
	client := server.client()
	defer client.Close()
	address := server.listener.Addr().String()
	for i, id := range []string{"r-1", "r-2", "r-3"} {
		answered, _, requests := get(t, client, address, id)
		is.Equal(answered, id)
		is.Equal(requests, i)
	}
	_, err := sendWithID(t, client, address, "r-4")
	is.True(errors.Is(err, zinniamast.ErrMalformed))
	_, _, requests := get(t, client, address, "r-5")
	is.Equal(requests, 0)
}

// Guards against a second copy with faulty framing, whose length decides where the own answer begins.
func TestOldCopyWithTransferEncodingIsNotDiscarded(t *testing.T) {
	is := is.New(t)
	const copied = "HTTP/1.0 200 OK\r\nId: r-1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\nfirst"
	server := startWireServer(t, func(id string, before []string) []string {
		if id == "r-2" {
			return []string{copied + wireAnswer("r-2", "length", "own")}
		}
		return []string{wireAnswer(id, "length", "other")}
	})
	client := server.client()
	defer client.Close()
	address := server.listener.Addr().String()
	get(t, client, address, "r-1")
	_, err := sendWithID(t, client, address, "r-2")
	is.True(errors.Is(err, zinniamast.ErrMalformed))
}
