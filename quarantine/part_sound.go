package quarantine

import "time"

// maxSoundParts bounds the parts of one generation of soundParts, and soundRetention its age.
const (
	maxSoundParts  = 8192
	soundRetention = 10 * time.Minute
)

// soundParts remembers when replicas last began a sound answer to a prompt with a part. It
// keeps two generations, so that it stays small whatever parts callers send, and those that
// are in use are not forgotten.
type soundParts struct {
	recent, older map[uint64]time.Time
	rotatedAt     time.Time
}

// put records that a replica began a sound answer at a time.
func (s *soundParts) put(part uint64, at time.Time) {
	now := time.Now()
	if s.recent == nil || len(s.recent) >= maxSoundParts || now.Sub(s.rotatedAt) > soundRetention {
		s.older, s.recent, s.rotatedAt = s.recent, map[uint64]time.Time{}, now
	}
	if known, ok := s.at(part); ok && known.After(at) {
		at = known
	}
	s.recent[part] = at
}

// at returns when a replica last began a sound answer; false if none is remembered.
func (s *soundParts) at(part uint64) (time.Time, bool) {
	if at, ok := s.recent[part]; ok {
		return at, true
	}
	at, ok := s.older[part]
	return at, ok
}
