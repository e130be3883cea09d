// Package caller serves callers over HTTP: it implements the chat-completions
// protocol for models, passes requests for plain services to their handler, and
// writes every refusal in the same JSON form.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/request"
)

// Runner runs accepted requests.
type Runner interface {
	// Run runs a request until it is complete, has failed or has been handed off.
	Run(ctx context.Context, q *request.Request)
}

// Locator finds requests that other nodes hold and makes requests of this node
// known to them.
type Locator interface {
	// Find returns a reader of a request that a peer holds, or nil.
	Find(ctx context.Context, query Query) request.Reader
	// Enter registers a request that this node has accepted with its peers. If a
	// peer holds a request of the same key, Enter returns a reader of that request
	// instead, or a refusal if its body differs.
	Enter(ctx context.Context, query Query) (request.Reader, *zinniamast.Refusal)
	// Follow returns a reader of a request that was moved to a peer.
	Follow(peer string, query Query) request.Reader
	// RegisterOrphan announces to peers that a request has lost its caller, so that the
	// caller can attach to it again through any node.
	RegisterOrphan(query Query)
}

// Query identifies a request that a caller wants to attach to.
type Query struct {
	// ID is the request ID, if known.
	ID string
	// Organisation is the organisation of the caller.
	Organisation string
	// Key is the idempotency key, if any.
	Key string
	// Fingerprint is the hash of organisation and body.
	Fingerprint uint64
	// Orphan means that a request which has lost its caller is searched for by its
	// fingerprint.
	Orphan bool
	// From is the position of the first token that the caller has not received, in
	// the answer of Epoch.
	From  int
	Epoch int
}

// idSeparator precedes the name of the accepting instance in a request ID.
const idSeparator = "."

// newID returns a request ID that contains the name of the accepting instance.
func newID(instance string) string { return rand.Text() + idSeparator + instance }

// Acceptor returns the name of the instance that accepted a request.
func Acceptor(id string) string {
	_, instance, _ := strings.Cut(id, idSeparator)
	return instance
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Board   *blackboard.Board
	Runner  Runner
	Limiter zinniamast.Limiter
	Locator Locator
	// ReportUnserved is called with the model and the number of tokens of each request that
	// is refused for lack of capacity; it may be nil.
	ReportUnserved func(model string, tokens int)
	// Services handles every path below /services/.
	Services http.Handler
	// Instance is the name of the node. Request IDs contain it, so that peers can find
	// the node that accepted a request.
	Instance string
	// FailureDomain is the failure domain of the node; it selects the policy that
	// applies.
	FailureDomain string
	// Stopping reports whether the node refuses new requests because it is stopping.
	Stopping func() bool
	// Context is cancelled when the node must stop all running requests.
	Context context.Context
	Logger  *slog.Logger
	Metrics *Metrics
}

// Server is the HTTP handler of a node for callers.
type Server struct {
	config Config
	mux    *http.ServeMux
}

// New returns a server.
func New(config Config) *Server {
	s := &Server{
		config: config,
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.chat)
	s.mux.HandleFunc("GET /v1/models", s.models)
	if config.Services != nil {
		s.mux.Handle(servicesPath, config.Services)
	}
	s.mux.HandleFunc("/", func(w http.ResponseWriter, q *http.Request) {
		s.refuse(w, zinniamast.Refuse(zinniamast.ReasonNotFound, "there is nothing at %s", q.URL.Path))
	})
	return s
}

// startingRetryAfter is the retry delay that is sent to callers while the node has
// no configuration yet.
const startingRetryAfter = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	// A node that has just started has no configuration and knows no organisation.
	// Refusing every API key as unknown would make callers give up; the refusal asks
	// them to retry instead.
	if s.config.Board.Configuration.Current() == nil {
		s.refuse(w, zinniamast.Refuse(zinniamast.ReasonStarting, "the instance has no configuration yet").WithRan(ranBeforeLookup(q)).WithRetryAfter(startingRetryAfter))
		return
	}
	organisation := s.organisation(q)
	if organisation == "" {
		s.refuse(w, zinniamast.Refuse(zinniamast.ReasonUnauthorised, "the API key is missing or unknown").WithRan(ranBeforeLookup(q)))
		return
	}
	s.mux.ServeHTTP(w, q.WithContext(withOrganisation(q.Context(), organisation)))
}

const servicesPath = "/services/"

// ranBeforeLookup returns the ran value of a refusal that is sent before the
// idempotency key of the request has been looked up.
//
// The answer to a booking may be lost and the caller may retry with the same key at
// a node that refuses because it has just started. The retry did not run, but the
// first request may have: a caller that receives "not run" and sends the booking
// under a new key would book twice.
func ranBeforeLookup(q *http.Request) zinniamast.Ran {
	service := strings.HasPrefix(q.URL.Path, servicesPath)
	if service && q.Header.Get(HeaderKey) != "" && q.Header.Get(HeaderFirst) != "true" {
		return zinniamast.Unknown
	}
	return zinniamast.NotRun
}

const bearerPrefix = "Bearer "

// organisation returns the organisation of the API key in the request, or an empty
// string. The configuration holds only hashes of keys, so that neither it nor the
// logs can reveal a key.
func (s *Server) organisation(q *http.Request) string {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return ""
	}
	hash := sha256.Sum256([]byte(key))
	return s.config.Board.Configuration.Config().Organisation(hex.EncodeToString(hash[:]))
}

type organisationKey struct{}

func withOrganisation(ctx context.Context, organisation string) context.Context {
	return context.WithValue(ctx, organisationKey{}, organisation)
}

// OrganisationFrom returns the organisation that Server has stored in the context of
// a request.
func OrganisationFrom(ctx context.Context) string {
	organisation, _ := ctx.Value(organisationKey{}).(string)
	return organisation
}

// headerTimeout bounds how long a caller may take to send the request headers.
const headerTimeout = 10 * time.Second

// HTTPServer returns a server for handler with the limits that apply to every
// listener of a node.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    64 << 10,
		IdleTimeout:       2 * time.Minute,
	}
}
