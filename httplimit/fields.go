package httplimit

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"zinniamast"
)

// CheckNames returns zinniamast.ErrMalformed if the name of a field holds a blank. net/http takes such a
// field for one that it does not know, while its sender may have meant one that frames the body (RFC
// 9112, section 5.1). net/http rejects all other invalid names.
func CheckNames(fields map[string][]string) error {
	for name, values := range fields {
		// Those without values are announced by the field Trailer.
		if len(values) > 0 && strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", zinniamast.ErrMalformed, name)
		}
	}
	return nil
}

// Interim checks the interim answers to one request.
type Interim struct {
	size int
}

// Check is for the field Got1xxResponse of an httptrace.ClientTrace, which has to bound the interim
// answers: net/http only bounds those that it does not report.
func (i *Interim) Check(_ int, fields textproto.MIMEHeader) error {
	i.size += len("HTTP/1.1 103\r\n\r\n")
	for name, values := range fields {
		for _, value := range values {
			i.size += len(name) + len(value) + len(": \r\n")
		}
	}
	if i.size > MaxHeaderBytes {
		return ErrTooLarge
	}
	return CheckNames(fields)
}

// StrictTransport rejects answers with malformed fields or faulty framing, which net/http accepts. It
// implements http.RoundTripper.
type StrictTransport struct {
	next *http.Transport
}

// NewStrictTransport returns a transport that checks the answers of another one.
func NewStrictTransport(next *http.Transport) *StrictTransport {
	return &StrictTransport{
		next: next,
	}
}

// RoundTrip implements http.RoundTripper.
func (s *StrictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := &Interim{}
	var head *Head
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*recordedConn); ok {
				head = &conn.head
				head.Reset()
			}
		},
		Got1xxResponse: interim.Check,
	}
	response, err := s.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = CheckNames(response.Header)
	if err == nil && head != nil {
		err = head.Check(response)
	}
	if err != nil {
		_ = response.Body.Close()
		s.next.CloseIdleConnections() // The connection of an answer without a body is already idle.
		return nil, err
	}
	response.Body = &checkedBody{
		ReadCloser: response.Body,
		response:   response,
	}
	return response, nil
}

// CloseIdleConnections closes idle connections; http.Client calls it.
func (s *StrictTransport) CloseIdleConnections() { s.next.CloseIdleConnections() }

// checkedBody fails at its end if the trailer is malformed.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, CheckEnd(b.response, err)
}

// CheckEnd returns the error of a read of an answer's body, or at its end that of a malformed trailer.
func CheckEnd(response *http.Response, err error) error {
	if err != io.EOF {
		return err
	}
	if malformed := CheckNames(response.Trailer); malformed != nil {
		return malformed
	}
	return err
}
