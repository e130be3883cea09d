// Package caller speaks to callers: the chat-completions protocol for models,
// ordinary HTTP for plain services, and one JSON form for every refusal.
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
	// Run runs a request until it is whole, failed or handed off.
	Run(ctx context.Context, q *request.Request)
}

// Locator finds requests that other nodes hold.
type Locator interface {
	// Find returns a reader of a request that a peer holds, or nil.
	Find(ctx context.Context, query Query) request.Reader
	// Enter makes a request that this node has accepted known to peers. If a
	// peer holds the same key it returns a reader of that request instead, or a
	// refusal if the body is another one.
	Enter(ctx context.Context, query Query) (request.Reader, *zinniamast.Refusal)
	// Follow returns a reader of a request that was moved to a peer.
	Follow(peer string, query Query) request.Reader
	// Orphaned makes a request that lost its caller known to peers, so that
	// the caller finds it from any node.
	Orphaned(query Query)
}

// Query names a request that a caller asks for again.
type Query struct {
	// ID is the request's ID, if the caller gave it.
	ID string
	// Organisation is the caller's.
	Organisation string
	// Key is the idempotency key, if any.
	Key string
	// Fingerprint is the hash of organisation and body.
	Fingerprint uint64
	// Orphan asks for a request that lost its caller, by fingerprint.
	Orphan bool
	// From is the first token the caller lacks, of the answer of Epoch.
	From  int
	Epoch int
}

// idSeparator stands in request IDs before the accepting instance's name.
const idSeparator = "."

// newID returns a request ID that names the instance that accepts it.
func newID(instance string) string { return rand.Text() + idSeparator + instance }

// Acceptor returns the name of the instance that accepted a request.
func Acceptor(id string) string {
	_, instance, _ := strings.Cut(id, idSeparator)
	return instance
}

// Config says what a server works with.
type Config struct {
	Board   *blackboard.Board
	Runner  Runner
	Limiter zinniamast.Limiter
	Locator Locator
	// Missed hears of tokens refused for want of capacity, by model; nil is not told.
	Missed func(model string, tokens int)
	// Services serves everything below /services/.
	Services http.Handler
	// Instance is the node's name; request IDs carry it, so that peers can ask it.
	Instance string
	// FailureDomain is the node's own, for the policy in force.
	FailureDomain string
	// Stopping says whether the node takes no new requests.
	Stopping func() bool
	// Context ends when the node may run nothing any more.
	Context context.Context
	Logger  *slog.Logger
	Metrics *Metrics
}

// Server is the callers' side of a node. It is an http.Handler.
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

// startingRetry is when to come back to a node that has no configuration yet.
const startingRetry = 500 * time.Millisecond

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	// A node that has just started knows no organisation. Calling every key
	// unknown would send its callers away for good; they are to come back.
	if s.config.Board.Configuration.Current() == nil {
		s.refuse(w, zinniamast.Refuse(zinniamast.ReasonStarting, "the instance has no configuration yet").WithRan(ranBefore(q)).WithRetryAfter(startingRetry))
		return
	}
	organisation := s.organisation(q)
	if organisation == "" {
		s.refuse(w, zinniamast.Refuse(zinniamast.ReasonUnauthorised, "the API key is missing or unknown").WithRan(ranBefore(q)))
		return
	}
	s.mux.ServeHTTP(w, q.WithContext(withOrganisation(q.Context(), organisation)))
}

const servicesPath = "/services/"

// ranBefore says what may be told of a request that is refused before anybody
// has looked at its key.
//
// Failure: a booking's answer is lost, its caller sends the key again, and this
// node refuses because it has just started. Nothing ran for this sending, but a
// caller that reads "not run" and takes a new key books twice.
func ranBefore(q *http.Request) zinniamast.Ran {
	service := strings.HasPrefix(q.URL.Path, servicesPath)
	if service && q.Header.Get(HeaderKey) != "" && q.Header.Get(HeaderFirst) != "true" {
		return zinniamast.Unknown
	}
	return zinniamast.NotRun
}

const bearer = "Bearer "

// organisation returns whose API key the request carries. Only hashes are
// kept, so that neither configuration nor logs can give a key away.
func (s *Server) organisation(q *http.Request) string {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), bearer)
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

// OrganisationFrom returns the organisation that the server found for a request.
func OrganisationFrom(ctx context.Context) string {
	organisation, _ := ctx.Value(organisationKey{}).(string)
	return organisation
}

// maxHeaderWait bounds how long a caller may take to send its headers.
const maxHeaderWait = 10 * time.Second

// HTTPServer wraps a handler with the limits every listener of a node has.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: maxHeaderWait,
		MaxHeaderBytes:    64 << 10,
		IdleTimeout:       2 * time.Minute,
	}
}
