package platformapi

import (
	"compress/gzip"
	"io"
	"net/http"

	"zinniamast/httplimit"
)

const encodingGzip = "gzip"

// sizedResult is a result together with the size of its response body as received.
type sizedResult struct {
	result any
	bytes  int64
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	io.Reader
	bytes int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.bytes += int64(n)
	return n, err
}

// decode decodes the body of a response, compressed or not. The transport bounds the
// body as received. The decompressed size is bounded here, since a small
// compressed response could otherwise exhaust this node's memory.
func decode(response *http.Response, result any) error {
	wire := &countingReader{
		Reader: response.Body,
	}
	content := io.Reader(wire)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		unpacked, err := gzip.NewReader(wire)
		if err != nil {
			return err
		}
		content = io.LimitReader(unpacked, maxResponseBytes)
	}
	counted, ok := result.(*sizedResult)
	if ok {
		result = counted.result
	}
	err := httplimit.DecodeJSON(content, result)
	if ok {
		counted.bytes = wire.bytes
	}
	return err
}
