package checker

import (
	"fmt"
	"strings"
)

// Compare describes how an answer differs from the expected one. It returns ""
// if they are equal.
func Compare(expected, got string) string {
	if expected == got {
		return ""
	}
	at := commonPrefix(expected, got)
	rest := got[at:]
	switch {
	case rest == "":
		return fmt.Sprintf("the answer is cut short after byte %d of %d", at, len(expected))
	case at == len(expected):
		return fmt.Sprintf("the answer goes on for %d bytes after its end", len(rest))
	case doubled(expected, got, at):
		return fmt.Sprintf("tokens are doubled at byte %d", at)
	case strings.HasSuffix(expected, rest):
		return fmt.Sprintf("tokens are missing at byte %d", at)
	default:
		return fmt.Sprintf("the answer is a mixture from byte %d on", at)
	}
}

// doubled reports whether the text after the common prefix repeats an earlier
// part of the expected answer and then continues to its end.
func doubled(expected, got string, at int) bool {
	return len(got) > len(expected) && strings.HasSuffix(expected, got[len(got)-(len(expected)-at):]) &&
		strings.Contains(expected, got[at:len(got)-(len(expected)-at)])
}

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
