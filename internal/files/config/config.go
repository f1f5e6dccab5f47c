// Package config parses and checks the settings file of a host.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/files/lines"
)

// Loader loads settings files. It has no state.
type Loader struct{}

// Load reads and parses the file. The error lists all faults with file and line.
// Relative paths in the file are resolved against its folder.
func (l *Loader) Load(path string) (*zinniapond.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, faults := l.Parse(path, string(text))
	if len(faults) == 0 {
		return s, nil
	}
	errs := make([]error, 0, len(faults))
	for _, f := range faults {
		errs = append(errs, errors.New(f.String()))
	}
	return nil, fmt.Errorf("read settings: %w", errors.Join(errs...))
}

// Parse parses the text of a settings file and returns the settings, or all
// faults by line. file is the path that is named in faults and against whose
// folder relative paths are resolved.
func (l *Loader) Parse(file, text string) (*zinniapond.Settings, []zinniapond.ListFault) {
	s := &zinniapond.Settings{File: file, Plugins: make(map[string]string)}
	parsed := lines.Parse(file, text)
	r := &reader{text: parsed, settings: s, folder: filepath.Dir(file)}
	fields := r.fields()
	r.reportUnknownKeys(fields)
	for _, f := range fields {
		r.setField(f)
	}
	r.readPlugins()
	r.checkCombinations()
	if faults := parsed.Faults(); len(faults) > 0 {
		sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
		return nil, faults
	}
	return s, nil
}

// reader fills in the settings from a parsed text.
type reader struct {
	text     *lines.Text
	settings *zinniapond.Settings
	folder   string
}

// setField sets one field from the text or from its default value.
func (r *reader) setField(f field) {
	v, ok := r.text.Value(f.section, f.key)
	switch {
	case ok && v != "":
	case f.defaultValue != "":
		v = f.defaultValue
	case f.required:
		r.text.AddFault(r.text.Line(f.section, f.key), fmt.Sprintf("[%s] %s is not set", f.section, f.key), f.allowed)
		return
	default:
		return
	}
	if err := f.set(v); err != nil {
		problem := fmt.Sprintf("[%s] %s: %v", f.section, f.key, err)
		r.text.AddFault(r.text.Line(f.section, f.key), problem, f.allowed)
	}
}

