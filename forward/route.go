package forward

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/zeebo/xxh3"

	"zinniamast/routes"
)

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	host, _, found := strings.Cut(r.Host, ":")
	if found {
		return host
	}
	return r.Host
}

// routePath returns the decoded path of a request, in which escaped slashes stay escaped: the path is
// forwarded as it was sent, and they separate nothing there.
func routePath(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	path, err := url.PathUnescape(escapedSlashes.Replace(u.RawPath))
	if err != nil {
		return u.Path // net/url has decoded the same path
	}
	return path
}

// escapedSlashes escapes the escape character of slashes.
var escapedSlashes = strings.NewReplacer("%2F", "%252F", "%2f", "%252f")

// pickService selects a service of the route by a hash of the stream or request ID, in
// proportion to the weights of the split.
func pickService(r *routes.Route, id string) string {
	total := 0
	for _, share := range r.Split {
		total += max(0, share.Weight)
	}
	if total == 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	draw := int(xxh3.HashString(id) % uint64(total))
	for _, share := range r.Split {
		draw -= max(0, share.Weight)
		if draw < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
