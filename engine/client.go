// Package engine is a client of model engines. It uses the chat-completions
// protocol over HTTP with the extensions that docs/design/0001-engine-protocol.md lists.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast"
	"zinniamast/httplimit"
)

// Errors of this package; they are returned inside *zinniamast.UpstreamError.
var (
	// ErrStatus means that the engine answered with an unexpected status.
	ErrStatus = merry.Sentinel("unexpected status")
	// ErrProtocol means that the engine's answer does not follow the protocol.
	ErrProtocol = merry.Sentinel("answer does not follow the protocol")
	// ErrNoEndMark means that the answer ended before its end mark.
	ErrNoEndMark = merry.Sentinel("answer ended without its end mark")
	// ErrWrongAttempt means that the answer carried the ID of another attempt.
	ErrWrongAttempt = merry.Sentinel("answer of another attempt")
)

const (
	pathGenerate = "/v1/chat/completions"
	// maxControlAnswerBytes limits answers other than streams.
	maxControlAnswerBytes  = 4 << 20
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 90 * time.Second
	maxIdleConnsPerReplica = 256
)

// Config identifies the replica that a client calls.
type Config struct {
	// ID is the upstream's ID; errors carry it.
	ID string
	// Address is the replica's base URL.
	Address string
	// Transport is shared by the clients of one node; with nil the client creates
	// its own.
	Transport *http.Transport
}

// Client calls one replica. It implements zinniamast.Engine.
type Client struct {
	id     string
	base   string
	client *http.Client
}

var _ zinniamast.Engine = (*Client)(nil)

// NewTransport returns a transport that clients can share.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext: httplimit.Recorded((&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext),
		MaxIdleConnsPerHost: maxIdleConnsPerReplica,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: httplimit.MaxHeaderBytes,
	}
}

// New returns a Client.
func New(config Config) *Client {
	transport := config.Transport
	if transport == nil {
		transport = NewTransport()
	}
	return &Client{
		id:   config.ID,
		base: config.Address,
		client: &http.Client{
			Transport: httplimit.NewStrictTransport(transport),
		},
	}
}

// Generate implements zinniamast.Engine.
func (c *Client) Generate(ctx context.Context, call zinniamast.GenerateCall) (zinniamast.Stream, error) {
	answer, err := c.post(ctx, pathGenerate, appendGenerateBody(nil, &call))
	if err != nil {
		return nil, err
	}
	return newStream(c.id, call.Attempt, len(call.Resume), answer.Body), nil
}

// appendGenerateBody appends the JSON body of a generate call.
func appendGenerateBody(b []byte, call *zinniamast.GenerateCall) []byte {
	b = append(b, `{"stream":true,"stream_options":{"include_usage":true},"return_token_ids":true,"model":`...)
	b = appendString(b, call.Model)
	b = append(b, `,"request_id":`...)
	b = appendString(b, call.Attempt)
	b = append(b, `,"priority":`...)
	b = strconv.AppendInt(b, int64(call.Priority), 10)
	if call.MaxTokens > 0 {
		b = append(b, `,"max_tokens":`...)
		b = strconv.AppendInt(b, int64(call.MaxTokens), 10)
	}
	if len(call.Resume) > 0 {
		b = append(b, `,"resume_token_ids":[`...)
		for i, id := range call.Resume {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendInt(b, int64(id), 10)
		}
		b = append(b, ']')
	}
	if call.KV != "" {
		b = append(b, `,"kv_transfer_params":{"id":`...)
		b = appendString(b, call.KV)
		b = append(b, '}')
	}
	if inner := bytes.TrimSuffix(bytes.TrimPrefix(call.Parameters, []byte("{")), []byte("}")); len(inner) > 0 {
		b = append(b, ',')
		b = append(b, inner...)
	}
	b = append(b, `,"messages":`...)
	b = append(b, call.Messages...)
	return append(b, '}')
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(b, `""`...)
	}
	return append(b, quoted...)
}

// Cancel implements zinniamast.Engine.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	return c.postControl(ctx, "/v1/cancel", attemptRequest{
		RequestID: attempt,
	}, nil)
}

// attemptRequest is the body of a request that concerns one attempt.
type attemptRequest struct {
	RequestID string `json:"request_id"`
}

