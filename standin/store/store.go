// Package store is a stand-in for the platform's metadata store. It provides rows
// that share one version counter, conditional transactions, a change feed whose
// history can be dropped, and the faults of the real store.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is one row as the store returns it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Fault is the set of faults that affect calls; the zero value has none.
type Fault struct {
	// Status is the status of every answer; no call has an effect.
	Status int
	// Hang leaves every call, including waiting feeds, without an answer until
	// its caller disconnects.
	Hang bool
	// LoseWriteAnswers applies writes and closes the connection without an answer.
	LoseWriteAnswers bool
	// SilentFeeds makes feeds that are opened now receive no changes while they wait.
	SilentFeeds bool
}

// Store is the stand-in.
type Store struct {
	server    *httptest.Server
	startedAt time.Time

	mu    sync.Mutex
	fault Fault
	rows  map[string]Row
	// keys holds the sorted keys of the parts that have been listed, see list.
	keys    map[string][]string
	history []Row
	// dropped is the newest version that the history no longer contains.
	dropped uint64
	ver     uint64
	changed chan struct{}
	calls   int
	views   []*httptest.Server
}

// New starts a store on a free port.
func New() *Store {
	s := &Store{
		startedAt: time.Now(),
		rows:      map[string]Row{},
		keys:      map[string][]string{},
		changed:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	s.server = httptest.NewServer(s.injectFaults(mux))
	return s
}

// View opens a further address of the store, where the values of rows are read as rewrite
// returns them, and returns its host:port.
func (s *Store) View(rewrite func(table, key string, value []byte) []byte) string {
	view := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.server.Config.Handler.ServeHTTP(viewWriter{
			ResponseWriter: w,
			rewrite:        rewrite,
		}, r)
	}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views = append(s.views, view)
	return strings.TrimPrefix(view.URL, "http://")
}

// viewWriter is the response writer of a view.
type viewWriter struct {
	http.ResponseWriter
	rewrite func(table, key string, value []byte) []byte
}

// Unwrap returns the writer for http.ResponseController.
func (w viewWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Close stops the store.
func (s *Store) Close() {
	for _, server := range append(s.views, s.server) {
		server.CloseClientConnections()
		server.Close()
	}
}

// Address returns host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// SetFault replaces the faults.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row, as the operator or a replica does.
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

// DropHistory drops the history of changes; feeds that start at an older version
// are answered with 410 Gone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.dropped = s.ver
}

// injectFaults applies the active faults before a handler runs.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		if fault.Hang {
			// net/http detects that a caller disconnects only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if fault.Status != 0 {
			w.WriteHeader(fault.Status)
			return
		}
		if fault.LoseWriteAnswers && r.Method == http.MethodPost {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// apply changes one row in a transaction of its own; the caller holds the lock.
func (s *Store) apply(r Row) {
	s.ver++
	s.change(r)
}

// change changes one row in the newest transaction; the caller holds the lock.
func (s *Store) change(r Row) {
	r.Ver = s.ver
	name := rowKey(r.Table, r.Part, r.Key)
	if _, known := s.rows[name]; !known || r.Deleted {
		delete(s.keys, rowKey(r.Table, r.Part, ""))
	}
	s.rows[name] = r
	if r.Deleted {
		delete(s.rows, name)
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table's part, by key; the caller holds the lock. The order is kept
// until a row is added or removed: hundreds of nodes read thousands of rows at their start.
func (s *Store) list(table, part string) []Row {
	name := rowKey(table, part, "")
	keys, ok := s.keys[name]
	if !ok {
		for _, r := range s.rows {
			if r.Table == table && r.Part == part {
				keys = append(keys, r.Key)
			}
		}
		slices.Sort(keys)
		s.keys[name] = keys
	}
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[name+key]
	}
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
	var current []Row
	conditionsMet := true
	for _, c := range tx.ExpectedRev {
		row := s.rows[rowKey(c.Table, c.Part, c.Key)]
		conditionsMet = conditionsMet && row.Ver == c.Ver
		if row.Ver != 0 {
			current = append(current, row)
		}
	}
	if !conditionsMet {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range tx.Put {
		s.change(Row{
			Table: p.Table,
			Part:  p.Part,
			Key:   p.Key,
			Value: p.Value,
		})
	}
	for _, n := range tx.Remove {
		s.change(Row{
			Table:   n.Table,
			Part:    n.Part,
			Key:     n.Key,
			Deleted: true,
		})
	}
	s.answer(w, http.StatusOK, nil, false)
}

// pageRows is the maximum number of rows in one answer.
const pageRows = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	rows, truncated := s.page(query)
	current := s.current(rows, truncated)
	s.mu.Unlock()
	s.write(w, http.StatusOK, current)
}

// page returns the rows of one answer, and whether there are more; the caller holds the lock.
func (s *Store) page(query url.Values) ([]Row, bool) {
	limit := pageRows
	if requested, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, requested)
	}
	var rows []Row
	for _, row := range s.list(query.Get("table"), query.Get("part")) {
		if row.Key < query.Get("from") || query.Get("to") != "" && row.Key >= query.Get("to") {
			continue
		}
		rows = append(rows, row)
	}
	return rows[:min(limit, len(rows))], len(rows) > limit
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseUint(query.Get("sinceRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	silent := s.fault.SilentFeeds
	for {
		if since < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.changesAfter(query.Get("table"), since)
		if len(rows) > 0 && !silent {
			current := s.current(rows, false)
			s.mu.Unlock()
			s.write(w, http.StatusOK, current)
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
			if silent {
				s.answerSilentFeed(w, since)
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

// changesAfter returns the changes of a table after a version; the caller holds the lock.
func (s *Store) changesAfter(table string, since uint64) []Row {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > since })
	var rows []Row
	for _, r := range s.history[first:] {
		if r.Table == table {
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

// answer writes an answer with rows; the caller holds the lock.
func (s *Store) answer(w http.ResponseWriter, status int, rows []Row, truncated bool) {
	s.write(w, status, s.current(rows, truncated))
}

// current returns an answer with rows and the present version; the caller holds the lock.
func (s *Store) current(rows []Row, truncated bool) answer {
	return answer{
		Rows:      rows,
		Truncated: truncated,
		Ver:       s.ver,
		NowMs:     s.now(),
	}
}

// answerSilentFeed answers a feed without changes and with the version from which
// it started; the caller holds the lock.
func (s *Store) answerSilentFeed(w http.ResponseWriter, since uint64) {
	s.write(w, http.StatusOK, answer{
		Ver:   since,
		NowMs: s.now(),
	})
}

// clockStart is the reading of the store's monotonic clock at its start, in
// milliseconds.
const clockStart = 50_000

func (s *Store) now() int64 { return clockStart + time.Since(s.startedAt).Milliseconds() }

func (s *Store) write(w http.ResponseWriter, status int, a answer) {
	if view, ok := w.(viewWriter); ok {
		a.Rows = slices.Clone(a.Rows)
		for i, row := range a.Rows {
			a.Rows[i].Value = view.rewrite(row.Table, row.Key, row.Value)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		// The caller has disconnected.
		return
	}
}
