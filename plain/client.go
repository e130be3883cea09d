// Package plain sends HTTP requests to one replica of a plain service and
// determines for each failed attempt whether it can have run.
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
	"zinniamast/httplimit"
)

// Defaults for zero fields of a Config, and the limit of idle connections.
const (
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 15 * time.Second
	defaultMaxAnswer   = 8 << 20
	maxIdleConns       = 64
)

// Config holds the address and the limits of a Client.
type Config struct {
	// Upstream is the ID of the replica, for errors.
	Upstream string
	// Address is the base URL, such as http://10.0.0.7:8080.
	Address string
	// DialTimeout bounds the time to connect; zero means 2 s.
	DialTimeout time.Duration
	// Dial opens connections; nil means TCP connections that are reset when they are
	// closed, without keep-alive probes.
	Dial DialFunc
	// DisableReuse closes each connection after one request.
	DisableReuse bool
	// IdleTimeout is how long an idle connection is kept for reuse. It should be
	// shorter than the idle timeout of the service, so that a request is not sent on
	// a connection that the service is closing. Zero means 15 s.
	IdleTimeout time.Duration
	// RequestID returns the ID that answers repeat. A request is not sent twice on one
	// connection then. Nil means that the ID differs from send to send.
	RequestID func(header http.Header) string
	// MaxAnswer is the maximum size of the body of an answer in bytes; zero means
	// 8 MiB.
	MaxAnswer int64
}

// Client sends requests to one replica. It implements zinniamast.Service and
// zinniamast.Replica.
type Client struct {
	config    Config
	transport *http.Transport
}

var (
	_ zinniamast.Service = (*Client)(nil)
	_ zinniamast.Replica = (*Client)(nil)
)

// New returns a client for one replica.
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
	if config.Dial == nil {
		config.Dial = dialer(config.DialTimeout)
	}
	config.Address = strings.TrimSuffix(config.Address, "/")
	return &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         guarded(config.Dial),
			DisableCompression:  true,
			DisableKeepAlives:   config.DisableReuse,
			IdleConnTimeout:     config.IdleTimeout,
			MaxIdleConnsPerHost: maxIdleConns,

			MaxResponseHeaderBytes: httplimit.MaxHeaderBytes,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Call implements zinniamast.Service. It sends the request at most once and does not
// follow redirects. With FailureError it returns the answer of the service together
// with the error.
func (c *Client) Call(ctx context.Context, call zinniamast.ServiceCall) (zinniamast.ServiceAnswer, error) {
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return zinniamast.ServiceAnswer{}, c.upstreamError(zinniamast.FailureInvalid, err)
	}
	response, err := c.Send(ctx, request)
	if err != nil {
		return zinniamast.ServiceAnswer{}, err
	}
	defer response.Body.Close()
	return c.readAnswer(ctx, call, response)
}

// Send implements zinniamast.Replica.
func (c *Client) Send(ctx context.Context, request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	guard := &sendGuard{
		ctx:      ctx,
		deadline: time.Unix(0, math.MaxInt64),
		cancel:   cancel,
	}
	if deadline, ok := ctx.Deadline(); ok {
		guard.deadline = deadline
	}
	if c.config.RequestID != nil {
		guard.request, guard.requestID = c.config.RequestID(request.Header), c.config.RequestID
	}
	trace := &httptrace.ClientTrace{
		GotConn:        guard.gotConn,
		WroteRequest:   guard.wroteRequest,
		Got1xxResponse: guard.interim.Check,
	}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		failure := c.classifyUnanswered(ctx, guard, err)
		cancel()
		return nil, failure
	}
	response.Body = &answerBody{
		ReadCloser: response.Body,
		response:   response,
		cancel:     cancel,
	}
	err = checkHead(response)
	if err == nil {
		err = guard.checkFraming(response)
	}
	if err != nil {
		guard.spoil()
		cancel() // ends the connection if the answer has a body
		_ = response.Body.Close()
		return nil, c.upstreamError(zinniamast.FailureError, err)
	}
	return response, nil
}

