package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/config"
)

const (
	hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

// validConfig is a valid configuration into which the tests introduce errors.
const validConfig = `{
  "defaults": {"deadline": "90s"},
  "exceptions": [
    {"match": {"organisation": "north", "class": "bulk"}, "set": {"share": 2}, "reason": "agreed in March"}
  ],
  "organisations": [{"name": "north", "key_hashes": ["` + hashA + `"]}],
  "models": [{"name": "drafts"}],
  "services": [{"name": "booking", "calls": [{"method": "GET", "path": "/racks", "idempotent": true}], "lookup_path": "/keys/{key}"}]
}`

// Each operator mistake must be reported with its line or path and with a valid
// alternative. A mistake that is accepted would be in force on every node within
// seconds.
func TestCheckReportsLocation(t *testing.T) {
	_, err := config.Parse([]byte(validConfig))
	is.New(t).NoErr(err)
	cases := []struct{ name, old, new, path, hint string }{
		{name: "unknown field", old: `"deadline"`, new: `"dead_line"`, path: "line 2", hint: "dead_line"},
		{name: "bad unit", old: `"90s"`, new: `"90 sec"`, path: "line 2", hint: "ms, s, m or h"},
		{name: "text after the end", old: "lookup_path\": \"/keys/{key}\"}]\n}", new: "lookup_path\": \"/keys/{key}\"}]\n}{}", path: "line 9", hint: "after the end"},
		{name: "out of range", old: `"90s"`, new: `"25h"`, path: "defaults.deadline", hint: "1ms to 24h"},
		{name: "range in exception", old: `"share": 2`, new: `"share": 0`, path: "exceptions[0].set.share", hint: "0.001 to"},
		{name: "empty set", old: `{"share": 2}`, new: `{}`, path: "exceptions[0].set", hint: "name a field"},
		{name: "no reason", old: `agreed in March`, new: ` `, path: "exceptions[0].reason", hint: "write why"},
		{name: "matches everything", old: `{"organisation": "north", "class": "bulk"}`, new: `{}`, path: "exceptions[0].match", hint: "change defaults"},
		{name: "unknown organisation", old: `"organisation": "north"`, new: `"organisation": "nord"`, path: "exceptions[0].match.organisation", hint: `known are "north"`},
		{name: "unknown class", old: `"class": "bulk"`, new: `"class": "low"`, path: "exceptions[0].match.class", hint: `"urgent", "normal", "bulk"`},
		{name: "unknown model", old: `"class": "bulk"`, new: `"model": "draft"`, path: "exceptions[0].match.model", hint: `known are "drafts"`},
		{name: "unknown service", old: `"class": "bulk"`, new: `"service": "drafts"`, path: "exceptions[0].match.service", hint: `known are "booking"`},
		{name: "model and service", old: `"class": "bulk"`, new: `"service": "booking", "model": "drafts"`, path: "exceptions[0].match", hint: "name one of them"},
		{name: "same match twice", old: `"agreed in March"}`, new: `"x"}, {"match": {"organisation": "north", "class": "bulk"}, "set": {"share": 3}, "reason": "y"}`, path: "exceptions[1]", hint: "merge"},
		{name: "organisation twice", old: `"organisations": [`, new: `"organisations": [{"name": "north", "key_hashes": []}, `, path: "organisations[1].name", hint: "organisations[0].name already"},
		{name: "key of two organisations", old: `"organisations": [`, new: `"organisations": [{"name": "south", "key_hashes": ["` + hashA + `"]}, `, path: "organisations[1].key_hashes[0]", hint: "belongs to one"},
		{name: "key instead of its hash", old: hashA, new: "secret", path: "organisations[0].key_hashes[0]", hint: "64 lower-case hex digits"},
		{name: "service named as a model", old: `"booking"`, new: `"drafts"`, path: "services[0].name", hint: "models[0].name already"},
		{name: "empty name", old: `"drafts"`, new: `""`, path: "models[0].name", hint: "letters"},
		{name: "relative call", old: `"/racks"`, new: `"racks"`, path: "services[0].calls[0].path", hint: "/racks"},
		{name: "method in small letters", old: `"GET"`, new: `"get"`, path: "services[0].calls[0].method", hint: `"GET"`},
		{name: "call twice", old: `"calls": [`, new: `"calls": [{"method": "GET", "path": "/racks", "idempotent": false}, `, path: "services[0].calls[1]", hint: "calls[0]"},
		{name: "no machine class", old: `"models": [`, new: `"capacity": {"classes": []}, "models": [`, path: "capacity.classes", hint: "at least one"},
		{name: "class without speed", old: `"models": [`, new: `"capacity": {"classes": [{"name": "small"}]}, "models": [`, path: "capacity.classes[0].tokens_a_second", hint: "above 0"},
		{name: "headroom below one", old: `"models": [`, new: `"capacity": {"classes": [{"name": "small", "tokens_a_second": 400}], "headroom": 0.9}, "models": [`, path: "capacity.headroom", hint: "1.1 keeps"},
		{name: "negative minimum", old: `{"name": "drafts"}`, new: `{"name": "drafts", "min_tokens_a_second": -1}`, path: "models[0].min_tokens_a_second", hint: "below 0"},
		{name: "lookup without key", old: `/keys/{key}`, new: `/keys`, path: "services[0].lookup_path", hint: "{key}"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			check.True(strings.Contains(validConfig, c.old))
			_, err := config.Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
			check.True(err != nil)
			check.True(strings.Contains(err.Error(), c.path+":"))
			check.True(strings.Contains(err.Error(), c.hint))
		})
	}
}

