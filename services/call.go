package services

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/caller"
	"zinniamast/claims"
	"zinniamast/config"
	"zinniamast/request"
)

// pathPrefix is the prefix of every path that this package serves.
const pathPrefix = "/services/"

// issueKeysPath is the path below a service's root at which callers request keys;
// a POST to it does not reach the service.
const issueKeysPath = "/keys"

const maxKeyLength = 255

// call is a caller's request, parsed and checked.
type call struct {
	id             string
	organisation   string
	service        *config.Service
	policy         config.EffectivePolicy
	class          request.Class
	key            string
	isFirstSending bool
	isIdempotent   bool
	isIssueRequest bool
	method         string
	path           string
	header         http.Header
	body           []byte
	deadline       time.Time
	fingerprint    uint64
}

// isRepeatable reports whether the call may be sent twice: it is marked
// idempotent, or the service itself runs each key at most once.
func (c *call) isRepeatable() bool {
	return c.isIdempotent || (c.service.ChecksKeys && c.key != "")
}

// claimsCall returns the call in the form that package claims takes.
func (c *call) claimsCall() claims.Call {
	return claims.Call{
		Organisation: c.organisation,
		Service:      c.service.Name,
		Key:          c.key,
		Method:       c.method,
		Path:         c.path,
		Body:         c.body,
		Deadline:     c.deadline,
		FirstSending: c.isFirstSending,
	}
}

// parse reads and checks a request. If it returns a refusal, the call holds the
// fields that were parsed before.
func (h *Handler) parse(w http.ResponseWriter, q *http.Request) (*call, *zinniamast.Refusal) {
	c := &call{
		id:           newID(),
		organisation: caller.OrganisationFrom(q.Context()),
		method:       q.Method,
		path:         q.URL.Path,
		header:       forwardedHeaders(q.Header),
	}
	current := h.config.Board.Configuration.Config()
	name, rest, err := splitPath(q.URL.EscapedPath())
	if err != nil {
		return c, zinniamast.Refuse(zinniamast.ReasonMalformed, "the path %q: %v", q.URL.Path, err)
	}
	c.service = current.Service(name)
	if c.service == nil {
		return c, zinniamast.Refuse(zinniamast.ReasonUnknownService, "there is no service %q", name)
	}
	c.isIdempotent = c.service.Idempotent(c.method, rest)
	c.isIssueRequest = c.method == http.MethodPost && rest == issueKeysPath && h.config.Issuer != nil
	c.path = rest
	if q.URL.RawQuery != "" {
		c.path += "?" + q.URL.RawQuery
	}
	if refusal := h.readHeaders(c, q, current); refusal != nil {
		return c, refusal
	}
	return c, c.readBody(w, q)
}

// readHeaders reads the key, the class and the deadline.
func (h *Handler) readHeaders(c *call, q *http.Request, current *config.Config) *zinniamast.Refusal {
	c.key = q.Header.Get(caller.HeaderKey)
	c.isFirstSending = q.Header.Get(caller.HeaderFirst) == "true"
	if len(c.key) > maxKeyLength || strings.ContainsFunc(c.key, isUnprintable) {
		return zinniamast.Refuse(zinniamast.ReasonMalformed,
			"%s: must be at most %d printable ASCII characters", caller.HeaderKey, maxKeyLength)
	}
	c.class = request.ClassNormal
	if class := q.Header.Get(caller.HeaderClass); class != "" {
		c.class = request.Class(class)
	}
	if !slices.Contains([]request.Class{request.ClassUrgent, request.ClassNormal, request.ClassBulk}, c.class) {
		return zinniamast.Refuse(zinniamast.ReasonMalformed,
			"%s: %q is not urgent, normal or bulk", caller.HeaderClass, c.class)
	}
	c.policy = current.Resolve(config.Match{
		Organisation:  c.organisation,
		Service:       c.service.Name,
		FailureDomain: h.config.FailureDomain,
		Class:         string(c.class),
	})
	timeout, refusal := caller.ReadDeadline(q.Header, c.policy.Deadline)
	if refusal != nil {
		return refusal
	}
	c.deadline = time.Now().Add(timeout)
	return nil
}

func isUnprintable(r rune) bool { return r < ' ' || r > '~' }

// readBody reads the whole body, up to the policy's limit.
func (c *call) readBody(w http.ResponseWriter, q *http.Request) *zinniamast.Refusal {
	body, refusal := caller.ReadBody(w, q, c.policy.MaxBody)
	if refusal != nil {
		return refusal
	}
	c.body = body
	c.fingerprint = fingerprint(c.service.Name, c.method, c.path, body)
	return nil
}
