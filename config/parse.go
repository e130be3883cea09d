package config

import (
	"fmt"

	"zinniamast/strictjson"
)

// Parse decodes a configuration strictly and checks it. The error names the line or
// the paths of invalid values and describes valid ones.
func Parse(raw []byte) (*Config, error) {
	parsed := &Config{}
	if err := strictjson.Decode(raw, parsed); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := parsed.Check(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// Organisation returns the name of the organisation with the given hex SHA-256 key
// hash, or "".
func (c *Config) Organisation(keyHash string) string {
	for _, organisation := range c.Organisations {
		for _, hash := range organisation.KeyHashes {
			if hash == keyHash {
				return organisation.Name
			}
		}
	}
	return ""
}
