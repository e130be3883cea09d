package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"zinniamast"
	"zinniamast/request"
)

const (
	// orphanGrace is how long a request without an idempotency key continues after
	// its caller has disconnected; common client libraries retry within this time.
	orphanGrace = 10 * time.Second
	// bytesPerAnswerToken is the memory for one token of an answer: its text, its
	// token ID and the offset of its end.
	bytesPerAnswerToken = 16
)

// chat handles one chat-completions request.
func (s *Server) chat(w http.ResponseWriter, q *http.Request) {
	a, refusal := s.parse(w, q)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	reader, refusal := s.openReader(q.Context(), a)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	a.call.ID = reader.Request()
	answer := &answerWriter{
		server:    s,
		request:   a,
		reader:    reader,
		writer:    w,
		nextToken: a.query.From,
	}
	delivered := answer.serve(q.Context())
	answer.reader.Close(delivered)
	if !delivered {
		s.handleOrphan(a)
	}
}

// openReader attaches to the existing request that the caller refers to, or
// accepts a new one.
func (s *Server) openReader(ctx context.Context, a *parsedRequest) (request.Reader, *zinniamast.Refusal) {
	if a.query.ID != "" {
		return s.attach(ctx, a)
	}
	if reader, refusal := s.findRepeated(ctx, a); reader != nil || refusal != nil {
		return reader, refusal
	}
	return s.accept(ctx, a)
}

// attach resumes a request that the caller identifies by Last-Event-ID, held by
// this node or by a peer.
func (s *Server) attach(ctx context.Context, a *parsedRequest) (request.Reader, *zinniamast.Refusal) {
	known := s.config.Board.Requests.Get(a.query.ID)
	if known != nil && known.Call.Organisation == a.call.Organisation {
		a.call = known.Call
		if !known.CanResume(a.query.Epoch, a.query.From) {
			return nil, requestLost(a.query.ID)
		}
		return known.Watch(a.query.From), nil
	}
	if reader := s.config.Locator.Find(ctx, a.query); reader != nil {
		return reader, nil
	}
	return nil, requestLost(a.query.ID)
}

func requestLost(id string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonRequestLost,
		"no node can go on with request %s from there; send it again without %s", id, HeaderLastEvent).WithRan(zinniamast.Unknown)
}

// findRepeated finds the request that a caller is retrying: by its idempotency key
// or, for common client libraries that retry without a key, by the body of a
// request whose caller has disconnected. A second run would compute all tokens
// twice.
func (s *Server) findRepeated(ctx context.Context, a *parsedRequest) (request.Reader, *zinniamast.Refusal) {
	requests := s.config.Board.Requests
	if a.call.Key != "" {
		if known := requests.ByKey(a.call.Organisation, a.call.Key); known != nil {
			return s.join(a, known)
		}
		return nil, nil
	}
	if !a.query.Orphan {
		return nil, nil
	}
	if known := requests.Orphan(a.call.Fingerprint); known != nil {
		return s.join(a, known)
	}
	return s.config.Locator.Find(ctx, a.query), nil
}

// join attaches to a known request of the same key or body. It refuses if the
// fingerprint differs, which means that the key was used with another body.
func (s *Server) join(a *parsedRequest, known *request.Request) (request.Reader, *zinniamast.Refusal) {
	if known.Call.Fingerprint != a.call.Fingerprint {
		return nil, keyConflict(a.call.Key)
	}
	a.call = known.Call
	return known.Watch(0), nil
}

func keyConflict(key string) *zinniamast.Refusal {
	return zinniamast.Refuse(zinniamast.ReasonKeyConflict, "key %q was used with another body", key)
}

// accept admits a new request and starts it.
func (s *Server) accept(ctx context.Context, a *parsedRequest) (request.Reader, *zinniamast.Refusal) {
	if s.config.Stopping() {
		return nil, zinniamast.Refuse(zinniamast.ReasonStopping, "this node is stopping; another one takes the request").WithRetryAfter(time.Second)
	}
	call := &a.call
	ticket, err := s.config.Limiter.Admit(zinniamast.Admission{
		Organisation: call.Organisation,
		Service:      call.Model,
		Class:        string(call.Class),
		Priority:     call.Class.Priority(),
		PromptTokens: call.PromptTokens,
		MaxTokens:    call.MaxTokens,
		Bytes:        len(call.Messages) + len(call.Parameters) + call.MaxTokens*bytesPerAnswerToken,
		Deadline:     call.Deadline,
	})
	if err != nil {
		refusal := zinniamast.AsRefusal(err)
		s.reportUnserved(call, refusal)
		return nil, refusal
	}
	q := request.New(*call)
	if known, added := s.config.Board.Requests.Add(q); !added {
		ticket.Release()
		return s.join(a, known)
	}
	if call.Key != "" {
		// A peer may already hold the key, because the load balancer may send a retry
		// to any node.
		a.query.ID = call.ID
		if reader, refusal := s.config.Locator.Enter(ctx, a.query); reader != nil || refusal != nil {
			// Callers that have joined this request in the meantime are refused; when
			// they retry, they join the request of the peer.
			q.Fail(zinniamast.Refuse(zinniamast.ReasonInProgress, "another node runs this key").WithRetryAfter(time.Second))
			s.config.Board.Requests.Remove(q)
			ticket.Release()
			return reader, refusal
		}
	}
	a.isNew = true
	reader := q.Watch(0)
	go func() {
		defer ticket.Release()
		s.config.Runner.Run(s.config.Context, q)
	}()
	return reader, nil
}

// reportUnserved reports work that was refused for lack of capacity, as demand for
// scaling.
func (s *Server) reportUnserved(call *request.Call, refusal *zinniamast.Refusal) {
	if s.config.ReportUnserved == nil {
		return
	}
	switch refusal.Reason {
	case zinniamast.ReasonNoCapacity, zinniamast.ReasonDeadlineUnmet, zinniamast.ReasonNoUpstream, zinniamast.ReasonOverShare:
		s.config.ReportUnserved(call.Model, call.MaxTokens)
	}
}

// handleOrphan announces to peers that the request has lost its caller. If the
// request has no idempotency key and no caller attaches again, it is cancelled
// after a delay, so that a user who stops an answer does not keep a replica
// busy until its end.
func (s *Server) handleOrphan(a *parsedRequest) {
	q := s.config.Board.Requests.Get(a.call.ID)
	if q == nil {
		return
	}
	query := a.query
	query.ID = a.call.ID
	s.config.Locator.RegisterOrphan(query)
	if q.Call.Key != "" {
		return
	}
	time.AfterFunc(orphanGrace, func() {
		if q.OrphanedFor(orphanGrace / 2) {
			q.Fail(zinniamast.Refuse(zinniamast.ReasonCancelled, "the caller went away").WithRan(zinniamast.DidRun))
		}
	})
}

// model is one entry of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the configured models.
func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{
		Object: "list",
		Data:   []model{},
	}
	for _, m := range s.config.Board.Configuration.Config().Models {
		list.Data = append(list.Data, model{
			ID:      m.Name,
			Object:  "model",
			OwnedBy: "zinniamast",
		})
	}
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored because the caller may have disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
