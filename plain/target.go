package plain

import (
	"fmt"
	"net/url"
	"strings"
)

// Target returns the URL by which a request for the path and query of target goes to a host, with
// target unchanged in the request line.
//
// net/url takes an opaque part that begins with two slashes for a host. Such a path is passed in its
// escaped form, which net/url keeps if all of its characters may stand in one.
func Target(host, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, fmt.Errorf("plain: request target %q is not a path", target)
	}
	u := &url.URL{
		Scheme: "http",
		Host:   host,
	}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return u, nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, fmt.Errorf("plain: request target: %w", err)
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = decoded, path, query, hasQuery
	if u.RequestURI() != target {
		return nil, fmt.Errorf("plain: request target %q cannot be sent unchanged", target)
	}
	return u, nil
}
