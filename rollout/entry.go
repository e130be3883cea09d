package rollout

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strings"
	"time"

	"zinniamast/config"
)

// Bounds on the size of an entry.
const (
	maxRawBytes        = 4 << 20
	maxChanges         = 50
	maxChangeTextBytes = 200
	maxWhyTextBytes    = 1000
)

// Entry is one accepted version of the configuration and its record in the
// history.
type Entry struct {
	// Number increases by one with each accepted change.
	Number uint64 `json:"number"`
	// Token distinguishes two writers that claim the same number.
	Token string `json:"token"`
	// Who and Why are given by the operator; When is the time of the change.
	Who  string    `json:"who"`
	Why  string    `json:"why"`
	When time.Time `json:"when"`
	// Changes are the differences from the previous version, at most 50.
	Changes []config.Change `json:"changes,omitempty"`
	// Omitted is the number of changes beyond that limit.
	Omitted int `json:"omitted,omitempty"`
	// Exceptions are the configured exceptions with their reasons.
	Exceptions []string `json:"exceptions,omitempty"`
	// Packed is the gzip-compressed configuration as the operator wrote it;
	// history items omit it.
	Packed []byte `json:"packed,omitempty"`
}

// Raw returns the configuration as the operator wrote it.
func (e *Entry) Raw() ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(e.Packed))
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", e.Number, err)
	}
	raw, err := io.ReadAll(io.LimitReader(reader, maxRawBytes))
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", e.Number, err)
	}
	return raw, nil
}

func pack(raw []byte) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(raw)
	_ = writer.Close()
	return packed.Bytes()
}

// describe sets the fields that the history shows.
func (e *Entry) describe(before, after *config.Config) {
	changes := config.Diff(before, after)
	e.Omitted = max(0, len(changes)-maxChanges)
	for _, change := range changes[:min(len(changes), maxChanges)] {
		change.Before = truncate(change.Before, maxChangeTextBytes)
		change.After = truncate(change.After, maxChangeTextBytes)
		e.Changes = append(e.Changes, change)
	}
	for _, exception := range after.Exceptions[:min(len(after.Exceptions), maxChanges)] {
		e.Exceptions = append(e.Exceptions, matchText(exception.Match)+": "+truncate(exception.Reason, maxChangeTextBytes))
	}
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "") + "…"
}

func matchText(m config.Match) string {
	var parts []string
	for _, field := range [][2]string{
		{"organisation", m.Organisation}, {"model", m.Model}, {"service", m.Service},
		{"failure_domain", m.FailureDomain}, {"class", m.Class},
	} {
		if field[1] != "" {
			parts = append(parts, field[0]+"="+field[1])
		}
	}
	return strings.Join(parts, " ")
}
