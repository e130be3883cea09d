package plain_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/plain"
)

// Guards against a second send of a request on the connection of the first one, where a second copy of the first answer passes for its own.
func TestRequestIsNotSentTwiceOnOneConnection(t *testing.T) {
	const others = 600
	check := is.New(t)
	seen, opened := map[string]bool{}, map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		check.NoErr(err)
		check.Equal(string(body), "body")
		sent := r.RemoteAddr + " " + r.Header.Get("Id")
		check.True(!seen[sent])
		seen[sent], opened[r.RemoteAddr] = true, true
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := plain.New(plain.Config{
		Upstream:  "u",
		Address:   server.URL,
		RequestID: func(header http.Header) string { return header.Get("Id") },
	})
	defer client.Close()
	send := func(id string) {
		request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
		check.NoErr(err)
		request.Header.Set("Id", id)
		response, err := client.Send(t.Context(), request)
		check.NoErr(err)
		check.NoErr(response.Body.Close())
	}
	for range 3 {
		send("r-1")
	}
	check.Equal(len(opened), 3)
	for i := range others {
		send(fmt.Sprint("r-other-", i))
	}
	check.True(len(opened) <= 3+others/100) // other requests go on over open connections
}
