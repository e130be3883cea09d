// Package s3 implements zinniamast.ObjectStore over the S3 protocol.
package s3

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	sdk "github.com/aws/aws-sdk-go-v2/service/s3"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"zinniamast"
	"zinniamast/httplimit"
)

// Defaults for zero values in Config, and the bound of connections.
const (
	defaultTimeout        = 20 * time.Second
	defaultMaxObjectBytes = 32 << 20
	defaultConnections    = 4
)

// Config holds the object store's address and credentials, and the bounds of the
// client.
type Config struct {
	// URL is the service's base URL; the bucket is appended to its path.
	URL string
	// Bucket holds the objects.
	Bucket string
	// Region, AccessKey and SecretKey are used to sign calls.
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds one call; zero means twenty seconds.
	Timeout time.Duration
	// MaxObject bounds an object in bytes; zero means 32 MiB.
	MaxObject int64
}

// Store implements zinniamast.ObjectStore.
type Store struct {
	client    *sdk.Client
	http      *http.Client
	bucket    string
	maxObject int64
}

// New returns a client of the object store. The SDK's retries are disabled.
func New(c Config) *Store {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.MaxObject == 0 {
		c.MaxObject = defaultMaxObjectBytes
	}
	client := httplimit.NewClient(httplimit.Config{
		Timeout:        c.Timeout,
		MaxBody:        c.MaxObject,
		MaxConnections: defaultConnections,
	})
	return &Store{
		client: sdk.New(sdk.Options{
			BaseEndpoint:               aws.String(c.URL),
			Region:                     c.Region,
			Credentials:                credentials.NewStaticCredentialsProvider(c.AccessKey, c.SecretKey, ""),
			Retryer:                    aws.NopRetryer{},
			UsePathStyle:               true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
			HTTPClient:                 client,
		}),
		http:      client,
		bucket:    c.Bucket,
		maxObject: c.MaxObject,
	}
}

// Close closes idle connections.
func (s *Store) Close() { s.http.CloseIdleConnections() }

// Put implements zinniamast.ObjectStore.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	if int64(len(content)) > s.maxObject {
		return merry.Prependf(zinniamast.ErrOversized, "%d bytes", len(content))
	}
	_, err := s.client.PutObject(ctx, &sdk.PutObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
		Body:   bytes.NewReader(content),
	})
	return translate(err)
}

// Get implements zinniamast.ObjectStore.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	out, err := s.client.GetObject(ctx, &sdk.GetObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
	})
	if err != nil {
		return nil, translate(err)
	}
	content, err := io.ReadAll(out.Body)
	if closed := out.Body.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return nil, merry.Prependf(err, "object %s", name)
	}
	return content, nil
}

// Delete implements zinniamast.ObjectStore.
func (s *Store) Delete(ctx context.Context, name string) error {
	_, err := s.client.DeleteObject(ctx, &sdk.DeleteObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(name),
	})
	if err = translate(err); errors.Is(err, zinniamast.ErrNotFound) {
		return nil
	}
	return err
}

// translate converts errors of the SDK to those of the root package.
func translate(err error) error {
	if err == nil {
		return nil
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) {
		switch response.HTTPStatusCode() {
		case http.StatusNotFound:
			return merry.Prepend(zinniamast.ErrNotFound, "object")
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			return merry.Prepend(zinniamast.ErrThrottled, "object")
		}
	}
	return merry.Prepend(err, "object")
}