// reportUnknownKeys adds a fault for each section and key that no field has:
// otherwise a misspelt key would go unnoticed and its default would apply.
func (r *reader) reportUnknownKeys(fields []field) {
	known := make(map[string][]string)
	for _, f := range fields {
		known[f.section] = append(known[f.section], f.key)
	}
	names := []string{"plugins"}
	for n := range known {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, section := range r.text.Sections() {
		if section == "plugins" {
			continue
		}
		keys, ok := known[section]
		if !ok {
			r.text.AddFault(r.text.Line(section, ""), fmt.Sprintf("unknown section [%s]", section), strings.Join(names, ", "))
			continue
		}
		for _, key := range r.text.Keys(section) {
			if !contains(keys, key) {
				r.text.AddFault(r.text.Line(section, key), fmt.Sprintf("[%s] has no key %s", section, key), strings.Join(keys, ", "))
			}
		}
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// defaultPlugins are the implementations for interfaces that the settings do not
// mention and for which the kernel has more than one.
var defaultPlugins = map[string]string{"queue": "fair", "router": "prefix"}

// pluginInterfaces are the interfaces whose implementation can be selected in
// the settings.
var pluginInterfaces = []string{
	"budget", "cacheleases", "control", "detector", "directory", "journal", "limiter", "mounter",
	"pace", "peers", "placer", "queue", "retrier", "roster", "router", "scheduler", "urgency",
}

func (r *reader) readPlugins() {
	for name, implementation := range defaultPlugins {
		r.settings.Plugins[name] = implementation
	}
	for _, key := range r.text.Keys("plugins") {
		v, _ := r.text.Value("plugins", key)
		switch {
		case !contains(pluginInterfaces, key):
			r.text.AddFault(r.text.Line("plugins", key), fmt.Sprintf("[plugins] has no interface %s", key), strings.Join(pluginInterfaces, ", "))
		case v == "":
			r.text.AddFault(r.text.Line("plugins", key), fmt.Sprintf("[plugins] %s is empty", key), "name of an implementation")
		default:
			r.settings.Plugins[key] = v
		}
	}
}

// checkCombinations checks the conditions that involve several fields.
func (r *reader) checkCombinations() {
	s := r.settings
	r.readSeeds()
	fault := func(section, key, problem, allowed string) {
		r.text.AddFault(r.text.Line(section, key), problem, allowed)
	}
	c := s.Control
	if c.SessionTimeout != 0 && c.SessionTimeout <= c.LeaseDuration {
		fault("control", "session", fmt.Sprintf("session %s is not above lease %s: a host could be fenced while its lease holds", c.SessionTimeout, c.LeaseDuration), "more than [control] lease")
	}
	if c.LeaderTimeout != 0 && c.LeaderTimeout >= c.LeaseDuration && c.LeaseDuration != 0 {
		fault("control", "fetch", fmt.Sprintf("fetch %s is not below lease %s: an election would outlast each lease", c.LeaderTimeout, c.LeaseDuration), "less than [control] lease")
	}
	if s.DataFolder == "" && s.HasRole(zinniapond.RoleKeeper) {
		fault("node", "data", "role keeper needs [node] data", "path of a folder")
	}
	if s.DataFolder == "" && (s.HasRole(zinniapond.RoleStore) || s.HasRole(zinniapond.RoleControl)) {
		fault("node", "data", "roles store and control need [node] data", "path of a folder")
	}
	if c.Bootstrap && !s.HasRole(zinniapond.RoleControl) {
		fault("control", "bootstrap", "bootstrap needs the role control", "true only on control hosts")
	}
	for _, v := range c.Voters {
		if v.Name == s.Host && !c.UsesSeeds && s.PeersListenAddress.IsValid() && v.PeersAddress != s.PeersAddress() {
			fault("control", "voters", fmt.Sprintf("voter %s has %s, but other hosts reach it at %s", v.Name, v.PeersAddress, s.PeersAddress()),
				"the address of [listen] announce-peers or else peers")
		}
	}
	if s.HasRole(zinniapond.RoleEntry) {
		if !s.CallersAddress.IsValid() && !r.isSet("listen", "callers") {
			fault("listen", "callers", "role entry needs [listen] callers", "IP:PORT")
		}
		if !s.OperatorsAddress.IsValid() && !r.isSet("listen", "operators") {
			fault("listen", "operators", "role entry needs [listen] operators", "IP:PORT")
		}
	}
	if (s.Security.CertificateFile == "") != (s.Security.KeyFile == "") {
		fault("security", "certificate", "certificate and key go together", "both or neither")
	}
}

// readSeeds derives the voters from the seeds: their IP addresses are those of
// the seeds, and their port is the one at which every host listens for peers.
func (r *reader) readSeeds() {
	s := r.settings
	v, ok := r.text.Value("control", "seeds")
	if !ok || v == "" {
		if len(s.Control.Voters) == 0 && !r.isSet("control", "voters") {
			r.text.AddFault(r.text.Line("control", "voters"), "[control] voters is not set", "NAME@IP:PORT, ...; or [control] seeds")
		}
		return
	}
	s.Control.UsesSeeds = true
	for _, p := range strings.Split(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(p))
		if err != nil {
			r.text.AddFault(r.text.Line("control", "seeds"), fmt.Sprintf("[control] seeds: %q is not an address with a port", p), "IP:PORT, ...")
			return
		}
		a = netip.AddrPortFrom(a.Addr(), s.PeersAddress().Port())
		s.Control.Voters = append(s.Control.Voters, zinniapond.Voter{Name: zinniapond.HostName(a.String()), PeersAddress: a})
	}
}

func (r *reader) isSet(section, key string) bool {
	v, ok := r.text.Value(section, key)
	return ok && v != ""
}
