// Package engine is a stand-in for a model engine: it speaks the
// chat-completions protocol with the extensions that zinniamast uses, answers
// deterministically and injects faults on demand.
package engine

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"zinniamast"
)

// Config sets the speed, the capacity and the models of the stand-in.
type Config struct {
	// Models are the models loaded at the start.
	Models []string
	// FirstToken is the fixed part of the time to the first token.
	FirstToken time.Duration
	// PerPromptToken is the time that each uncached prompt token adds.
	PerPromptToken time.Duration
	// BetweenTokens is the delay between tokens; zero means no delay.
	BetweenTokens time.Duration
	// Slots limits the sequences that run concurrently; zero means 64.
	Slots int
	// CacheEntries limits the entries of the prefix cache; zero means 64.
	CacheEntries int
	// KVBytesPerToken and KVBytesASecond set the duration of a KV cache
	// transfer.
	KVBytesPerToken int64
	KVBytesASecond  int64
	// ReportLag is the maximum age of a load report before it is renewed.
	ReportLag time.Duration
	// Client is the transport for pulling KV caches from other replicas; nil means the default transport.
	Client *http.Transport
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
}

const (
	defaultSlots        = 64
	defaultCacheEntries = 64
	defaultKVBytes      = 128 << 10
	defaultKVRate       = 4 << 30
)

// Faults are the faults that can be switched while the stand-in runs.
type Faults struct {
	// Down drops every connection.
	Down bool `json:"down"`
	// Leaving refuses new requests with the code "leaving".
	Leaving bool `json:"leaving"`
	// CutAfter breaks off each answer after this many tokens; zero means never.
	CutAfter int `json:"cut_after"`
	// Crossed sends answers with the ID of another attempt.
	Crossed bool `json:"crossed"`
	// Repeat sends each chunk twice.
	Repeat bool `json:"repeat"`
	// Hang accepts requests and never answers them.
	Hang bool `json:"hang"`
	// Full refuses new requests for lack of capacity.
	Full bool `json:"full"`
	// EventGap drops every second cache event.
	EventGap bool `json:"event_gap"`
}

// Counts are the counters of what the stand-in executed.
type Counts struct {
	// Started counts attempts that began to run.
	Started int `json:"started"`
	// Finished counts attempts whose answer was sent with its end marker.
	Finished int `json:"finished"`
	// PromptComputed counts prompt and resumed tokens that no cache covered.
	PromptComputed int `json:"prompt_computed"`
	// ResumeComputed counts the uncached prompt and resumed tokens of resumed
	// attempts, which are computed again.
	ResumeComputed int `json:"resume_computed"`
	// Produced counts tokens sent.
	Produced int `json:"produced"`
	// BadResumes counts attempts whose resumed tokens do not match the answer.
	BadResumes int `json:"bad_resumes"`
	// Crashes counts crashes caused by a request with the crash marker.
	Crashes int `json:"crashes"`
	// StaleOrders counts orders refused because of an old fencing number.
	StaleOrders int `json:"stale_orders"`
}

// Engine is one stand-in replica. It is an http.Handler.
type Engine struct {
	config Config

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	running map[string]*sequence
	// runs counts started attempts by the hash of their messages.
	runs      map[uint64]int
	freeSlots int
	waiting   []*waiter
	cache     *prefixCache
	exported  map[string]zinniamast.KVHandle
	imported  map[string]zinniamast.KVHandle
	models    []string
	fence     uint64
	events    []zinniamast.CacheEvent
	report    zinniamast.LoadReport
	dropped   chan struct{}
	// link is a semaphore that is held while a KV cache is being sent.
	link chan struct{}
}

// sequence is one running attempt.
type sequence struct {
	seed   uint64
	tokens int
	cancel func()
}

// New returns a stand-in engine.
func New(config Config) *Engine {
	if config.Slots == 0 {
		config.Slots = defaultSlots
	}
	if config.CacheEntries == 0 {
		config.CacheEntries = defaultCacheEntries
	}
	if config.KVBytesPerToken == 0 {
		config.KVBytesPerToken = defaultKVBytes
	}
	if config.KVBytesASecond == 0 {
		config.KVBytesASecond = defaultKVRate
	}
	return &Engine{
		config:    config,
		running:   map[string]*sequence{},
		runs:      map[uint64]int{},
		freeSlots: config.Slots,
		cache:     newPrefixCache(config.CacheEntries),
		exported:  map[string]zinniamast.KVHandle{},
		imported:  map[string]zinniamast.KVHandle{},
		models:    append([]string(nil), config.Models...),
		dropped:   make(chan struct{}),
		link:      make(chan struct{}, 1),
	}
}

// SetFaults replaces the faults; Down drops the open connections.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	if faults.Down {
		e.dropConnections()
	}
}

// Counts returns the current counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs counts the attempts that began to run, by the hash of their messages.
type Runs struct {
	// Messages holds the counts; Hash gives the keys.
	Messages map[uint64]int `json:"messages"`
}

// Runs returns the attempts started so far.
func (e *Engine) Runs() Runs {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Runs{
		Messages: maps.Clone(e.runs),
	}
}

// Running returns the number of attempts that are running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// dropConnections drops every open connection and clears the caches; the caller
// holds the lock.
func (e *Engine) dropConnections() {
	close(e.dropped)
	e.dropped = make(chan struct{})
	e.cache = newPrefixCache(e.config.CacheEntries)
	e.exported = map[string]zinniamast.KVHandle{}
	e.imported = map[string]zinniamast.KVHandle{}
}

// state returns the active faults and the channel that is closed when all
// connections are dropped.
func (e *Engine) state() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.dropped
}
