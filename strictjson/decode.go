// Package strictjson decodes JSON written by operators and reports the line and
// the cause of each error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode decodes raw into target. An unknown field, a duplicate field or trailing
// text is an error that names its line.
func Decode(raw []byte, target any) error {
	if err := rejectDuplicateFields(raw); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("line %d: %w", lineNumber(raw, errorOffset(err, raw, decoder)), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: text after the end of the document", lineNumber(raw, decoder.InputOffset()))
	}
	return nil
}

// rejectDuplicateFields returns an error with the path of the first field that
// occurs twice, at any depth.
//
// encoding/json silently uses the last of two values, so an operator who pastes a
// second "defaults" next to the first would change the whole fleet without a
// warning. Invalid JSON is left to the decoder, which reports it.
func rejectDuplicateFields(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	path, err := duplicateField(decoder)
	if path == "" || err != nil {
		return nil
	}
	return fmt.Errorf("line %d: %s is given twice", lineNumber(raw, decoder.InputOffset()), path)
}

// duplicateField returns the path of the first duplicate field in the next value,
// or an empty string if there is none.
func duplicateField(decoder *json.Decoder) (string, error) {
	token, err := decoder.Token()
	if err != nil {
		return "", err
	}
	switch token {
	case json.Delim('{'):
		return duplicateInObject(decoder)
	case json.Delim('['):
		return duplicateInArray(decoder)
	default:
		return "", nil
	}
}

func duplicateInObject(decoder *json.Decoder) (string, error) {
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return "", err
		}
		name, _ := token.(string)
		if seen[name] {
			return name, nil
		}
		seen[name] = true
		path, err := duplicateField(decoder)
		if err != nil {
			return "", err
		}
		if path != "" {
			return name + "." + path, nil
		}
	}
	_, err := decoder.Token()
	return "", err
}

func duplicateInArray(decoder *json.Decoder) (string, error) {
	for i := 0; decoder.More(); i++ {
		path, err := duplicateField(decoder)
		if err != nil {
			return "", err
		}
		if path != "" {
			return fmt.Sprintf("[%d].%s", i, path), nil
		}
	}
	_, err := decoder.Token()
	return "", err
}

// errorOffset returns the offset in the input at which an error occurred, as far as
// the error provides it.
func errorOffset(err error, raw []byte, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return kind.Offset
	}
	var value *ValueError
	if errors.As(err, &value) {
		return indexOf(raw, value.Raw)
	}
	if field, found := strings.CutPrefix(err.Error(), unknownFieldPrefix); found {
		return indexOf(raw, []byte(field))
	}
	return decoder.InputOffset()
}

// unknownFieldPrefix is the start of the error text of encoding/json for an unknown
// field, followed by the quoted field; encoding/json has no error type for it.
const unknownFieldPrefix = "json: unknown field "

// ValueError is returned by UnmarshalJSON methods for a value that they reject, so
// that Decode can report the line of the value.
type ValueError struct {
	// Raw is the value as written in the input.
	Raw []byte
	// Message describes the error and a valid value.
	Message string
}

// Error implements error.
func (e *ValueError) Error() string { return e.Message }

// indexOf returns the offset of the first occurrence of piece in the input, or 0;
// encoding/json provides no offset for these kinds of errors.
func indexOf(raw, piece []byte) int64 { return int64(max(bytes.Index(raw, piece), 0)) }

// lineNumber returns the number of the line at an offset, counted from 1.
func lineNumber(raw []byte, offset int64) int {
	offset = min(offset, int64(len(raw)))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}
