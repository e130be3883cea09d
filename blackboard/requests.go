package blackboard

import (
	"slices"
	"sync"
	"time"

	"zinniamast/request"
)

// Requests is the table of requests for which this node is responsible.
type Requests struct {
	mu    sync.Mutex
	byID  map[string]*request.Request
	byKey map[string]*request.Request
	// byFingerprint finds the original of a request that a client repeats without
	// an idempotency key.
	byFingerprint map[uint64][]*request.Request
}

// NewRequests returns an empty table.
func NewRequests() *Requests {
	return &Requests{
		byID:          map[string]*request.Request{},
		byKey:         map[string]*request.Request{},
		byFingerprint: map[uint64][]*request.Request{},
	}
}

// keyName joins organisation and key, so that organisations cannot access each
// other's requests.
func keyName(organisation, key string) string { return organisation + "\x00" + key }

// Add adds a request and returns it and true. If its ID or key is taken, it returns
// the request that holds it and false.
func (t *Requests) Add(r *request.Request) (*request.Request, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := &r.Call
	if known, ok := t.byID[call.ID]; ok {
		return known, false
	}
	if call.Key != "" {
		name := keyName(call.Organisation, call.Key)
		if known, ok := t.byKey[name]; ok {
			return known, false
		}
		t.byKey[name] = r
	}
	t.byID[call.ID] = r
	t.byFingerprint[call.Fingerprint] = append(t.byFingerprint[call.Fingerprint], r)
	return r, true
}

// Get returns a request by ID, or nil.
func (t *Requests) Get(id string) *request.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// ByKey returns the request that holds an organisation's key, or nil.
func (t *Requests) ByKey(organisation, key string) *request.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[keyName(organisation, key)]
}

// Orphan returns a request with this fingerprint to which no caller is attached and
// whose answer no caller has received, or nil.
func (t *Requests) Orphan(fingerprint uint64) *request.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.byFingerprint[fingerprint] {
		if r.Orphaned() {
			return r
		}
	}
	return nil
}

// All returns every request in the table.
func (t *Requests) All() []*request.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*request.Request, 0, len(t.byID))
	for _, r := range t.byID {
		all = append(all, r)
	}
	return all
}

// Len returns the number of requests in the table.
func (t *Requests) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}

// Remove removes a request from the table.
func (t *Requests) Remove(r *request.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(r)
}

func (t *Requests) remove(r *request.Request) {
	call := &r.Call
	if t.byID[call.ID] != r {
		return
	}
	delete(t.byID, call.ID)
	name := keyName(call.Organisation, call.Key)
	if t.byKey[name] == r {
		delete(t.byKey, name)
	}
	same := t.byFingerprint[call.Fingerprint]
	for i, other := range same {
		if other == r {
			same = append(same[:i], same[i+1:]...)
			break
		}
	}
	if len(same) == 0 {
		delete(t.byFingerprint, call.Fingerprint)
		return
	}
	t.byFingerprint[call.Fingerprint] = same
}

// endedRequest is a request that the table still holds after its end.
type endedRequest struct {
	request *request.Request
	at      time.Time
	bytes   int
}

// Sweep removes requests that ended before the given time, ended requests for which
// no caller can return, and the oldest ended requests beyond a total of maxBytes.
// It returns the number of removed requests. Without the bound on bytes, a minute
// of large prompts with keys would hold more memory than admission accounts for,
// since admission frees a request's place at its end.
func (t *Requests) Sweep(before time.Time, maxBytes int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	swept := 0
	bytes := 0
	var retained []endedRequest
	for _, r := range t.byID {
		at, wanted := r.Ended()
		if at.IsZero() {
			continue
		}
		if !wanted || at.Before(before) {
			t.remove(r)
			swept++
			continue
		}
		candidate := endedRequest{
			request: r,
			at:      at,
			bytes:   r.Bytes(),
		}
		bytes += candidate.bytes
		retained = append(retained, candidate)
	}
	slices.SortFunc(retained, func(a, b endedRequest) int { return a.at.Compare(b.at) })
	for _, candidate := range retained {
		if bytes <= maxBytes {
			break
		}
		bytes -= candidate.bytes
		t.remove(candidate.request)
		swept++
	}
	return swept
}
