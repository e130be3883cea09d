// Package platformapi is a client of the platform's JSON-over-HTTP API: cloud,
// instance list and weight store. docs/design/0101-platform-protocols.md
// lists its calls.
package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"zinniamast"
	"zinniamast/httplimit"
)

const (
	defaultTimeout     = 5 * time.Second
	defaultConnections = 4
	// maxResponseBytes bounds a response body; a list of 6,000 instances takes about
	// 2 MiB.
	maxResponseBytes = 16 << 20
)

// Config holds the addresses and credentials of the platform's API.
type Config struct {
	// CloudURL, ListURL and WeightsURL are the services' base URLs.
	CloudURL   string
	ListURL    string
	WeightsURL string
	// AccessKey and SecretKey are the credentials for HTTP basic authentication.
	AccessKey string
	SecretKey string
	// Timeout bounds one call; zero means five seconds.
	Timeout time.Duration
}

// Client implements zinniamast.Cloud, zinniamast.InstanceList and zinniamast.WeightStore.
type Client struct {
	config Config
	http   *http.Client
	// listBytes is the size of the last instance list as received.
	listBytes atomic.Int64
}

// New returns a client of the platform's API.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	return &Client{
		config: c,
		http: httplimit.NewClient(httplimit.Config{
			Timeout:        c.Timeout,
			MaxBody:        maxResponseBytes,
			MaxConnections: defaultConnections,
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Offers implements zinniamast.Cloud.
func (c *Client) Offers(ctx context.Context) ([]zinniamast.Offer, error) {
	var offers []zinniamast.Offer
	err := c.call(ctx, http.MethodGet, c.config.CloudURL+"/offers", nil, &offers)
	return offers, err
}

// startRequest is the body of a request to start an instance.
type startRequest struct {
	Token string           `json:"token"`
	Offer zinniamast.Offer `json:"offer"`
	Role  string           `json:"role"`
}

// Start implements zinniamast.Cloud.
func (c *Client) Start(ctx context.Context, token string, offer zinniamast.Offer, role string) (zinniamast.Instance, error) {
	body := startRequest{
		Token: token,
		Offer: offer,
		Role:  role,
	}
	var instance zinniamast.Instance
	err := c.call(ctx, http.MethodPost, c.config.CloudURL+"/instances", body, &instance)
	return instance, err
}

// Stop implements zinniamast.Cloud.
func (c *Client) Stop(ctx context.Context, id string) error {
	err := c.call(ctx, http.MethodDelete, c.config.CloudURL+"/instances/"+url.PathEscape(id), nil, nil)
	if errors.Is(err, zinniamast.ErrNotFound) {
		return nil
	}
	return err
}

// Notices implements zinniamast.Cloud.
func (c *Client) Notices(ctx context.Context) ([]zinniamast.Notice, error) {
	var notices []zinniamast.Notice
	err := c.call(ctx, http.MethodGet, c.config.CloudURL+"/notices", nil, &notices)
	return notices, err
}

// List implements zinniamast.InstanceList.
func (c *Client) List(ctx context.Context) ([]zinniamast.Instance, error) {
	var instances []zinniamast.Instance
	counted := &sizedResult{
		result: &instances,
	}
	err := c.call(ctx, http.MethodGet, c.config.ListURL+"/instances", nil, counted)
	if err == nil {
		c.listBytes.Store(counted.bytes)
	}
	return instances, err
}

// ListBytes returns the size of the last instance list as received, which is the
// compressed size if the platform compresses. It determines how often the list can
// be read.
func (c *Client) ListBytes() int64 { return c.listBytes.Load() }

// sizeResponse is the body of a response about the size of a model's weights.
type sizeResponse struct {
	Bytes int64 `json:"bytes"`
}

// Size implements zinniamast.WeightStore.
func (c *Client) Size(ctx context.Context, model string) (int64, error) {
	var size sizeResponse
	err := c.call(ctx, http.MethodGet, c.config.WeightsURL+"/"+url.PathEscape(model), nil, &size)
	return size.Bytes, err
}

// Permit implements zinniamast.WeightStore.
func (c *Client) Permit(ctx context.Context, model string) error {
	return c.call(ctx, http.MethodPost, c.config.WeightsURL+"/"+url.PathEscape(model)+"/permit", nil, nil)
}

// call sends one request and decodes the response into result unless it is nil. It reads the response to
// its end.
func (c *Client) call(ctx context.Context, method, address string, body, result any) error {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return merry.Prepend(err, "platform")
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, content)
	if err != nil {
		return merry.Prepend(err, "platform")
	}
	request.SetBasicAuth(c.config.AccessKey, c.config.SecretKey)
	request.Header.Set("Accept-Encoding", encodingGzip)
	response, err := c.http.Do(request)
	if err != nil {
		return merry.Prepend(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	if err := translate(response.StatusCode); err != nil {
		return merry.Prependf(err, "platform: %s %s", method, request.URL.Path)
	}
	if result == nil {
		_, err := io.Copy(io.Discard, response.Body)
		return merry.Prepend(err, "platform")
	}
	return merry.Prepend(decode(response, result), "platform")
}

// translate returns the root package's error for a status. After any other error the
// outcome of the call is unknown.
func translate(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return zinniamast.ErrNotFound
	case http.StatusTooManyRequests:
		return zinniamast.ErrThrottled
	case http.StatusConflict:
		return zinniamast.ErrRefused
	default:
		return merry.Errorf("status %d", status)
	}
}
