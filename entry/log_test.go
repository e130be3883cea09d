package entry_test

import (
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
