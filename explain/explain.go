// Package explain reconstructs the history of one request from the logs of
// several nodes.
package explain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ErrRequestNotFound means that no log line has the request's ID.
var ErrRequestNotFound = errors.New("no line names this request")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a log line about a request.
type Line struct {
	// Source is the name of the log that contains the line.
	Source string
	// Time is the node's time stamp, its estimate of true time.
	Time time.Time
	// Message names the event, and Fields are its attributes in the order logged.
	Message string
	Fields  []Field
}

// Field is a key with its value.
type Field struct {
	Key   string
	Value string
}

// Read appends the log lines of the request to lines. It skips text that is not a
// log line, since the output of a process contains other text too.
func Read(lines []Line, source string, log io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, request) {
			continue
		}
		line, ok := parse(text)
		if !ok || line.value("request") != request {
			continue
		}
		line.Source = source
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, fmt.Errorf("explain: %s: %w", source, err)
	}
	return lines, nil
}

func (l *Line) value(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// parse reads the key=value pairs of a line from the first "time=" on. Text before
// it is ignored.
func parse(text string) (Line, bool) {
	var line Line
	at := strings.Index(text, "time=")
	if at < 0 {
		return line, false
	}
	rest := text[at:]
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		value, rest = cutValue(after)
		switch key {
		case "time":
			parsed, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line, false
			}
			line.Time = parsed
		case "msg":
			line.Message = value
		case "level":
		default:
			line.Fields = append(line.Fields, Field{
				Key:   key,
				Value: value,
			})
		}
	}
	return line, line.Message != ""
}

// cutValue returns the first value of text, quoted or not, and the text after it.
func cutValue(text string) (value, rest string) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return strings.ReplaceAll(text[1:i], `\"`, `"`), strings.TrimPrefix(text[i+1:], " ")
		}
	}
	return text, ""
}

// Write prints the lines of a request in the order of their time stamps.
func Write(out io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		return ErrRequestNotFound
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	first := lines[0].Time
	if _, err := fmt.Fprintf(out, "request %s, from %s\n", request, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, line := range lines {
		fields := make([]string, 0, len(line.Fields))
		for _, field := range line.Fields {
			if field.Key != "request" {
				fields = append(fields, field.Key+"="+field.Value)
			}
		}
		row := fmt.Sprintf("%+9.3fs  %-12s %-14s %s", line.Time.Sub(first).Seconds(), line.Source,
			line.Message, strings.Join(fields, " "))
		if _, err := fmt.Fprintln(out, strings.TrimRight(row, " ")); err != nil {
			return err
		}
		if wait := line.describeWait(); wait != "" {
			if _, err := fmt.Fprintf(out, "%*s%s\n", summaryIndent, "", wait); err != nil {
				return err
			}
		}
	}
	return nil
}
