package config

import (
	"strings"
	"time"
)

// EffectivePolicy is a policy in which every field has a value.
type EffectivePolicy struct {
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
	Deadline            time.Duration
	MaxTokens           int
	MaxBody             int64
	MaxAttempts         int
	RetryBudget         float64
	Share               float64
	QuarantineAfter     int
	ReclaimableFraction float64
}

// builtinDefaults applies to fields that the configured defaults leave out.
var builtinDefaults = EffectivePolicy{
	FirstTokenTarget:    400 * time.Millisecond,
	BetweenTokensTarget: 48 * time.Millisecond,
	Deadline:            2 * time.Minute,
	MaxTokens:           4096,
	MaxBody:             4 << 20,
	MaxAttempts:         6,
	RetryBudget:         0.1,
	Share:               1,
	QuarantineAfter:     2,
	ReclaimableFraction: 0.67,
}

// Resolve returns the effective policy for the names given in where.
func (c *Config) Resolve(where Match) EffectivePolicy {
	effective := builtinDefaults
	effective.apply(&c.Defaults)
	for i := range c.Exceptions {
		exception := &c.Exceptions[i]
		if exception.Match.matches(where) {
			effective.apply(&exception.Set)
		}
	}
	return effective
}

// matches reports whether every non-empty field of the match equals that of where.
func (m Match) matches(where Match) bool {
	return matchesName(m.Organisation, where.Organisation) &&
		matchesName(m.Model, where.Model) &&
		matchesName(m.Service, where.Service) &&
		matchesName(m.FailureDomain, where.FailureDomain) &&
		matchesName(m.Class, where.Class)
}

func matchesName(pattern, name string) bool { return pattern == "" || pattern == name }

// setIfPresent copies value to target unless it is nil.
func setIfPresent[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

func (e *EffectivePolicy) apply(p *Policy) {
	setIfPresent(&e.FirstTokenTarget, (*time.Duration)(p.FirstTokenTarget))
	setIfPresent(&e.BetweenTokensTarget, (*time.Duration)(p.BetweenTokensTarget))
	setIfPresent(&e.Deadline, (*time.Duration)(p.Deadline))
	setIfPresent(&e.MaxTokens, p.MaxTokens)
	setIfPresent(&e.MaxBody, (*int64)(p.MaxBody))
	setIfPresent(&e.MaxAttempts, p.MaxAttempts)
	setIfPresent(&e.RetryBudget, p.RetryBudget)
	setIfPresent(&e.Share, p.Share)
	setIfPresent(&e.QuarantineAfter, p.QuarantineAfter)
	setIfPresent(&e.ReclaimableFraction, p.ReclaimableFraction)
}

// Model returns the named model deployment, or nil.
func (c *Config) Model(name string) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// Service returns the named plain service, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Idempotent reports whether a call may be repeated. A call that matches no entry
// may not.
func (s *Service) Idempotent(method, path string) bool {
	for _, call := range s.Calls {
		if matchesName(call.Method, method) && isUnderPrefix(call.Path, path) {
			return call.Idempotent
		}
	}
	return false
}

// hasDotSegments reports whether a path contains ".." segments, including escaped
// ones.
func hasDotSegments(path string) bool {
	plain := strings.NewReplacer("%2e", ".", "%2f", "/", "%5c", "/", "\\", "/").Replace(strings.ToLower(path))
	return strings.Contains(plain+"/", "/../")
}

// isUnderPrefix reports whether a path equals the prefix or is below it. The prefix
// must end at a segment boundary: an entry for /racks must not mark /racks-orders,
// which might make a booking, as idempotent. A path with dot segments is only under
// the root, because the service may resolve it to a path outside the prefix.
func isUnderPrefix(prefix, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	if prefix == "/" || prefix == "" {
		return true
	}
	if hasDotSegments(path) {
		return false
	}
	rest, found := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return found && (rest == "" || rest[0] == '/')
}
