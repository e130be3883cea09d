// Package explain tells one request's story from the logs of several nodes.
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

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names this request")

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log that names a request.
type Line struct {
	// Source is the log that holds it.
	Source string
	// Time is true time, as the node knew it.
	Time time.Time
	// Message is what happened, and Fields are its inputs and outcome in order.
	Message string
	Fields  []Field
}

// Field is one key with its value.
type Field struct {
	Key   string
	Value string
}

// Read adds the lines of a log that name the request. Lines that are no log
// lines are passed over: process output holds others.
func Read(lines []Line, source string, log io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
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

// parse reads key=value pairs from the first "time=" on.
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

// cutValue reads one value, quoted or not, and returns what follows it.
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

// Write prints the story in the order of time.
func Write(out io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		return ErrUnknown
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
		told := fmt.Sprintf("%+9.3fs  %-12s %-14s %s", line.Time.Sub(first).Seconds(), line.Source,
			line.Message, strings.Join(fields, " "))
		if _, err := fmt.Fprintln(out, strings.TrimRight(told, " ")); err != nil {
			return err
		}
	}
	return nil
}
