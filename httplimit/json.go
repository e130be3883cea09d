package httplimit

import (
	"encoding/json"
	"errors"
	"io"
)

// errTrailingText means that more than white space follows the value in an answer's body.
var errTrailingText = errors.New("text after the end of the value")

// DecodeJSON decodes the only value in the body of an answer, and reads the body to its end, as only the end
// shows whether the answer has come whole.
func DecodeJSON(body io.Reader, result any) error {
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(result); err != nil {
		return err
	}
	switch _, err := decoder.Token(); {
	case err == nil:
		return errTrailingText
	case err != io.EOF:
		return err
	}
	return nil
}
