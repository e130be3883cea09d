package engine_test

import (
	"testing"

	"github.com/matryer/is"

	"zinniamast"
	"zinniamast/engine"
	"zinniamast/standin/raw"
)

// Guards against a malformed answer of an engine that is taken for a stream, or for a refusal that may be retried.
func TestMalformedAnswerIsEnginesFailure(t *testing.T) {
	for name, answer := range map[string]string{
		"stream":       "HTTP/1.1 200 OK\r\nContent-Length : 45\r\nContent-Length: 0\r\n\r\n",
		"refusal":      "HTTP/1.1 503 Service Unavailable\r\nX-Bad Name: 1\r\nContent-Length: 0\r\n\r\n",
		"interim head": "HTTP/1.1 103 Early Hints\r\nX-Bad Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"framing":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n",
		"status":       "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, err := raw.New(answer)
			is.NoErr(err)
			defer server.Close()
			client := engine.New(engine.Config{
				ID:      "e-1",
				Address: "http://" + server.Address(),
			})
			_, err = client.Generate(t.Context(), zinniamast.GenerateCall{
				Attempt: "a",
				Model:   "m",
			})
			is.True(err != nil)
			is.Equal(zinniamast.AsUpstreamError(err).Failure, zinniamast.FailureError)
			is.True(client.Cancel(t.Context(), "a") != nil)
		})
	}
}
