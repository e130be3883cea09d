package config

import (
	"slices"
	"strconv"
	"strings"
)

func contains(names []string, name string) bool { return slices.Contains(names, name) }

// quotedList formats names for a message.
func quotedList(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, strconv.Quote(name))
	}
	return strings.Join(quoted, ", ")
}

func (c *Config) hasOrganisation(name string) bool {
	return slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Name == name })
}

func (c *Config) organisationNames() string {
	var names []string
	for _, organisation := range c.Organisations {
		names = append(names, organisation.Name)
	}
	return quotedList(names)
}

func (c *Config) modelNames() string {
	var names []string
	for _, model := range c.Models {
		names = append(names, model.Name)
	}
	return quotedList(names)
}

func (c *Config) serviceNames() string {
	var names []string
	for _, service := range c.Services {
		names = append(names, service.Name)
	}
	return quotedList(names)
}
