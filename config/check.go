package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"zinniamast/request"
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// namePattern matches valid names of organisations, models, services and instance
// classes.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$`)

var classNames = []string{string(request.ClassUrgent), string(request.ClassNormal), string(request.ClassBulk)}

// problems collects configuration errors, each with its path.
type problems []error

func (p *problems) add(path, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
}

// Check returns an error with one line for each invalid value of a parsed
// configuration. Each line names the path and describes a valid value.
func (c *Config) Check() error {
	var p problems
	p.checkPolicy("defaults", &c.Defaults)
	p.checkOrganisations(c.Organisations)
	p.checkOfferings(c)
	p.checkCapacity(c)
	for i := range c.Exceptions {
		p.checkException(c, i)
	}
	return errors.Join(p...)
}

// checkName checks that a name is valid and unique.
func (p *problems) checkName(path, value string, seen map[string]string) {
	if !namePattern.MatchString(value) {
		p.add(path, "%q is no name; write letters, digits and . _ : / @ -, at most 128, beginning with a letter or digit", value)
		return
	}
	if first, ok := seen[value]; ok {
		p.add(path, "%q stands at %s already; names are unique", value, first)
		return
	}
	seen[value] = path
}

func (p *problems) checkOrganisations(organisations []Organisation) {
	names, hashes := map[string]string{}, map[string]string{}
	for i, organisation := range organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		p.checkName(path+".name", organisation.Name, names)
		for j, hash := range organisation.KeyHashes {
			p.checkKeyHash(fmt.Sprintf("%s.key_hashes[%d]", path, j), hash, hashes)
		}
	}
}

func (p *problems) checkKeyHash(path, hash string, seen map[string]string) {
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != keyHashBytes || hash != strings.ToLower(hash) {
		p.add(path, "is not a hash; write the SHA-256 of the key as 64 lower-case hex digits")
		return
	}
	if first, ok := seen[hash]; ok {
		p.add(path, "stands at %s already; a key belongs to one organisation", first)
		return
	}
	seen[hash] = path
}

// checkOfferings checks models and services, whose names share one namespace in the
// instance list.
func (p *problems) checkOfferings(c *Config) {
	names := map[string]string{}
	for i, model := range c.Models {
		p.checkName(fmt.Sprintf("models[%d].name", i), model.Name, names)
	}
	for i := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		p.checkName(path+".name", c.Services[i].Name, names)
		p.checkService(path, &c.Services[i])
	}
}

func (p *problems) checkService(path string, s *Service) {
	seen := map[Call]int{}
	for i, call := range s.Calls {
		path := fmt.Sprintf("%s.calls[%d]", path, i)
		if !strings.HasPrefix(call.Path, "/") {
			p.add(path+".path", "%q does not begin with /; write a path below the service's root, such as \"/racks\"", call.Path)
		}
		if call.Method != strings.ToUpper(call.Method) {
			p.add(path+".method", "%q is not a method; write it in capitals, such as %q", call.Method, strings.ToUpper(call.Method))
		}
		key := Call{
			Method: call.Method,
			Path:   call.Path,
		}
		if first, ok := seen[key]; ok {
			p.add(path, "matches what calls[%d] matches; the first one counts, so remove one", first)
			continue
		}
		seen[key] = i
	}
	if s.LookupPath != "" && (!strings.HasPrefix(s.LookupPath, "/") || !strings.Contains(s.LookupPath, "{key}")) {
		p.add(path+".lookup_path", "%q is not a lookup path; begin with / and put {key} where the key goes", s.LookupPath)
	}
}

func (p *problems) checkException(c *Config, i int) {
	path := fmt.Sprintf("exceptions[%d]", i)
	exception := &c.Exceptions[i]
	if strings.TrimSpace(exception.Reason) == "" {
		p.add(path+".reason", "is empty; write why the exception is needed")
	}
	if exception.Set == (Policy{}) {
		p.add(path+".set", "is empty; name a field to change, or remove the exception")
	}
	p.checkPolicy(path+".set", &exception.Set)
	p.checkMatch(path+".match", c, exception.Match)
	for j := range i {
		earlier := &c.Exceptions[j]
		if earlier.Match == exception.Match && sameFields(&earlier.Set, &exception.Set) {
			p.add(path, "sets what exceptions[%d] sets for the same match; merge the two", j)
		}
	}
}

// checkMatch checks that an exception can match something, but not everything.
func (p *problems) checkMatch(path string, c *Config, m Match) {
	if m == (Match{}) {
		p.add(path, "matches everything; change defaults instead")
	}
	if m.Model != "" && m.Service != "" {
		p.add(path, "matches nothing: a request is for a model or a service; name one of them")
	}
	if m.Organisation != "" && !c.hasOrganisation(m.Organisation) {
		p.add(path+".organisation", "matches nothing: there is no organisation %q; known are %s", m.Organisation, c.organisationNames())
	}
	if m.Model != "" && c.Model(m.Model) == nil {
		p.add(path+".model", "matches nothing: there is no model %q; known are %s", m.Model, c.modelNames())
	}
	if m.Service != "" && c.Service(m.Service) == nil {
		p.add(path+".service", "matches nothing: there is no service %q; known are %s", m.Service, c.serviceNames())
	}
	if m.Class != "" && !contains(classNames, m.Class) {
		p.add(path+".class", "matches nothing: there is no class %q; known are %s", m.Class, quotedList(classNames))
	}
}
