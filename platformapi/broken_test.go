package platformapi_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"zinniamast/platformapi"
	"zinniamast/standin/raw"
)

// Guards against believing a response that has not come whole.
func TestBrokenResponseIsFailure(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	const chunk = head + "Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n"
	for name, play := range map[string]struct {
		response string
		valid    bool
	}{
		"whole": {
			response: chunk + "0\r\n\r\n",
			valid:    true,
		},
		"no last chunk": {
			response: chunk,
		},
		"trailer": {
			response: chunk + "0\r\nX-Bad Name: 1\r\n\r\n",
		},
		"part of a length": {
			response: head + "Content-Length: 3\r\n\r\n[]",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := raw.New(play.response)
			is.NoErr(err)
			defer server.Close()
			client := platformapi.New(platformapi.Config{
				ListURL:    "http://" + server.Address(),
				WeightsURL: "http://" + server.Address(),
			})
			defer client.Close()
			_, err = client.List(t.Context())
			is.Equal(err == nil, play.valid)
			is.Equal(client.Permit(t.Context(), "m") == nil, play.valid)
		})
	}
}

// Guards against believing a list that has more than one value.
func TestListWithTextAfterItIsFailure(t *testing.T) {
	is := is.New(t)
	server, err := raw.New("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n[][]")
	is.NoErr(err)
	defer server.Close()
	client := platformapi.New(platformapi.Config{
		ListURL: "http://" + server.Address(),
	})
	defer client.Close()
	_, err = client.List(t.Context())
	is.True(err != nil)
}

// Guards against believing a compressed list without its checksum, or one whose response has not come whole.
func TestBrokenCompressedListIsFailure(t *testing.T) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write([]byte("[]"))
	_ = writer.Close()
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Encoding: gzip\r\n"
	chunk := func(size int, end string) string {
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", head, size, packed.Bytes()[:size], end)
	}
	for name, play := range map[string]struct {
		response string
		valid    bool
	}{
		"whole": {
			response: chunk(packed.Len(), "0\r\n\r\n"),
			valid:    true,
		},
		"no checksum": {
			response: chunk(packed.Len()-8, "0\r\n\r\n"),
		},
		"no last chunk": {
			response: chunk(packed.Len(), ""),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := raw.New(play.response)
			is.NoErr(err)
			defer server.Close()
			client := platformapi.New(platformapi.Config{
				ListURL: "http://" + server.Address(),
			})
			defer client.Close()
			_, err = client.List(t.Context())
			is.Equal(err == nil, play.valid)
		})
	}
}
