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
	// orphanLinger is how long a request without a key goes on after its caller
	// went away: the usual clients ask again within it.
	orphanLinger = 10 * time.Second
	// bytesPerAnswerToken is what a token of an answer takes in memory: text,
	// identifier and end.
	bytesPerAnswerToken = 16
)

// chat serves one chat-completions request.
func (s *Server) chat(w http.ResponseWriter, q *http.Request) {
	a, refusal := s.parse(w, q)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	reader, refusal := s.open(q.Context(), a)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	a.call.ID = reader.Request()
	answer := &answer{
		server: s,
		asked:  a,
		reader: reader,
		writer: w,
		next:   a.query.From,
	}
	delivered := answer.serve(q.Context())
	answer.reader.Close(delivered)
	if !delivered {
		s.orphaned(a)
	}
}

// open attaches to the request the caller means, or accepts a new one.
func (s *Server) open(ctx context.Context, a *asked) (request.Reader, *zinniamast.Refusal) {
	if a.query.ID != "" {
		return s.attach(ctx, a)
	}
	if reader, refusal := s.again(ctx, a); reader != nil || refusal != nil {
		return reader, refusal
	}
	return s.accept(ctx, a)
}

// attach goes on with a request that the caller names by Last-Event-ID.
func (s *Server) attach(ctx context.Context, a *asked) (request.Reader, *zinniamast.Refusal) {
	known := s.config.Board.Requests.Get(a.query.ID)
	if known != nil && known.Call.Organisation == a.call.Organisation {
		a.call = known.Call
		if !known.Accepts(a.query.Epoch, a.query.From) {
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

// again finds the request that a caller sends once more, by its key or, for
// the usual clients that retry without one, by the body of a request that
// lost its caller. A second run would cost its tokens twice.
func (s *Server) again(ctx context.Context, a *asked) (request.Reader, *zinniamast.Refusal) {
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

// join attaches to a request of the same key, if the body is the same too.
func (s *Server) join(a *asked, known *request.Request) (request.Reader, *zinniamast.Refusal) {
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
func (s *Server) accept(ctx context.Context, a *asked) (request.Reader, *zinniamast.Refusal) {
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
		s.missed(call, refusal)
		return nil, refusal
	}
	q := request.New(*call)
	if known, added := s.config.Board.Requests.Add(q); !added {
		ticket.Release()
		return s.join(a, known)
	}
	if call.Key != "" {
		// A peer may hold the key already: the balancer sends a retry anywhere.
		a.query.ID = call.ID
		if reader, refusal := s.config.Locator.Enter(ctx, a.query); reader != nil || refusal != nil {
			// Whoever joined this entry in between asks again and joins the peer's.
			q.Fail(zinniamast.Refuse(zinniamast.ReasonInProgress, "another node runs this key").WithRetryAfter(time.Second))
			s.config.Board.Requests.Remove(q)
			ticket.Release()
			return reader, refusal
		}
	}
	a.fresh = true
	reader := q.Watch(0)
	go func() {
		defer ticket.Release()
		s.config.Runner.Run(s.config.Context, q)
	}()
	return reader, nil
}

// missed tells the capacity side of work that there was no room for.
func (s *Server) missed(call *request.Call, refusal *zinniamast.Refusal) {
	if s.config.Missed == nil {
		return
	}
	switch refusal.Reason {
	case zinniamast.ReasonNoCapacity, zinniamast.ReasonDeadlineUnmet, zinniamast.ReasonNoUpstream, zinniamast.ReasonOverShare:
		s.config.Missed(call.Model, call.MaxTokens)
	}
}

// orphaned ends a request without a key that nobody came back for: a caller
// that pressed stop must not keep a replica busy to the end.
func (s *Server) orphaned(a *asked) {
	q := s.config.Board.Requests.Get(a.call.ID)
	if q == nil {
		return
	}
	query := a.query
	query.ID = a.call.ID
	s.config.Locator.Orphaned(query)
	if q.Call.Key != "" {
		return
	}
	time.AfterFunc(orphanLinger, func() {
		if q.OrphanedFor(orphanLinger / 2) {
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

// models lists the models on offer.
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
	// A caller that has gone cannot be told.
	_ = json.NewEncoder(w).Encode(list)
}
