package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniamast/settings"
)

const validSettings = `{
  "instance": "entry-1",
  "failure_domain": "burnaby-a",
  "listen": "127.0.0.1:8080",
  "peer_listen": "127.0.0.1:8081",
  "peers": ["127.0.0.1:9081"],
  "peer_keys": ["kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"],
  "operator_keys": ["oooooooooooooooooooooooooooooooo"],
  "stop_timeout": "20s",
  "memory_cap": "1GiB"
}`

// A node that starts with a wrong setting could join in the wrong failure domain or
// accept unauthorised peers. Each mistake must be rejected with its line or path,
// and the error must not contain a key.
func TestParseReportsLocation(t *testing.T) {
	_, err := settings.Parse([]byte(validSettings))
	is.New(t).NoErr(err)
	cases := []struct{ name, old, new, path string }{
		{name: "unknown field", old: `"peers"`, new: `"seeds"`, path: "line 6"},
		{name: "bad unit", old: `"20s"`, new: `"20"`, path: "line 9"},
		{name: "no instance", old: "entry-1", new: "", path: "instance"},
		{name: "no domain", old: "burnaby-a", new: "", path: "failure_domain"},
		{name: "no port", old: "127.0.0.1:8081", new: "127.0.0.1", path: "peer_listen"},
		{name: "peer without port", old: "127.0.0.1:9081", new: "x", path: "peers[0]"},
		{name: "short key", old: "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk", new: "kkk", path: "peer_keys[0]"},
		{name: "no operator key", old: `"oooooooooooooooooooooooooooooooo"`, new: "", path: "operator_keys"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			check := is.New(t)
			_, err := settings.Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			check.True(err != nil)
			check.True(strings.Contains(err.Error(), c.path))
			check.True(!strings.Contains(err.Error(), "kkk"))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"weight":-1}`))
	f.Add([]byte(`{"memory_cap":"1GiB"}{`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		parsed, err := settings.Parse(raw)
		if err == nil && (parsed.Instance == "" || len(parsed.PeerKeys) == 0 || len(parsed.OperatorKeys) == 0) {
			t.Fatal("accepted settings without a name or keys")
		}
	})
}
