package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"zinniamast/strictjson"
)

// Duration is a time.Duration written as a string with its unit, such as "400ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return newValueError(raw, "%s is not a duration; write a string with a unit, such as \"400ms\"", raw)
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		return newValueError(raw, "%q is not a duration; write a number with ms, s, m or h, such as \"400ms\"", text)
	}
	*d = Duration(value)
	return nil
}

// Size is a number of bytes written as a string with its unit, such as "4MiB".
type Size int64

// sizeUnits are tried in order, so that "MiB" is matched before "B".
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{suffix: "KiB", bytes: 1 << 10},
	{suffix: "MiB", bytes: 1 << 20},
	{suffix: "GiB", bytes: 1 << 30},
	{suffix: "B", bytes: 1},
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s), 10) + "B"), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Size) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return newValueError(raw, "%s is not a size; write a string with a unit, such as \"4MiB\"", raw)
	}
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || count < 0 || count > (1<<62)/unit.bytes {
			break
		}
		*s = Size(count * unit.bytes)
		return nil
	}
	return newValueError(raw, "%q is not a size; write a whole number with B, KiB, MiB or GiB, such as \"4MiB\"", text)
}

func newValueError(raw []byte, format string, args ...any) error {
	return &strictjson.ValueError{
		Raw:     raw,
		Message: fmt.Sprintf(format, args...),
	}
}
