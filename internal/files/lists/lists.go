// Package lists parses the two lists of the operators.
package lists

import (
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/files/lines"
)

// Names of the two lists in faults.
const (
	PlansFile = "plans.ini"
	UsageFile = "usage.ini"
)

// Defaults of a plan. Turns and tokens leave room above the largest programs
// of the design scale (71 turns, 140,000 tokens of history sent with each).
const (
	usualTurns  = 500
	usualTokens = 20_000_000
	usualTime   = 24 * time.Hour
	usualWait   = 30 * time.Second
)

var (
	nameForm  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}$`)
	ruleForm  = regexp.MustCompile(`^[A-Z]+( /[^\s,]*)?$`)
)

const (
	nameAllowed  = "up to 63 letters, digits, dots, dashes and underscores"
	modelAllowed = "up to 127 letters, digits and . _ : / @ + -"
)

// Parser parses the lists. The outcome depends on nothing but its arguments,
// as all hosts have to come to the same one.
type Parser struct{}

// Parse returns the catalog, or every fault of both lists, plans.ini first, by
// line.
func (p *Parser) Parse(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault) {
	r := &reader{
		plans: lines.Read(PlansFile, plans),
		usage: lines.Read(UsageFile, usage),
		catalog: &zinniapond.Catalog{
			Version:  version,
			Plans:    make(map[zinniapond.PlanName]zinniapond.Plan),
			Services: make(map[zinniapond.PoolName]zinniapond.ServiceRule),
		},
		hashes:    make(map[[32]byte]string),
		customers: make(map[string]int),
		known:     make(map[string]bool),
	}
	for _, s := range r.plans.Sections() {
		r.plan(s)
	}
	for _, s := range r.usage.Sections() {
		r.use(s)
	}
	if faults := append(sorted(r.plans.Faults()), sorted(r.usage.Faults())...); len(faults) > 0 {
		return nil, faults
	}
	return r.catalog, nil
}

func sorted(faults []zinniapond.ListFault) []zinniapond.ListFault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

// reader builds a catalog.
type reader struct {
	plans, usage *lines.Text
	catalog      *zinniapond.Catalog
	hashes       map[[32]byte]string // customer by key hash
	customers    map[string]int      // line by name
	known        map[string]bool     // plan sections, also faulty ones
}

// target splits the section name into its kind and its subject.
func target(section string) (kind, subject string) {
	kind, subject, _ = strings.Cut(section, " ")
	return kind, subject
}

func (r *reader) plan(section string) {
	kind, subject := target(section)
	line := r.plans.Line(section, "")
	if kind != "plan" {
		r.plans.Fault(line, fmt.Sprintf("unknown section [%s]", section), "[plan NAME]")
		return
	}
	r.known[subject] = true
	if !nameForm.MatchString(subject) {
		r.plans.Fault(line, fmt.Sprintf("%q is not a plan name", subject), nameAllowed)
		return
	}
	p := zinniapond.Plan{
		Name: zinniapond.PlanName(subject), Class: zinniapond.ClassStandard, Weight: 1,
		Turns: usualTurns, Tokens: usualTokens, Time: usualTime, Wait: usualWait,
	}
	for _, key := range r.plans.Keys(section) {
		v, _ := r.plans.Value(section, key)
		allowed, err := r.planKey(&p, section, key, v)
		if err != nil {
			r.plans.Fault(r.plans.Line(section, key), fmt.Sprintf("[%s] %s: %v", section, key, err), allowed)
		}
	}
	if _, ok := r.plans.Value(section, "budget"); !ok {
		r.plans.Fault(line, fmt.Sprintf("[%s] budget is not set", section), budgetAllowed)
	}
	r.catalog.Plans[p.Name] = p
}

const (
	keysAllowed   = "class, weight, budget, turns, tokens, time, wait, customer.NAME"
	budgetAllowed = "TOKENS/WINDOW, such as 200000/1m; the window from 1s to 24h"
)

// planKey sets one key of a plan. It returns what is allowed with the error.
func (r *reader) planKey(p *zinniapond.Plan, section, key, v string) (allowed string, err error) {
	if name, ok := strings.CutPrefix(key, "customer."); ok {
		return "sha256:HEX [until RFC3339]", r.customer(p, section, key, name, v)
	}
	switch key {
	case "class":
		p.Class, err = class(v)
		return "interactive, standard, batch", err
	case "weight":
		return "whole number from 1 to 1000", whole(v, 1, 1000, &p.Weight)
	case "budget":
		p.Budget, p.Window, err = budget(v)
		return budgetAllowed, err
	case "turns":
		return "whole number from 1 to 1000000", whole(v, 1, 1_000_000, &p.Turns)
	case "tokens":
		return "whole number from 1 to 1000000000000", whole(v, 1, 1_000_000_000_000, &p.Tokens)
	case "time":
		return "duration from 1s to 8760h", span(v, time.Second, 8760*time.Hour, &p.Time)
	case "wait":
		return "duration from 10ms to 1h", span(v, 10*time.Millisecond, time.Hour, &p.Wait)
	}
	return keysAllowed, errors.New("unknown key")
}

func (r *reader) customer(p *zinniapond.Plan, section, key, name, v string) error {
	line := r.plans.Line(section, key)
	if !nameForm.MatchString(name) {
		return fmt.Errorf("%q is not a customer name", name)
	}
	// Calls are identified by customer, program and key, so that two customers
	// of one name would see each other's answers.
	if at, ok := r.customers[name]; ok {
		return fmt.Errorf("customer %s is already at line %d", name, at)
	}
	r.customers[name] = line
	text, until, timed := strings.Cut(v, " ")
	c := zinniapond.Customer{Name: zinniapond.CustomerName(name)}
	digits, ok := strings.CutPrefix(text, "sha256:")
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != len(c.KeyHash) {
		// The value is not repeated: it may be the key itself by mistake.
		return errors.New("not a SHA-256 hash")
	}
	c.KeyHash = [32]byte(b)
	if other, ok := r.hashes[c.KeyHash]; ok {
		return fmt.Errorf("customer %s has the same key", other)
	}
	r.hashes[c.KeyHash] = name
	if timed {
		at, ok := strings.CutPrefix(strings.TrimSpace(until), "until ")
		if c.Expires, err = time.Parse(time.RFC3339, strings.TrimSpace(at)); !ok || err != nil {
			return errors.New("expiry cannot be read")
		}
		c.Expires = c.Expires.UTC()
	}
	p.Customers = append(p.Customers, c)
	return nil
}

func (r *reader) use(section string) {
	kind, subject := target(section)
	switch kind {
	case "plan":
		r.usePlan(section, zinniapond.PlanName(subject))
	case "service":
		r.useService(section, subject)
	default:
		r.usage.Fault(r.usage.Line(section, ""), fmt.Sprintf("unknown section [%s]", section), "[plan NAME], [service NAME]")
	}
}

func (r *reader) usePlan(section string, name zinniapond.PlanName) {
	if !r.known[string(name)] {
		r.usage.Fault(r.usage.Line(section, ""), fmt.Sprintf("plan %q is not in %s", name, PlansFile), "a plan of "+PlansFile)
	}
	p := r.catalog.Plans[name]
	for _, key := range r.usage.Keys(section) {
		v, _ := r.usage.Value(section, key)
		var err error
		allowed := "names between commas: "
		switch key {
		case "models":
			allowed += modelAllowed
			p.Models, err = names(v, modelForm)
		case "services":
			allowed += nameAllowed
			p.Services, err = names(v, nameForm)
		default:
			allowed, err = "models, services", errors.New("unknown key")
		}
		if err != nil {
			r.usage.Fault(r.usage.Line(section, key), fmt.Sprintf("[%s] %s: %v", section, key, err), allowed)
		}
	}
	if _, ok := r.catalog.Plans[name]; !ok {
		return
	}
	r.catalog.Plans[name] = p
	for _, s := range p.Services {
		if _, ok := r.catalog.Services[s]; !ok {
			r.catalog.Services[s] = zinniapond.ServiceRule{Service: s}
		}
	}
}

func (r *reader) useService(section, subject string) {
	line := r.usage.Line(section, "")
	if !nameForm.MatchString(subject) {
		r.usage.Fault(line, fmt.Sprintf("%q is not a service name", subject), nameAllowed)
	}
	rule := zinniapond.ServiceRule{Service: zinniapond.PoolName(subject)}
	for _, key := range r.usage.Keys(section) {
		v, _ := r.usage.Value(section, key)
		line := r.usage.Line(section, key)
		if key != "idempotent" {
			r.usage.Fault(line, fmt.Sprintf("[%s] %s: unknown key", section, key), "idempotent")
			continue
		}
		for _, e := range split(v) {
			e = strings.Join(strings.Fields(e), " ")
			if !ruleForm.MatchString(e) || strings.Contains(e, "/.") || strings.ContainsAny(e, "?#%") {
				r.usage.Fault(line, fmt.Sprintf("[%s] idempotent: %q is not a rule", section, e), "METHOD or METHOD /PATH, between commas")
				continue
			}
			rule.Idempotent = append(rule.Idempotent, e)
		}
	}
	r.catalog.Services[rule.Service] = rule
}

// split splits at commas; an empty value has no parts.
func split(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func names(v string, form *regexp.Regexp) ([]zinniapond.PoolName, error) {
	var list []zinniapond.PoolName
	seen := make(map[string]bool)
	for _, n := range split(v) {
		n = strings.TrimSpace(n)
		if !form.MatchString(n) {
			return nil, fmt.Errorf("%q is not a name", n)
		}
		if seen[n] {
			return nil, fmt.Errorf("%s is named twice", n)
		}
		seen[n] = true
		list = append(list, zinniapond.PoolName(n))
	}
	return list, nil
}

func class(v string) (zinniapond.Class, error) {
	switch v {
	case "interactive":
		return zinniapond.ClassInteractive, nil
	case "standard":
		return zinniapond.ClassStandard, nil
	case "batch":
		return zinniapond.ClassBatch, nil
	}
	return zinniapond.ClassStandard, fmt.Errorf("unknown class %q", v)
}

func whole[T ~int | ~int64](v string, least, most int64, to *T) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", v)
	}
	if n < least || n > most {
		return fmt.Errorf("%d is out of range", n)
	}
	*to = T(n)
	return nil
}

func span(v string, least, most time.Duration, to *time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("%q is not a duration", v)
	}
	if d < least || d > most {
		return fmt.Errorf("%s is out of range", d)
	}
	*to = d
	return nil
}

func budget(v string) (amount zinniapond.Tokens, window time.Duration, err error) {
	a, w, ok := strings.Cut(v, "/")
	if !ok {
		return 0, 0, fmt.Errorf("%q is not a budget", v)
	}
	if err := whole(strings.TrimSpace(a), 1, 1_000_000_000_000, &amount); err != nil {
		return 0, 0, err
	}
	err = span(strings.TrimSpace(w), time.Second, 24*time.Hour, &window)
	return amount, window, err
}
