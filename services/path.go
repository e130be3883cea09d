package services

import (
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

var errPath = errors.New("must be /services/SERVICE/PATH without . or .. segments, empty segments, backslashes or encoded slashes")

// splitPath returns the service's name and the path below its root.
//
// Failure: a path with dot segments reaches another part of the service than
// the one that the configuration marks idempotent, because the node and the
// service resolve it differently. Such paths are refused, not cleaned.
func splitPath(escaped string) (name, rest string, err error) {
	below, found := strings.CutPrefix(escaped, pathPrefix)
	if !found {
		return "", "", errPath
	}
	name, rest, found = strings.Cut(below, "/")
	if !found || name == "" {
		return "", "", errPath
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		plain, err := url.PathUnescape(segment)
		last := i == len(segments)-1
		if err != nil || plain == "." || plain == ".." || (plain == "" && !last) || strings.ContainsAny(plain, "/\\\x00") {
			return "", "", errPath
		}
	}
	return name, "/" + rest, nil
}

// unforwardedHeaders concern one connection only, or the node itself.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Idempotency-Key",
}

// reservedHeaderPrefix begins the names of headers that only this product sets.
const reservedHeaderPrefix = "Zinniamast-"

// forwardedHeaders returns the headers that cross the node. The caller's API key is the
// node's and does not reach the service.
func forwardedHeaders(header http.Header) http.Header {
	passed := header.Clone()
	for _, named := range header["Connection"] {
		for _, name := range strings.Split(named, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range unforwardedHeaders {
		passed.Del(name)
	}
	passed.Del("Authorization")
	for name := range passed {
		if strings.HasPrefix(name, reservedHeaderPrefix) {
			passed.Del(name)
		}
	}
	return passed
}
