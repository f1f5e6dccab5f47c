package main

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"strings"
)

// fields are the fields of a settings file, by their dotted names. A list has its
// entries under "name.0", "name.1" and so on, and itself as a []string.
type fields map[string]any

// role is a role of the deploy file.
type role struct {
	run      []string
	template string
}

var (
	sectionName = regexp.MustCompile(`^\[roles\.([a-z0-9-]+)\]$`)
	assignment  = regexp.MustCompile(`^(\w+)\s*=\s*"(.*)"$`)
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// readRoles reads the commands and templates of the deploy file.
func readRoles(path string) (map[string]role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles := make(map[string]role)
	name := ""
	for _, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if m := sectionName.FindStringSubmatch(line); m != nil {
			name = m[1]
			continue
		}
		m := assignment.FindStringSubmatch(line)
		if m == nil || name == "" {
			continue
		}
		r := roles[name]
		switch m[1] {
		case "run":
			r.run = strings.Fields(m[2])
		case "template":
			r.template = m[2]
		}
		roles[name] = r
	}
	return roles, nil
}

// render fills in a template of the deploy folder.
func render(template string, values fields) string {
	text := section.ReplaceAllStringFunc(template, func(whole string) string {
		m := section.FindStringSubmatch(whole)
		switch v := values[m[1]].(type) {
		case nil:
			return ""
		case bool:
			if !v {
				return ""
			}
			return render(m[2], values)
		case []string:
			var b strings.Builder
			for i, entry := range v {
				comma := ","
				if i == len(v)-1 {
					comma = ""
				}
				b.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(m[2]))
			}
			return b.String()
		default:
			return render(strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(v)), values)
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(whole string) string {
		if v, ok := values[placeholder.FindStringSubmatch(whole)[1]]; ok {
			return fmt.Sprint(v)
		}
		return ""
	})
}

// commonFields are the settings that all machines share. They are those of the users'
// smallest deployment.
func commonFields(list string, seeds []string) fields {
	return fields{
		"seeds":                   seeds,
		"faultTolerance.machines": 1, "faultTolerance.zones": 0,
		"bounds.graceS": 8, "bounds.catchUpS": 4.7, "bounds.configApplyMs": 2000,
		"internalPortRange.0": peersPort, "internalPortRange.1": streamsPort,
		"cloudApi.address": list,
	}
}

func (f fields) with(more fields) fields {
	all := maps.Clone(f)
	maps.Copy(all, more)
	return all
}
