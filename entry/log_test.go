package entry_test

import (
	"slices"
	"strings"
	"sync"
)

// logBuffer collects the log of an instance.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// count returns how often the log contains a text.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// maxTail is the length of the end of a log that a failed test shows, in bytes.
const maxTail = 8 << 10

func (l *logBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := l.text.String()
	return text[max(0, len(text)-maxTail):]
}

// lines returns the lines that contain one of some texts.
func (l *logBuffer) lines(texts ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found strings.Builder
	for line := range strings.Lines(l.text.String()) {
		if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
			found.WriteString(line)
		}
	}
	return found.String()
}
