package load

import (
	"context"
	"io"
	"net/http"
	"time"
)

// idleTimeoutTransport cancels a try on which nothing is received within the
// timeout. The connections of a node that is paused, or behind a partition that
// drops packets, stay open: without the timeout its callers would wait until
// their deadline although any other node could continue their request.
type idleTimeoutTransport struct {
	transport http.RoundTripper
	timeout   time.Duration
}

// RoundTrip implements http.RoundTripper.
func (p *idleTimeoutTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(request.Context())
	timer := time.AfterFunc(p.timeout, cancel)
	response, err := p.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Reset(p.timeout)
	response.Body = &idleTimeoutBody{
		ReadCloser: response.Body,
		timer:      timer,
		timeout:    p.timeout,
		cancel:     cancel,
	}
	return response, nil
}

// idleTimeoutBody restarts the timeout after each read.
type idleTimeoutBody struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelFunc
}

// Read implements io.Reader.
func (b *idleTimeoutBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	b.timer.Reset(b.timeout)
	return n, err
}

// Close implements io.Closer.
func (b *idleTimeoutBody) Close() error {
	b.timer.Stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
