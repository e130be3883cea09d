package platform

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"zinniamast"
	"zinniamast/config"
)

// maxBody is the maximum body of a request to the stand-in, in bytes.
const maxBody = 64 << 20

// writeAnswer writes a JSON answer, or the status that represents an error.
func writeAnswer(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	case errors.Is(err, zinniamast.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, zinniamast.ErrThrottled):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, zinniamast.ErrRefused):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		// The service is down, the answer is lost or the context is done; the
		// caller sees a broken connection.
		panic(http.ErrAbortHandler)
	}
}

// decode reads a JSON body; if that fails, it answers with an error and returns
// false.
func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch r.Method {
	case http.MethodPut:
		content, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err == nil {
			err = p.Objects.Put(r.Context(), name, content)
		}
		writeAnswer(w, struct{}{}, err)
	case http.MethodGet:
		content, err := p.Objects.Get(r.Context(), name)
		if err != nil {
			writeAnswer(w, nil, err)
			return
		}
		_, _ = w.Write(content)
	case http.MethodDelete:
		if err := p.Objects.Delete(r.Context(), name); err != nil {
			writeAnswer(w, nil, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "no such method", http.StatusMethodNotAllowed)
	}
}

func (p *Platform) serveOffers(w http.ResponseWriter, r *http.Request) {
	offers, err := p.Cloud.Offers(r.Context())
	writeAnswer(w, offers, err)
}

func (p *Platform) serveNotices(w http.ResponseWriter, r *http.Request) {
	notices, err := p.Cloud.Notices(r.Context())
	writeAnswer(w, notices, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	instances, err := p.Cloud.List(r.Context())
	if err != nil || r.Header.Get("Accept-Encoding") != "gzip" {
		writeAnswer(w, instances, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_ = json.NewEncoder(compressed).Encode(instances)
	_ = compressed.Close()
}

// StartRequest is the body of POST /cloud/instances.
type StartRequest struct {
	Token string           `json:"token"`
	Offer zinniamast.Offer `json:"offer"`
	Role  string           `json:"role"`
}

func (p *Platform) serveStart(w http.ResponseWriter, r *http.Request) {
	var body StartRequest
	if !decode(w, r, &body) {
		return
	}
	instance, err := p.Cloud.Start(r.Context(), body.Token, body.Offer, body.Role)
	writeAnswer(w, instance, err)
}

func (p *Platform) serveStop(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, struct{}{}, p.Cloud.Stop(r.Context(), r.PathValue("id")))
}

// SizeAnswer is the body of an answer to GET /weights/{model}.
type SizeAnswer struct {
	Bytes int64 `json:"bytes"`
}

func (p *Platform) serveSize(w http.ResponseWriter, r *http.Request) {
	size, err := p.Weights.Size(r.Context(), r.PathValue("model"))
	writeAnswer(w, SizeAnswer{
		Bytes: size,
	}, err)
}

func (p *Platform) servePermit(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, struct{}{}, p.Weights.Permit(r.Context(), r.PathValue("model")))
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decode(w, r, &fault) {
		return
	}
	if err := p.SetFault(r.PathValue("service"), fault); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeAnswer(w, fault, nil)
}

// ReclaimRequest is the body of POST /control/reclaim; either
// Instance or FailureDomain is set.
type ReclaimRequest struct {
	Instance      string          `json:"instance,omitempty"`
	FailureDomain string          `json:"failure_domain,omitempty"`
	After         config.Duration `json:"after"`
}

func (p *Platform) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var body ReclaimRequest
	if !decode(w, r, &body) {
		return
	}
	if body.Instance != "" {
		p.Cloud.Reclaim(body.Instance, time.Duration(body.After))
	}
	if body.FailureDomain != "" {
		p.Cloud.ReclaimDomain(body.FailureDomain, time.Duration(body.After))
	}
	writeAnswer(w, struct{}{}, nil)
}

func (p *Platform) serveAdd(w http.ResponseWriter, r *http.Request) {
	var instance zinniamast.Instance
	if !decode(w, r, &instance) {
		return
	}
	p.Cloud.Add(instance)
	writeAnswer(w, instance, nil)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, p.Counts(), nil)
}
