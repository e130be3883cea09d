package plain_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
)

// The places of a field in an answer.
const (
	inHead    = "head"
	inInterim = "interim head"
	inTrailer = "trailer"
)

// answerWith returns an answer with a field line in one place.
func answerWith(place, line string) string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	line += "\r\n"
	switch place {
	case inInterim:
		return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + head + "Content-Length: 2\r\n\r\n{}"
	case inTrailer:
		return head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n" + line + "\r\n"
	}
	return head + line + "Content-Length: 2\r\n\r\n{}"
}

// Guards against answers whose field names hold blanks and that are passed on without these fields.
func TestAnswerWithBlankInFieldNameIsFailure(t *testing.T) {
	for _, place := range []string{inHead, inInterim, inTrailer} {
		for _, line := range []string{"X-Bad Name: 1", "X-Bad : 1", "Id : r-1", "Content-Type : text/html", "Transfer-Encoding : identity", "X  : "} {
			t.Run(place+" "+line, func(t *testing.T) {
				is := is.New(t)
				address := earlyServer{
					answer: answerWith(place, line),
					end:    endInOrder,
				}.start(t)
				_, err := upload(t, address, 10)
				is.True(err != nil)
				is.True(errors.Is(err, zinniamast.ErrMalformed))
			})
		}
	}
}

// Guards against bodies that are read without the framing that the replica meant, as its field name holds a blank.
func TestAnswerWithBlankInFramingFieldIsFailure(t *testing.T) {
	const chunks = "f\r\nfifteen bytes..\r\n0\r\n\r\n"
	for framing, body := range map[string]string{
		"Transfer-Encoding : chunked": chunks,
		"Transfer Encoding: chunked":  chunks,
		"Content-Length : 45":         strings.Repeat("11 bytes.. ", 5),
		"Content Length: 45":          strings.Repeat("11 bytes.. ", 5),
		"Content-Length : 0":          "",
	} {
		t.Run(framing, func(t *testing.T) {
			is := is.New(t)
			address := earlyServer{
				answer: earlyHead + framing + "\r\n\r\n" + body,
				end:    endInOrder,
			}.start(t)
			read, err := upload(t, address, 10)
			is.Equal(read, "")
			is.True(err != nil)
			is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureError)
		})
	}
}

// Guards against accepting the other invalid field lines.
func TestAnswerWithInvalidFieldLineIsFailure(t *testing.T) {
	for _, place := range []string{inHead, inInterim, inTrailer} {
		for _, line := range []string{"X-\x01Bad: 1", "X-Bad\t: 1", "X\tBad: 1", "X-Bad\x7f: 1", "X-Bad\x00: 1", "X-B\xe4d: 1", "X(Bad): 1", ": 1", "X-Bad", "X-Bad: \x01", "X-Bad: a\rb"} {
			t.Run(place+" "+line, func(t *testing.T) {
				is := is.New(t)
				address := earlyServer{
					answer: answerWith(place, line),
					end:    endInOrder,
				}.start(t)
				_, err := upload(t, address, 10)
				is.True(err != nil)
				is.True(zinniamast.AsUpstreamError(err) == nil || zinniamast.AsUpstreamError(err).Outcome().Ran != zinniamast.NotRun)
			})
		}
	}
}

// Guards against rejecting field lines that RFC 9112 allows.
func TestAnswerWithUnusualFieldLineIsReturned(t *testing.T) {
	for _, place := range []string{inHead, inInterim, inTrailer} {
		for _, line := range []string{"x!#$%&'*+-.^_`|~9: 1", "X-Empty:", "X-Blanks:  a  b  ", "X-Folded: a\r\n  b : c", "X-Bytes: \xe4", "Trailer: X Y"} {
			if place == inTrailer && strings.HasPrefix(line, "Trailer") {
				continue
			}
			t.Run(place+" "+line, func(t *testing.T) {
				is := is.New(t)
				address := earlyServer{
					answer: answerWith(place, line),
					end:    endInOrder,
				}.start(t)
				body, err := upload(t, address, 10)
				is.NoErr(err)
				is.Equal(body, "{}")
			})
		}
	}
}

// sendWithID sends a request with an ID to a wireServer.
func sendWithID(t *testing.T, client *plain.Client, address, id string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", id)
	return client.Send(t.Context(), request)
}

// Guards against using a connection again whose last answer may have had another length than the one that was read.
func TestConnectionOfMalformedAnswerIsNotUsedAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"head without a body": "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length : 4\r\nContent-Length: 0\r\n\r\n",
		"head with a body":    "HTTP/1.1 200 OK\r\nId: r-1\r\nX-Bad Name: 1\r\nContent-Length: 5\r\n\r\nfirst",
		"interim head":        "HTTP/1.1 103 Early Hints\r\nX-Bad Name: 1\r\n\r\n" + wireAnswer("r-1", "length", "first"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startWireServer(t, func(id string, before []string) []string {
				if id == "r-1" {
					return []string{answer}
				}
				return []string{wireAnswer(id, "length", "own")}
			})
			client := server.client()
			defer client.Close()
			address := server.listener.Addr().String()
			get(t, client, address, "r-0")
			_, err := sendWithID(t, client, address, "r-1")
			is.True(err != nil)
			answered, body, requests := get(t, client, address, "r-2")
			is.Equal(answered, "r-2")
			is.Equal(body, "own")
			is.Equal(requests, 0)
		})
	}
}

// Guards against a second copy with a malformed head or trailer, whose framing decides where the own answer begins.
func TestMalformedCopyIsNotDiscarded(t *testing.T) {
	own := wireAnswer("r-2", "length", "own")
	for name, copied := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\nId: r-1\r\nX-Bad Name: 1\r\nContent-Length: 5\r\n\r\nfirst",
		"framing": "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length : 4\r\nContent-Length: 5\r\n\r\nfirst",
		"trailer": "HTTP/1.1 200 OK\r\nId: r-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nX-Bad Name: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startWireServer(t, func(id string, before []string) []string {
				if id == "r-2" {
					return []string{copied + own}
				}
				return []string{wireAnswer(id, "length", "other")}
			})
			client := server.client()
			defer client.Close()
			address := server.listener.Addr().String()
			get(t, client, address, "r-1")
			response, err := sendWithID(t, client, address, "r-2")
			if err == nil {
				defer response.Body.Close()
				is.Equal(response.Header.Get("Id"), "r-1") // The caller of Send rejects it by its ID.
			}
		})
	}
}
