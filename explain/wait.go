package explain

import (
	"fmt"
)

// waitMessage is the message of the line that a node logs when a request has waited for a place at a
// replica, and summaryIndent aligns what it means below the messages.
const (
	waitMessage   = "request has waited"
	summaryIndent = 24
)

// describeWait says in words how long a request waited, where it stood in the queue and what went
// ahead of it; empty if the line is not about a wait.
func (l *Line) describeWait() string {
	if l.Message != waitMessage || l.value("position") == "" {
		return ""
	}
	return fmt.Sprintf("waited %s from position %s: %s of more urgent classes, %s of its organisation and %s of others in its class were before it; "+
		"%s more urgent, %s of its class and %s less urgent requests began at replicas meanwhile",
		l.value("waited"), l.value("position"), l.value("ahead_urgent"), l.value("ahead_own"), l.value("ahead_others"),
		l.value("begun_urgent"), l.value("begun_same"), l.value("begun_deferred"))
}