// ExportKV implements zinniamast.Engine.
func (c *Client) ExportKV(ctx context.Context, attempt string) (zinniamast.KVHandle, error) {
	var handle zinniamast.KVHandle
	err := c.postControl(ctx, "/kv/export", attemptRequest{
		RequestID: attempt,
	}, &handle)
	handle.Source = c.base
	return handle, err
}

// ImportKV implements zinniamast.Engine.
func (c *Client) ImportKV(ctx context.Context, handle zinniamast.KVHandle) error {
	return c.postControl(ctx, "/kv/import", handle, nil)
}

// Load implements zinniamast.Engine.
func (c *Client) Load(ctx context.Context) (zinniamast.LoadReport, error) {
	var report zinniamast.LoadReport
	err := c.postControl(ctx, "/load", struct{}{}, &report)
	return report, err
}

// CacheEvents implements zinniamast.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]zinniamast.CacheEvent, error) {
	var events []zinniamast.CacheEvent
	err := c.postControl(ctx, "/cache_events", map[string]uint64{"after": after}, &events)
	return events, err
}

// Order implements zinniamast.Engine.
func (c *Client) Order(ctx context.Context, order zinniamast.Order) error {
	return c.postControl(ctx, "/orders", order, nil)
}

// postControl sends a request other than a generate call and decodes its answer
// into result, unless result is nil.
func (c *Client) postControl(ctx context.Context, path string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return c.upstreamError(zinniamast.FailureInvalid, err)
	}
	answer, err := c.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxControlAnswerBytes))
	if err != nil {
		return c.upstreamError(zinniamast.FailureCutShort, err)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return c.upstreamError(zinniamast.FailureError, merry.Wrap(ErrProtocol, merry.WithCause(err)))
	}
	return nil
}

// post sends a body and returns the answer, or an error if its status is not 200.
func (c *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, c.upstreamError(zinniamast.FailureInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if path == pathGenerate {
		// Compression reduces cache events to a fraction of their size, but it would
		// delay a stream's tokens in the compressor's window.
		request.Header.Set("Accept-Encoding", "identity")
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return nil, c.upstreamError(transportFailure(err), err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer answer.Body.Close()
	return nil, c.statusError(answer)
}

// transportFailure classifies an error of the transport. It distinguishes a
// connection that was never established from one that broke.
func transportFailure(err error) zinniamast.Failure {
	if errors.Is(err, zinniamast.ErrMalformed) {
		return zinniamast.FailureError
	}
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return zinniamast.FailureDial
	}
	if errors.Is(err, context.Canceled) {
		return zinniamast.FailureStopped
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return zinniamast.FailureTimeout
	}
	return zinniamast.FailureReset
}

// codeLeaving is the error code of an engine that is shutting down.
const codeLeaving = "leaving"

// statusError converts an answer with an error status to an error.
func (c *Client) statusError(answer *http.Response) error {
	var content struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	// If the error body is unreadable, the error carries the status alone.
	_ = json.NewDecoder(io.LimitReader(answer.Body, maxControlAnswerBytes)).Decode(&content)
	cause := merry.Wrap(ErrStatus, merry.AppendMessage(fmt.Sprintf("%d %s %s", answer.StatusCode, content.Error.Code, content.Error.Message)))
	return &zinniamast.UpstreamError{
		Failure:  statusFailure(answer.StatusCode),
		Upstream: c.id,
		Leaving:  content.Error.Code == codeLeaving,
		Cause:    cause,
	}
}

// statusFailure returns the failure that an error status stands for. With a 4xx
// the engine rejects the request itself, and so would every other engine:
// a retry would spend the retry budget, and the caller would read "the budget is
// spent" instead of the engine's reason. 404 and 409 depend on what this replica
// has loaded, so they are retried on another one.
func statusFailure(status int) zinniamast.Failure {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusNotFound || status == http.StatusConflict:
		return zinniamast.FailureRefused
	case status/100 == 4:
		return zinniamast.FailureInvalid
	default:
		return zinniamast.FailureError
	}
}

func (c *Client) upstreamError(failure zinniamast.Failure, cause error) error {
	return &zinniamast.UpstreamError{
		Failure:  failure,
		Upstream: c.id,
		Cause:    cause,
	}
}
