// Package lines parses INI text and records the line of each section and key, so
// that all faults of a file can be reported together, each with its line.
package lines

import (
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"zinniapond.example/zinniapond"
)

// keyPattern excludes quotes and brackets, which the INI library would not treat
// as parts of a key.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// position identifies a key, or a section if key is empty.
type position struct{ section, key string }

// Text is a parsed INI text with the lines of its sections and keys.
type Text struct {
	File   string
	faults []zinniapond.ListFault
	// sections and keys are in the order in which the text has them.
	sections []string
	keys     map[string][]string
	lines    map[position]int
	values   map[position]string
}

// Parse parses the text. Lines that cannot be parsed are reported as faults and
// skipped, so that the other lines are still checked. file is the name of the
// text in faults.
func Parse(file, text string) *Text {
	t := &Text{
		File:   file,
		keys:   make(map[string][]string),
		lines:  make(map[position]int),
		values: make(map[position]string),
	}
	valid := t.scan(strings.TrimPrefix(text, "\ufeff"))
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
	}, []byte(valid))
	if err != nil {
		t.AddFault(1, fmt.Sprintf("not an INI file: %v", err), "lines of the forms [SECTION] and KEY = VALUE")
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

// scan records the lines of sections and keys, and returns the text without the
// faulty lines.
func (t *Text) scan(text string) string {
	var valid strings.Builder
	section, skip := "", true
	for i, l := range strings.Split(text, "\n") {
		n, l := i+1, strings.TrimSpace(l)
		switch {
		case l == "" || l[0] == '#' || l[0] == ';':
		case strings.ContainsRune(l, 0):
			t.AddFault(n, "zero byte", "text")
		case l[0] == '[':
			section, skip = t.parseSection(n, l)
			if !skip {
				valid.WriteString("[" + section + "]\n")
			}
		case section == "" && skip && len(t.sections) == 0 && len(t.faults) == 0:
			t.AddFault(n, "line before the first section", "[SECTION] first")
		case !skip:
			if t.parsePair(n, section, l) {
				valid.WriteString(l + "\n")
			}
		}
	}
	return valid.String()
}

// parseSection parses a section line. skip is true if the line is faulty, so that
// the keys below it belong to no section and are skipped.
func (t *Text) parseSection(n int, l string) (section string, skip bool) {
	name, rest, ok := strings.Cut(l[1:], "]")
	rest = strings.TrimSpace(rest)
	name = strings.Join(strings.Fields(name), " ")
	if !ok || name == "" || strings.ContainsAny(name, "\"`'[") || (rest != "" && rest[0] != '#' && rest[0] != ';') {
		t.AddFault(n, "section line cannot be read", "[SECTION]")
		return "", true
	}
	if name == ini.DefaultSection {
		t.AddFault(n, "section DEFAULT is not used", "a named section")
		return "", true
	}
	if at, have := t.lines[position{section: name}]; have {
		t.AddFault(n, fmt.Sprintf("section [%s] is already at line %d", name, at), "each section once")
		return "", true
	}
	t.lines[position{section: name}] = n
	t.sections = append(t.sections, name)
	return name, false
}

// parsePair records the key of a key line, and reports whether the line is valid.
func (t *Text) parsePair(n int, section, l string) bool {
	key, value, ok := strings.Cut(l, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !ok || !keyPattern.MatchString(key) {
		t.AddFault(n, fmt.Sprintf("line in [%s] cannot be read", section), "KEY = VALUE, the key of letters, digits, dot, dash and underscore")
		return false
	}
	if value != "" && strings.ContainsAny(value[:1], "\"`'") {
		// The library would continue a quoted value on the following lines.
		t.AddFault(n, fmt.Sprintf("value of %s is quoted", key), "a value without quotes")
		return false
	}
	p := position{section, key}
	if at, have := t.lines[p]; have {
		t.AddFault(n, fmt.Sprintf("%s is already at line %d", key, at), "each key once in a section")
		return false
	}
	t.lines[p] = n
	t.keys[section] = append(t.keys[section], key)
	return true
}

// AddFault adds a fault at the given line.
func (t *Text) AddFault(line int, problem, allowed string) {
	t.faults = append(t.faults, zinniapond.ListFault{File: t.File, Line: line, Problem: problem, Allowed: allowed})
}

// Faults returns the faults found so far.
func (t *Text) Faults() []zinniapond.ListFault { return t.faults }

// Sections returns the names of the sections in the order of the text.
func (t *Text) Sections() []string { return t.sections }

// Keys returns the keys of a section in the order of the text.
func (t *Text) Keys(section string) []string { return t.keys[section] }

// Line returns the line of a key. If key is empty or not in the text, it returns
// the line of the section, or 1 if there is no such section.
func (t *Text) Line(section, key string) int {
	if n, ok := t.lines[position{section, key}]; ok {
		return n
	}
	if n, ok := t.lines[position{section: section}]; ok {
		return n
	}
	return 1
}

// Value returns the value of a key, and whether the key is in the text.
func (t *Text) Value(section, key string) (string, bool) {
	v, ok := t.values[position{section, key}]
	return v, ok
}