// GET /racks is marked idempotent. A request that makes a booking at /racks-orders,
// or that leaves /racks through dot segments, must not be treated as idempotent and
// repeated.
func TestIdempotentEndsAtPathBoundaries(t *testing.T) {
	service := config.Service{
		Calls: []config.Call{{
			Method:     "GET",
			Path:       "/racks",
			Idempotent: true,
		}},
	}
	cases := map[string]bool{
		"/racks": true, "/racks/7": true, "/racks?free=1": true, "/racks/": true, "/racks/a%20b": true,
		"/racks-orders": false, "/racksorders/1": false, "/": false, "": false,
		"/racks/../orders": false, "/racks/%2e%2E/orders": false, "/racks%2f..%2forders": false, "/racks/..": false,
	}
	for path, want := range cases {
		if got := service.Idempotent("GET", path); got != want {
			t.Errorf("GET %s: idempotent %v, want %v", path, got, want)
		}
	}
	is.New(t).True(!service.Idempotent("POST", "/racks"))
}

// A diff must show which values change, and a change that would refuse all traffic
// or leave an offered model or service without an upstream must cause a warning.
func TestDiffAndWarnings(t *testing.T) {
	check := is.New(t)
	parse := func(raw string) *config.Config {
		parsed, err := config.Parse([]byte(raw))
		check.NoErr(err)
		return parsed
	}
	before := parse(validConfig)
	fleet := config.Fleet{
		Upstreams:      map[string]int{"drafts": 3, "booking": 1},
		FailureDomains: []string{"a", "b"},
	}
	check.Equal(len(config.Warnings(before, before, fleet)), 0)
	cases := []struct{ name, old, new, diff, warning string }{
		{name: "deadline", old: `"90s"`, new: `"5m"`, diff: `~ defaults.deadline: "1m30s" -> "5m0s"`},
		{name: "new organisation in front", old: `"organisations": [`, new: `"organisations": [{"name": "a", "key_hashes": ["` + hashB + `"]}, `, diff: "+ organisations[a]"},
		{name: "last key removed", old: `"` + hashA + `"`, new: ``, diff: "- organisations[north].key_hashes", warning: "every request"},
		{name: "served model withdrawn", old: `{"name": "drafts"}`, new: ``, diff: "- models[drafts]", warning: "3 upstreams"},
		{name: "renamed out of service", old: `"drafts"`, new: `"other"`, diff: "+ models[other]", warning: "3 upstreams"},
		{name: "deadline below first token target", old: `"90s"`, new: `"100ms"`, diff: "~ defaults.deadline", warning: "first token target"},
		{name: "unknown domain", old: `"class": "bulk"`, new: `"failure_domain": "c"`, diff: "exceptions[0].match.failure_domain", warning: `known are "a", "b"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			after := parse(strings.Replace(validConfig, c.old, c.new, 1))
			var lines []string
			for _, change := range config.Diff(before, after) {
				lines = append(lines, change.String())
			}
			check.True(strings.Contains(strings.Join(lines, "\n"), c.diff))
			warnings := strings.Join(config.Warnings(before, after, fleet), "\n")
			check.True((warnings == "") == (c.warning == ""))
			check.True(strings.Contains(warnings, c.warning))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"exceptions":[{}]}`))
	f.Add([]byte(`{"defaults":{"max_body":"9223372036854775807KiB"}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := config.Parse(raw)
		if err != nil {
			return
		}
		if len(config.Diff(parsed, parsed)) != 0 {
			t.Fatal("diff of a configuration with itself is not empty")
		}
	})
}
