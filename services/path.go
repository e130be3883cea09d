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
// If the node and the service resolve a path with dot segments differently, it
// reaches another part of the service than the one that the configuration marks
// idempotent. Such paths are therefore refused, not cleaned.
func splitPath(escaped string) (name, rest string, err error) {
	suffix, found := strings.CutPrefix(escaped, pathPrefix)
	if !found {
		return "", "", errPath
	}
	name, rest, found = strings.Cut(suffix, "/")
	if !found || name == "" {
		return "", "", errPath
	}
	segments := strings.Split(rest, "/")
	for i, segment := range segments {
		unescaped, err := url.PathUnescape(segment)
		isLast := i == len(segments)-1
		if err != nil || unescaped == "." || unescaped == ".." || (unescaped == "" && !isLast) || strings.ContainsAny(unescaped, "/\\\x00") {
			return "", "", errPath
		}
	}
	return name, "/" + rest, nil
}

// unforwardedHeaders are the headers that apply to one connection only or to the
// node itself.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Idempotency-Key",
}

// reservedHeaderPrefix is the prefix of the headers that only this product sets.
const reservedHeaderPrefix = "Zinniamast-"

// forwardedHeaders returns the headers that are forwarded to the service or to the
// caller. The caller's API key authenticates it to the node and does not reach
// the service.
func forwardedHeaders(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range unforwardedHeaders {
		forwarded.Del(name)
	}
	forwarded.Del("Authorization")
	for name := range forwarded {
		if strings.HasPrefix(name, reservedHeaderPrefix) {
			forwarded.Del(name)
		}
	}
	return forwarded
}
