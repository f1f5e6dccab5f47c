// Package lines reads INI text and knows the line of each section and key, so
// that every fault of a file can be reported at once and with its place.
package lines

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"zinniapond.example/zinniapond"
)

// keyForm excludes quotes and brackets, which the INI library would read as
// something else than a plain key.
var keyForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

type place struct{ section, key string }

// Text is INI text with the lines of its sections and keys.
type Text struct {
	File   string
	faults []zinniapond.ListFault
	// sections and keys are in the order of the text.
	sections []string
	keys     map[string][]string
	lines    map[place]int
	values   map[place]string
}

// Read reads the text. Lines that cannot be read become faults and are left
// out, so that the rest can still be checked.
func Read(file, text string) *Text {
	t := &Text{
		File:   file,
		keys:   make(map[string][]string),
		lines:  make(map[place]int),
		values: make(map[place]string),
	}
	kept := t.scan(strings.TrimPrefix(text, "\ufeff"))
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(kept))
	if err != nil {
		t.Fault(1, fmt.Sprintf("not an INI file: %v", err), "lines of the forms [SECTION] and KEY = VALUE")
		return t
	}
	for p := range t.lines {
		if p.key == "" {
			continue
		}
		if s, err := parsed.GetSection(p.section); err == nil && s.HasKey(p.key) {
			// Value, unlike String, does not expand %(name)s.
			t.values[p] = s.Key(p.key).Value()
		}
	}
	return t
}

// scan notes the lines and returns the text without the faulty ones.
func (t *Text) scan(text string) string {
	var kept strings.Builder
	section, skip := "", true
	for i, l := range strings.Split(text, "\n") {
		n, l := i+1, strings.TrimSpace(l)
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case strings.ContainsRune(l, 0):
			t.Fault(n, "zero byte", "text")
		case l[0] == '[':
			section, skip = t.header(n, l)
			if !skip {
				kept.WriteString("[" + section + "]\n")
			}
		case section == "" && skip && len(t.sections) == 0 && len(t.faults) == 0:
			t.Fault(n, "line before the first section", "[SECTION] first")
		case !skip:
			if t.pair(n, section, l) {
				kept.WriteString(l + "\n")
			}
		}
	}
	return kept.String()
}

// header reads a section line. skip tells that the section's keys have no
// place to go.
func (t *Text) header(n int, l string) (section string, skip bool) {
	name, rest, ok := strings.Cut(l[1:], "]")
	rest = strings.TrimSpace(rest)
	name = strings.Join(strings.Fields(name), " ")
	if !ok || name == "" || strings.ContainsAny(name, "\"`'[") || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		t.Fault(n, "section line cannot be read", "[SECTION]")
		return "", true
	}
	if name == ini.DefaultSection {
		t.Fault(n, "section DEFAULT is not used", "a named section")
		return "", true
	}
	if at, have := t.lines[place{section: name}]; have {
		t.Fault(n, fmt.Sprintf("section [%s] is already at line %d", name, at), "each section once")
		return "", true
	}
	t.lines[place{section: name}] = n
	t.sections = append(t.sections, name)
	return name, false
}

// pair notes a key line and tells whether it is sound.
func (t *Text) pair(n int, section, l string) bool {
	key, value, ok := strings.Cut(l, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !ok || !keyForm.MatchString(key) {
		t.Fault(n, fmt.Sprintf("line in [%s] cannot be read", section), "KEY = VALUE, the key of letters, digits, dot, dash and underscore")
		return false
	}
	if value != "" && strings.ContainsAny(value[:1], "\"`'") {
		// The library would read on over the following lines.
		t.Fault(n, fmt.Sprintf("value of %s is quoted", key), "a value without quotes")
		return false
	}
	p := place{section, key}
	if at, have := t.lines[p]; have {
		t.Fault(n, fmt.Sprintf("%s is already at line %d", key, at), "each key once in a section")
		return false
	}
	t.lines[p] = n
	t.keys[section] = append(t.keys[section], key)
	return true
}

// Fault adds a fault at the given line.
func (t *Text) Fault(line int, problem, allowed string) {
	t.faults = append(t.faults, zinniapond.ListFault{File: t.File, Line: line, Problem: problem, Allowed: allowed})
}

// Faults returns the faults found so far.
func (t *Text) Faults() []zinniapond.ListFault { return t.faults }

// Sections returns the names of the sections, in order.
func (t *Text) Sections() []string { return t.sections }

// Keys returns the keys of a section, in order.
func (t *Text) Keys(section string) []string { return t.keys[section] }

// Line returns the line of a key, or of the section if the key is not set or
// empty, or 1.
func (t *Text) Line(section, key string) int {
	if n, ok := t.lines[place{section, key}]; ok {
		return n
	}
	if n, ok := t.lines[place{section: section}]; ok {
		return n
	}
	return 1
}

// Value returns the value of a key.
func (t *Text) Value(section, key string) (string, bool) {
	v, ok := t.values[place{section, key}]
	return v, ok
}
