package httplimit

import (
	"fmt"
	"io"
	"net/http"
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
