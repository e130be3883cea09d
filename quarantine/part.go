package quarantine

import "strconv"

// Part identifies a part of a prompt, as callers name it.
type Part uint64

// String formats the part in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
