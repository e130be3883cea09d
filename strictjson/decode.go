// Package strictjson decodes JSON that an operator wrote and says where and
// how it is wrong.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode fills target from raw; an unknown field, one given twice, or trailing
// text is an error that names its line.
func Decode(raw []byte, target any) error {
	if err := unique(raw); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("line %d: %w", line(raw, offset(err, raw, decoder)), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("line %d: text after the end of the document", line(raw, decoder.InputOffset()))
	}
	return nil
}

// unique refuses a field that is given twice, at any depth, with its path.
//
// Failure: encoding/json silently takes the last of two. An operator who pastes
// a second "defaults" beside the first changes the whole fleet without a word.
// What is no JSON at all is left to the decoder, which says so.
func unique(raw []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	path, err := twice(decoder)
	if path == "" || err != nil {
		return nil
	}
	return fmt.Errorf("line %d: %s is given twice", line(raw, decoder.InputOffset()), path)
}

// twice returns the path of the first field of the next value that is given twice.
func twice(decoder *json.Decoder) (string, error) {
	token, err := decoder.Token()
	if err != nil {
		return "", err
	}
	switch token {
	case json.Delim('{'):
		return twiceInObject(decoder)
	case json.Delim('['):
		return twiceInArray(decoder)
	default:
		return "", nil
	}
}

func twiceInObject(decoder *json.Decoder) (string, error) {
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
		path, err := twice(decoder)
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

func twiceInArray(decoder *json.Decoder) (string, error) {
	for i := 0; decoder.More(); i++ {
		path, err := twice(decoder)
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

// offset returns where in the input an error stands, as well as it tells.
func offset(err error, raw []byte, decoder *json.Decoder) int64 {
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
		return find(raw, value.Raw)
	}
	if field, found := strings.CutPrefix(err.Error(), unknownField); found {
		return find(raw, []byte(field))
	}
	return decoder.InputOffset()
}

// unknownField begins encoding/json's error for a field that is not known,
// which has no type; the field follows in quotes.
const unknownField = "json: unknown field "

// ValueError is what an UnmarshalJSON method returns for a value it does not
// take, so that the value's line can be named.
type ValueError struct {
	// Raw is the value as it stands in the input.
	Raw []byte
	// Message says what is wrong and what would be right.
	Message string
}

// Error implements error.
func (e *ValueError) Error() string { return e.Message }

// find returns the first place of a piece of the input; encoding/json gives
// none for errors of these kinds.
func find(raw, piece []byte) int64 { return int64(max(bytes.Index(raw, piece), 0)) }

// line returns the number of the line at an offset, from 1.
func line(raw []byte, offset int64) int {
	offset = min(offset, int64(len(raw)))
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}
