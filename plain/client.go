// Package plain speaks HTTP to one replica of a plain service and says for
// each failed attempt whether it can have run.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"zinniamast"
)

// Defaults for fields that a Config leaves zero.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 15 * time.Second
	defaultMaxAnswer   = 8 << 20
	maxIdleConns       = 64
)

// Config says which replica a client speaks to.
type Config struct {
	// Upstream is the replica's ID, for errors.
	Upstream string
	// Address is the base URL, such as http://10.0.0.7:8080.
	Address string
	// DialTimeout bounds the connecting; zero means 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept for reuse; it should be
	// shorter than the service's own, so that a booking does not meet a
	// connection that the service is closing. Zero means 15 s.
	IdleTimeout time.Duration
	// MaxAnswer bounds an answer's body in bytes; zero means 8 MiB.
	MaxAnswer int64
}

// Client implements zinniamast.Service.
type Client struct {
	config    Config
	transport *http.Transport
}

var (
	_ zinniamast.Service = (*Client)(nil)
	_ zinniamast.Replica = (*Client)(nil)
)

// New returns a client of one replica.
func New(config Config) *Client {
	if config.DialTimeout == 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.MaxAnswer == 0 {
		config.MaxAnswer = defaultMaxAnswer
	}
	config.Address = strings.TrimSuffix(config.Address, "/")
	return &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         dialer(config.DialTimeout),
			DisableCompression:  true,
			IdleConnTimeout:     config.IdleTimeout,
			MaxIdleConnsPerHost: maxIdleConns,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call implements zinniamast.Service. It sends the request at most once and
// follows no redirect. With FailureError the service's own answer is returned
// beside the error.
func (c *Client) Call(ctx context.Context, call zinniamast.ServiceCall) (zinniamast.ServiceAnswer, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return zinniamast.ServiceAnswer{}, c.failed(zinniamast.FailureInvalid, err)
	}
	response, err := c.Send(ctx, request)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	defer response.Body.Close()
	return c.answer(ctx, call, response)
}

// Send implements zinniamast.Replica.
func (c *Client) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	sending := &once{
		deadline: time.Unix(0, math.MaxInt64),
		cancel:   cancel,
	}
	if deadline, ok := ctx.Deadline(); ok {
		sending.deadline = deadline
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { sending.gotConn(info.Conn) },
	}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		failure := c.unanswered(ctx, sending, err)
		cancel()
		return nil, failure
	}
	response.Body = &cancelBody{
		ReadCloser: response.Body,
		cancel:     cancel,
	}
	return response, nil
}

// cancelBody ends the attempt's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// request builds the HTTP request of one attempt.
func (c *Client) request(ctx context.Context, call zinniamast.ServiceCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.config.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set(HeaderAttempt, call.Attempt)
	if call.Key != "" {
		request.Header.Set(HeaderKey, call.Key)
	}
	if call.Fence != 0 {
		request.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	}
	return request, nil
}

// unanswered classifies an attempt that ended before an answer began.
func (c *Client) unanswered(ctx context.Context, sending *once, err error) error {
	canceled := errors.Is(ctx.Err(), context.Canceled) && !sending.replayed
	if sending.nothingSent() && !canceled {
		return c.failed(zinniamast.FailureDial, err)
	}
	if canceled {
		return c.failed(zinniamast.FailureStopped, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.failed(zinniamast.FailureTimeout, err)
	}
	return c.failed(zinniamast.FailureReset, err)
}

// answer reads and judges an answer whose headers have come.
func (c *Client) answer(ctx context.Context, call zinniamast.ServiceCall, response *http.Response) (zinniamast.ServiceAnswer, error) {
	none := zinniamast.ServiceAnswer{}
	echo := response.Header.Get(HeaderAttempt)
	if echo != "" && echo != call.Attempt {
		return none, c.failed(zinniamast.FailureWrongAttempt, fmt.Errorf("plain: answer to attempt %q", echo))
	}
	// A promise that was made about another attempt would turn into a false
	// "not run"; one without an identity could be such a promise.
	notTaken := response.Header.Get(HeaderNotTaken)
	if response.StatusCode == http.StatusServiceUnavailable && notTaken != "" && echo != "" {
		refused := c.failed(zinniamast.FailureRefused, fmt.Errorf("plain: not taken: %s", notTaken))
		refused.Leaving = notTaken == NotTakenLeaving
		return none, refused
	}
	if endless(call.Method, response) {
		return none, c.failed(zinniamast.FailureCutShort, errors.New("plain: answer has no end mark"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxAnswer+1))
	if err != nil {
		return none, c.unfinished(ctx, err)
	}
	if int64(len(body)) > c.config.MaxAnswer {
		return none, c.failed(zinniamast.FailureCutShort, fmt.Errorf("plain: answer above %d bytes", c.config.MaxAnswer))
	}
	whole := zinniamast.ServiceAnswer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return whole, c.failed(zinniamast.FailureError, fmt.Errorf("plain: status %d", response.StatusCode))
	}
	return whole, nil
}

// unfinished classifies an answer that began and did not end.
func (c *Client) unfinished(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return c.failed(zinniamast.FailureTimeout, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return c.failed(zinniamast.FailureStopped, err)
	default:
		return c.failed(zinniamast.FailureCutShort, err)
	}
}

// endless says whether only the connection's end would end the body, so that
// a whole answer and one cut short look the same.
func endless(method string, response *http.Response) bool {
	bodiless := method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent ||
		response.StatusCode == http.StatusNotModified
	return !bodiless && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func (c *Client) failed(failure zinniamast.Failure, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: c.config.Upstream,
		Cause:    cause,
	}
}
