package httplimit_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/httplimit"
	"zinniamast/standin/raw"
)

// get sends a request to a server that answers with the given bytes.
func get(t *testing.T, client *http.Client, server *raw.Server) (body string, err error) {
	t.Helper()
	response, err := client.Get("http://" + server.Address())
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return string(read), err
}

// newServer starts a server that answers with the given bytes, and a client.
func newServer(t *testing.T, answer string) (*raw.Server, *http.Client) {
	t.Helper()
	server, err := raw.New(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client := httplimit.NewClient(httplimit.Config{
		Timeout:        2 * time.Second,
		MaxBody:        1 << 10,
		MaxConnections: 1,
	})
	t.Cleanup(client.CloseIdleConnections)
	return server, client
}

// Guards against answers that are believed although the name of a field holds a blank.
func TestAnswerWithBlankInFieldNameIsRejected(t *testing.T) {
	for name, answer := range map[string]string{
		"head":                "HTTP/1.1 200 OK\r\nX-Bad Name: 1\r\nContent-Length: 2\r\n\r\n{}",
		"blank before colon":  "HTTP/1.1 200 OK\r\nX-Bad : 1\r\nContent-Length: 2\r\n\r\n{}",
		"length":              "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nContent-Length: 2\r\n\r\n{}",
		"head without a body": "HTTP/1.1 204 No Content\r\nX-Bad Name: 1\r\n\r\n",
		"interim head":        "HTTP/1.1 103 Early Hints\r\nX-Bad Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Bad Name: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newServer(t, answer)
			for i := range 3 {
				_, err := get(t, client, server)
				is.True(errors.Is(err, zinniamast.ErrMalformed))
				is.Equal(server.Requests(), i+1)
				if name != "trailer" { // Its end is known.
					is.Equal(server.Connections(), i+1)
				}
			}
		})
	}
}

// Guards against closing the connections to other servers that use the same transport.
func TestMalformedAnswerClosesItsConnectionOnly(t *testing.T) {
	for name, answer := range map[string]string{
		"head":                "HTTP/1.1 200 OK\r\nX-Bad Name: 1\r\nContent-Length: 2\r\n\r\n{}",
		"head without a body": "HTTP/1.1 204 No Content\r\nX-Bad Name: 1\r\n\r\n",
		"interim head":        "HTTP/1.1 103 Early Hints\r\nX-Bad Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"framing":             "HTTP/1.0 204 No Content\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other, client := newServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			server, _ := newServer(t, answer)
			for i := range 3 {
				_, err := get(t, client, other)
				is.NoErr(err)
				_, err = get(t, client, server)
				is.True(errors.Is(err, zinniamast.ErrMalformed))
				is.Equal(server.Connections(), i+1)
			}
			is.Equal(other.Connections(), 1)
		})
	}
}

// Guards against answers that are believed although their version has no transfer codings.
func TestAnswerWithFaultyFramingIsRejected(t *testing.T) {
	for name, head := range map[string]string{
		"closed":   "HTTP/1.0 200 OK\r\n",
		"kept":     "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 12\r\n",
		"not 1.1":  "HTTP/0.9 200 OK\r\nContent-Length: 12\r\n",
		"no body":  "HTTP/1.0 204 No Content\r\nConnection: keep-alive\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 12\r\n",
		"identity": "HTTP/1.0 200 OK\r\nContent-Length: 12\r\ntransfer-encoding: identity\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := "2\r\n{}\r\n0\r\n\r\n"
			if name == "no body" {
				body = ""
			}
			server, client := newServer(t, head+"Transfer-Encoding: chunked\r\n\r\n"+body)
			for i := range 3 {
				_, err := get(t, client, server)
				is.True(errors.Is(err, zinniamast.ErrMalformed))
				is.Equal(server.Requests(), i+1)
				is.Equal(server.Connections(), i+1)
			}
		})
	}
}

// Guards against rejecting valid answers and opening a connection for each.
func TestValidAnswerIsReturned(t *testing.T) {
	for name, answer := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"interim":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"trailer":  "HTTP/1.1 200 OK\r\nTrailer: X-Sum, X Y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.0": "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\n{}",
		"folded":   "HTTP/1.1 200 OK\r\nX-Folded: a\r\n  b : c\r\nContent-Length: 2\r\n\r\n{}",
		"no fault": "HTTP/1.1 200 OK\r\nX-Blanks:  a  b \r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newServer(t, answer)
			for range 3 {
				body, err := get(t, client, server)
				is.NoErr(err)
				is.Equal(body, "{}")
			}
			is.Equal(server.Connections(), 1)
		})
	}
}

// Guards against interim answers without end, which net/http does not bound for a client that looks at them.
func TestInterimAnswersAreBounded(t *testing.T) {
	for name, interim := range map[string]string{
		"with a field":   "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
		"without fields": "HTTP/1.1 102 Processing\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newServer(t, strings.Repeat(interim, 2*httplimit.MaxHeaderBytes/len(interim)))
			_, err := get(t, client, server)
			is.True(errors.Is(err, httplimit.ErrTooLarge))
		})
	}
}
