package platformapi

import (
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
)

const encodingGzip = "gzip"

// answer is a result whose size on the wire is wanted too.
type answer struct {
	result any
	bytes  int64
}

// counter counts what is read through it.
type counter struct {
	io.Reader
	bytes int64
}

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes += int64(n)
	return n, err
}

// decode reads an answer, compressed or not. The transport bounds what comes
// over the wire; what that unpacks to is bounded here, or a short answer
// could fill this node's memory.
func decode(response *http.Response, result any) error {
	wire := &counter{
		Reader: response.Body,
	}
	content := io.Reader(wire)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		unpacked, err := gzip.NewReader(wire)
		if err != nil {
			return err
		}
		content = io.LimitReader(unpacked, maxAnswer)
	}
	counted, ok := result.(*answer)
	if ok {
		result = counted.result
	}
	err := json.NewDecoder(content).Decode(result)
	if ok {
		counted.bytes = wire.bytes
	}
	return err
}
