package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Change is one difference between two configurations.
type Change struct {
	// Path is the path of the field; list entries that have a name appear under it.
	Path string `json:"path"`
	// Before and After are the JSON values, empty if the field does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the differences between two configurations, sorted by path.
func Diff(before, after *Config) []Change {
	first, second := map[string]string{}, map[string]string{}
	flatten(first, "", toJSONValue(before))
	flatten(second, "", toJSONValue(after))
	paths := map[string]bool{}
	for path := range first {
		paths[path] = true
	}
	for path := range second {
		paths[path] = true
	}
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if first[path] != second[path] {
			changes = append(changes, Change{
				Path:   path,
				Before: first[path],
				After:  second[path],
			})
		}
	}
	return changes
}

// toJSONValue returns a configuration as generic JSON values; a nil configuration
// becomes an empty object.
func toJSONValue(c *Config) any {
	if c == nil {
		return map[string]any{}
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return map[string]any{}
	}
	var value any
	_ = json.Unmarshal(raw, &value)
	return value
}

// flatten adds the JSON of each leaf under its path.
func flatten(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for field, inner := range v {
			flatten(leaves, join(path, field), inner)
		}
	case []any:
		for i, inner := range v {
			flatten(leaves, fmt.Sprintf("%s[%s]", path, entryLabel(inner, i)), inner)
		}
	case nil:
	default:
		raw, _ := json.Marshal(v)
		leaves[path] = string(raw)
	}
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// entryLabel returns the name of a list entry, or its index if it has none. With
// names, an entry inserted before others is a single change instead of one for each
// entry that moved.
func entryLabel(value any, i int) string {
	if fields, ok := value.(map[string]any); ok {
		if name, ok := fields["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
