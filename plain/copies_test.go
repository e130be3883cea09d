package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/plain"
)

// wireAnswer returns the bytes of an answer that repeats the ID of a request.
func wireAnswer(id, framing, body string) string {
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\n"
	if framing == "chunks" {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// wireServer answers the requests of each connection with the pieces of bytes that answer returns, and
// a pause after each.
type wireServer struct {
	listener net.Listener
	// answer returns the pieces that answer a request. before are the IDs of the earlier requests
	// on its connection.
	answer func(id string, before []string) []string
}

func startWireServer(t *testing.T, answer func(id string, before []string) []string) *wireServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &wireServer{
		listener: listener,
		answer:   answer,
	}
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

func (s *wireServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var before []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		for _, piece := range s.answer(id, before) {
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		before = append(before, id)
	}
}

// client returns a client of the server that matches answers by their IDs.
func (s *wireServer) client() *plain.Client {
	return plain.New(plain.Config{
		Upstream:  "u",
		Address:   "http://" + s.listener.Addr().String(),
		RequestID: func(header http.Header) string { return header.Get("Id") },
	})
}

// get sends a request and returns the ID and the body of its answer, and how many requests its
// connection had carried.
func get(t *testing.T, client *plain.Client, address, id string) (answered, body string, requests int) {
	t.Helper()
	check := is.New(t)
	var connection zinniamast.Connection
	request, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	check.NoErr(err)
	request.Header.Set("Id", id)
	response, err := client.Send(zinniamast.WithConnection(t.Context(), &connection), request)
	check.NoErr(err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	check.NoErr(err)
	return response.Header.Get("Id"), string(content), connection.Requests
}

// Guards against a request that counts as failed because a second copy of an earlier answer comes ahead of its own.
func TestSecondCopiesOfAnswersAreDiscarded(t *testing.T) {
	refused, chunked := wireAnswer("r-1", "length", ""), wireAnswer("r-1", "chunks", strings.Repeat("chunked ", 900))
	own := wireAnswer("r-2", "length", "own")
	cases := map[string][]string{
		"copy apart":              {refused, own},
		"copy and answer at once": {refused + own},
		"two copies":              {refused, refused + own},
		"copy in pieces":          {refused[:10], refused[10:30], refused[30:], own},
		"chunked copy":            {chunked + own},
		"copy with a body":        {wireAnswer("r-1", "length", "first") + own[:5], own[5:]},
		"no copy":                 {own[:20], own[20:]},
	}
	for name, pieces := range cases {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			server := startWireServer(t, func(id string, before []string) []string {
				if id == "r-2" {
					return pieces
				}
				return []string{wireAnswer(id, "length", "other")}
			})
			client := server.client()
			defer client.Close()
			address := server.listener.Addr().String()
			get(t, client, address, "r-1")
			answered, body, requests := get(t, client, address, "r-2")
			check.Equal(answered, "r-2")
			check.Equal(body, "own")
			check.Equal(requests, 1)
			// A connection that has carried a copy may carry more of them, also ahead of the
			// answer to a request without an ID.
			for _, id := range []string{"", "r-3"} {
				_, _, requests = get(t, client, address, id)
				check.Equal(requests < 2, name != "no copy")
			}
		})
	}
}

// Guards against discarding an answer that is no copy: its request was never sent on the connection.
func TestAnswerToARequestNeverSentIsNotDiscarded(t *testing.T) {
	check := is.New(t)
	server := startWireServer(t, func(id string, before []string) []string {
		return []string{wireAnswer("r-0", "length", "") + wireAnswer(id, "length", "own")}
	})
	client := server.client()
	defer client.Close()
	answered, _, _ := get(t, client, server.listener.Addr().String(), "r-1")
	check.Equal(answered, "r-0")
}

// BenchmarkSend sends requests on one connection whose answers are matched by their IDs, or are not.
func BenchmarkSend(b *testing.B) {
	for _, isMatched := range []bool{false, true} {
		b.Run(fmt.Sprint("matched_", isMatched), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				_, _ = io.WriteString(w, "answer")
			}))
			defer server.Close()
			config := plain.Config{
				Upstream: "u",
				Address:  server.URL,
			}
			if isMatched {
				config.RequestID = func(header http.Header) string { return header.Get("Id") }
			}
			client := plain.New(config)
			defer client.Close()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request, err := http.NewRequest(http.MethodGet, server.URL, nil)
				if err != nil {
					b.Fatal(err)
				}
				request.Header.Set("Id", fmt.Sprint("request-", i))
				response, err := client.Send(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
