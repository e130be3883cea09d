package httplimit

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

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
	var conn net.Conn
	var head *Head
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, head = info.Conn, nil
			if recorded, ok := conn.(*recordedConn); ok {
				head = &recorded.head
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
		if conn != nil && response.ProtoMajor == 1 { // One of HTTP/2 carries other answers too.
			_ = conn.Close() // After an answer without a body it is already idle.
		}
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
