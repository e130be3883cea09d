// Package service is a small stand-in for a booking, order and lookup service.
// It injects faults on demand and counts the requests that ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"zinniamast/plain"
)

// ControlPrefix is the prefix of the paths that control a stand-in: GET
// /standin/counts, POST /standin/faults with a JSON array of Fault, POST
// /standin/reset.
const ControlPrefix = "/standin/"

// Config sets the behaviour of a stand-in.
type Config struct {
	// Ledger is shared by the replicas of one service; nil means a new one.
	Ledger *Ledger
	// ChecksKeys runs each idempotency key at most once.
	ChecksKeys bool
	// ChecksFence refuses a fencing number lower than the highest admitted one.
	ChecksFence bool
	// Work is the duration of each run.
	Work time.Duration
	// Crash, if set, is called when the replica crashes. A crashed replica
	// answers no request until Restart is called.
	Crash func()
}

// Service is one replica. It serves POST /reservations, POST /orders, GET
// /lookups/{name} and GET /keys/{key}.
type Service struct {
	config  Config
	faults  faults
	crashed atomic.Bool
	mux     *http.ServeMux
}

// New returns a replica.
func New(config Config) *Service {
	if config.Ledger == nil {
		config.Ledger = NewLedger()
	}
	s := &Service{
		config: config,
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+ControlPrefix+"counts", s.serveCounts)
	s.mux.HandleFunc("POST "+ControlPrefix+"faults", s.serveFaults)
	s.mux.HandleFunc("POST "+ControlPrefix+"reset", s.serveReset)
	s.mux.HandleFunc("GET /keys/{key...}", s.serveKey)
	s.mux.HandleFunc("GET /lookups/{name}", s.serveLookup)
	s.mux.HandleFunc("POST /reservations", s.serveChange)
	s.mux.HandleFunc("POST /orders", s.serveChange)
	return s
}

// Ledger returns the replica's ledger.
func (s *Service) Ledger() *Ledger { return s.config.Ledger }

// SetFaults replaces the active faults.
func (s *Service) SetFaults(active ...Fault) { s.faults.set(active) }

// Crashed reports whether a fault has crashed the replica.
func (s *Service) Crashed() bool { return s.crashed.Load() }

// Restart restarts a crashed replica.
func (s *Service) Restart() { s.crashed.Store(false) }

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.crashed.Load() {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	fault := s.faults.consume(r.URL.Path, "")
	if !s.applyFaultBeforeRun(w, r, fault) {
		return
	}
	s.config.Ledger.countLookup()
	s.answer(w, r, fault, marshal(map[string]string{
		"name":      r.PathValue("name"),
		"available": "yes",
		"query":     r.URL.RawQuery,
	}))
}

func (s *Service) serveChange(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.faults.consume(r.URL.Path, string(body))
	if !s.applyFaultBeforeRun(w, r, fault) {
		return
	}
	if s.config.ChecksFence && !s.admit(r) {
		s.refuse(w, r, "fence")
		return
	}
	attempt := r.Header.Get(plain.HeaderAttempt)
	answer := marshal(map[string]string{
		"confirmed": attempt,
		"body":      string(body),
	})
	answer = s.config.Ledger.run(r.Header.Get(plain.HeaderKey), attempt, string(body), answer, s.config.ChecksKeys)
	s.answer(w, r, fault, answer)
}

// admit reports whether the request has no fencing number or an admissible one.
func (s *Service) admit(r *http.Request) bool {
	text := r.Header.Get(plain.HeaderFence)
	if text == "" {
		return true
	}
	fence, err := strconv.ParseUint(text, 10, 64)
	return err == nil && s.config.Ledger.admitFence(fence)
}

// applyFaultBeforeRun applies a fault that takes effect before a request runs and
// reports whether the request may run.
func (s *Service) applyFaultBeforeRun(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch fault.Kind {
	case Refuse:
		s.refuse(w, r, "busy")
		return false
	case Leave:
		s.refuse(w, r, plain.NotTakenLeaving)
		return false
	case Hang:
		<-r.Context().Done()
		return false
	case ResetBefore:
		panic(http.ErrAbortHandler)
	case Crash:
		s.crash()
	case Slow:
		time.Sleep(fault.wait())
	}
	time.Sleep(s.config.Work)
	return true
}

// crash crashes the replica in the middle of a request.
func (s *Service) crash() {
	s.crashed.Store(true)
	if s.config.Crash != nil {
		s.config.Crash()
	}
	panic(http.ErrAbortHandler)
}

// refuse answers that the request does not run.
func (s *Service) refuse(w http.ResponseWriter, r *http.Request, why string) {
	w.Header().Set(plain.HeaderAttempt, r.Header.Get(plain.HeaderAttempt))
	w.Header().Set(plain.HeaderNotTaken, why)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answer sends the answer, after it applies a fault that takes effect after a run.
func (s *Service) answer(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	attempt := r.Header.Get(plain.HeaderAttempt)
	status := http.StatusOK
	switch fault.Kind {
	case ResetAfter:
		panic(http.ErrAbortHandler)
	case Cross:
		attempt += "-other"
	case Fail:
		status = http.StatusInternalServerError
	}
	w.Header().Set(plain.HeaderAttempt, attempt)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if fault.Kind == CutShort {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

// serveKey returns the answer of an idempotency key, if the key ran.
func (s *Service) serveKey(w http.ResponseWriter, r *http.Request) {
	answer, ok := s.config.Ledger.answerByKey(r.PathValue("key"))
	if !ok {
		http.Error(w, "not run", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer)
}

func (s *Service) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Write(marshal(s.config.Ledger.Counts()))
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var active []Fault
	if err := json.NewDecoder(r.Body).Decode(&active); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.faults.set(active)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveReset(w http.ResponseWriter, _ *http.Request) {
	s.faults.set(nil)
	s.crashed.Store(false)
	s.config.Ledger.Reset()
	w.WriteHeader(http.StatusNoContent)
}

// marshal encodes a value that cannot fail to encode.
func marshal(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