// checkHead returns the error of an answer whose head net/http accepts although it is invalid.
func checkHead(response *http.Response) error {
	if !isFinalStatus(response.StatusCode) {
		return fmt.Errorf("plain: answer with the invalid status %q", response.Status)
	}
	return httplimit.CheckNames(response.Header)
}

// isFinalStatus reports whether a status may end a request (RFC 9110, section 15). net/http also
// returns other three-digit ones, and 101, which no request here asks for.
func isFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// EndsWithConnection reports whether only the end of its connection marks the end of an answer's
// body. It may then be incomplete, as the kernel closes the connections of a killed process in order.
func EndsWithConnection(response *http.Response) bool {
	isHead := response.Request != nil && response.Request.Method == http.MethodHead
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !isHead
}

// answerBody is the body of an answer. It cancels the context of the attempt when it is closed.
type answerBody struct {
	io.ReadCloser
	response *http.Response
	cancel   context.CancelFunc
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, httplimit.CheckEnd(b.response, err)
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// newRequest returns the HTTP request of one attempt.
func (c *Client) newRequest(ctx context.Context, call zinniamast.ServiceCall) (*http.Request, error) {
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

// classifyUnanswered returns the error of an attempt that ended before the headers of
// an answer arrived.
func (c *Client) classifyUnanswered(ctx context.Context, guard *sendGuard, err error) error {
	err = guard.describe(err)
	if errors.Is(err, zinniamast.ErrMalformed) {
		return c.upstreamError(zinniamast.FailureError, err)
	}
	canceled := errors.Is(ctx.Err(), context.Canceled) && !guard.replayed
	if guard.nothingSent() && !canceled {
		return c.upstreamError(zinniamast.FailureDial, err)
	}
	if canceled {
		return c.upstreamError(zinniamast.FailureStopped, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.upstreamError(zinniamast.FailureTimeout, err)
	}
	return c.upstreamError(zinniamast.FailureReset, err)
}

// readAnswer reads and checks an answer whose headers have arrived.
func (c *Client) readAnswer(ctx context.Context, call zinniamast.ServiceCall, response *http.Response) (zinniamast.ServiceAnswer, error) {
	none := zinniamast.ServiceAnswer{}
	echo := response.Header.Get(HeaderAttempt)
	if echo != "" && echo != call.Attempt {
		return none, c.upstreamError(zinniamast.FailureWrongAttempt, fmt.Errorf("plain: answer to attempt %q", echo))
	}
	// The not-taken header counts only if the answer repeats the ID of this attempt.
	// Otherwise it could belong to another attempt, and "not run" would be wrong.
	notTaken := response.Header.Get(HeaderNotTaken)
	if response.StatusCode == http.StatusServiceUnavailable && notTaken != "" && echo != "" {
		refused := c.upstreamError(zinniamast.FailureRefused, fmt.Errorf("plain: not taken: %s", notTaken))
		refused.Leaving = notTaken == NotTakenLeaving
		return none, refused
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxAnswer+1))
	if err != nil {
		return none, c.classifyUnfinished(ctx, err)
	}
	if int64(len(body)) > c.config.MaxAnswer {
		return none, c.upstreamError(zinniamast.FailureCutShort, fmt.Errorf("plain: answer above %d bytes", c.config.MaxAnswer))
	}
	whole := zinniamast.ServiceAnswer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,

		EndsWithConnection: EndsWithConnection(response),
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return whole, c.upstreamError(zinniamast.FailureError, fmt.Errorf("plain: status %d", response.StatusCode))
	}
	return whole, nil
}

// classifyUnfinished returns the error of an attempt whose answer began but did not
// arrive completely.
func (c *Client) classifyUnfinished(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, zinniamast.ErrMalformed):
		return c.upstreamError(zinniamast.FailureError, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return c.upstreamError(zinniamast.FailureTimeout, err)
	case errors.Is(ctx.Err(), context.Canceled):
		return c.upstreamError(zinniamast.FailureStopped, err)
	default:
		return c.upstreamError(zinniamast.FailureCutShort, err)
	}
}

func (c *Client) upstreamError(failure zinniamast.Failure, cause error) *zinniamast.UpstreamError {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: c.config.Upstream,
		Cause:    cause,
	}
}
