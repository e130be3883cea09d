// Package store is a stand-in for the platform's metadata store: rows under
// one counter, transactions with conditions, a feed with a history that can be
// dropped, and the faults that the real one shows.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is one row as the store answers it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is what goes wrong with calls; the zero value is nothing.
type Fault struct {
	// Status answers every call with this status, and nothing is done.
	Status int
	// Hang answers no call until its caller leaves, feeds that wait included.
	Hang bool
	// LoseWrites does writes and closes the connection without an answer.
	LoseWrites bool
	// DeafFeeds lets feeds that are opened now hear nothing while they wait.
	DeafFeeds bool
}

// Store is the stand-in.
type Store struct {
	server *httptest.Server
	began  time.Time

	mu      sync.Mutex
	fault   Fault
	rows    map[string]Row
	history []Row
	// dropped is the newest counter value that the history no longer holds.
	dropped uint64
	ver     uint64
	changed chan struct{}
	calls   int
}

// New starts a store on a free port.
func New() *Store {
	s := &Store{
		began:   time.Now(),
		rows:    map[string]Row{},
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = httptest.NewServer(s.faulty(mux))
	return s
}

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// SetFault changes what goes wrong from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a replica does.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Row{
		Table: table,
		Key:   key,
		Value: value,
	})
}

// PutJSON writes a row from a value.
func (s *Store) PutJSON(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(table, key, raw)
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(Row{
		Table:   table,
		Key:     key,
		Deleted: true,
	})
}

// Rows returns the rows of a table's part, by key.
func (s *Store) Rows(table, part string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(table, part)
}

// DropHistory forgets all changes; feeds behind the present are told so.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.ver
}

// faulty answers with the present fault before a handler does.
func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		if fault.Hang {
			// net/http notices that a caller leaves once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if fault.Status != 0 {
			w.WriteHeader(fault.Status)
			return
		}
		if fault.LoseWrites && r.Method == http.MethodPost {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// apply changes one row; the caller holds the lock.
func (s *Store) apply(r Row) {
	s.ver++
	r.Ver = s.ver
	name := rowKey(r.Table, r.Part, r.Key)
	s.rows[name] = r
	if r.Deleted {
		delete(s.rows, name)
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(table, part string) []Row {
	var rows []Row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type transaction struct {
	ExpectedRev []struct {
		rowName
		Ver uint64 `json:"ver"`
	} `json:"expectedRev"`
	Put []struct {
		rowName
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []rowName `json:"remove"`
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var stand []Row
	met := true
	for _, c := range tx.ExpectedRev {
		row := s.rows[rowKey(c.Table, c.Part, c.Key)]
		met = met && row.Ver == c.Ver
		if row.Ver != 0 {
			stand = append(stand, row)
		}
	}
	if !met {
		s.answer(w, http.StatusPreconditionFailed, stand, false)
		return
	}
	for _, p := range tx.Put {
		s.apply(Row{
			Table: p.Table,
			Part:  p.Part,
			Key:   p.Key,
			Value: p.Value,
		})
	}
	for _, n := range tx.Remove {
		s.apply(Row{
			Table:   n.Table,
			Part:    n.Part,
			Key:     n.Key,
			Deleted: true,
		})
	}
	s.answer(w, http.StatusOK, nil, false)
}

// pageRows is how many rows one answer holds at most.
const pageRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := pageRows
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, asked)
	}
	var rows []Row
	for _, row := range s.list(query.Get("table"), query.Get("part")) {
		if row.Key < query.Get("from") || query.Get("to") != "" && row.Key >= query.Get("to") {
			continue
		}
		rows = append(rows, row)
	}
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	deaf := s.fault.DeafFeeds
	for {
		if since < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.after(query.Get("table"), since)
		if len(rows) > 0 && !deaf {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			if s.fault.Hang {
				s.mu.Unlock()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			if deaf {
				s.answerAt(w, since)
			} else {
				s.answer(w, http.StatusOK, nil, false)
			}
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}

// after returns a table's changes; the caller holds the lock.
func (s *Store) after(table string, since uint64) []Row {
	var rows []Row
	for _, r := range s.history {
		if r.Ver > since && r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows
}

type answer struct {
	Rows      []Row  `json:"rows"`
	Truncated bool   `json:"truncated"`
	Ver       uint64 `json:"ver"`
	NowMs     int64  `json:"nowMs"`
}

// answer writes rows; the caller holds the lock.
func (s *Store) answer(w http.ResponseWriter, status int, rows []Row, truncated bool) {
	s.write(w, status, answer{
		Rows:      rows,
		Truncated: truncated,
		Ver:       s.ver,
		NowMs:     s.now(),
	})
}

// answerAt answers a deaf feed with the position that it came with.
func (s *Store) answerAt(w http.ResponseWriter, since uint64) {
	s.write(w, http.StatusOK, answer{
		Ver:   since,
		NowMs: s.now(),
	})
}

// clockStart is what the steady clock showed when the store began.
const clockStart = 50_000

func (s *Store) now() int64 { return clockStart + time.Since(s.began).Milliseconds() }

func (s *Store) write(w http.ResponseWriter, status int, a answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		// The caller has left.
		return
	}
}
