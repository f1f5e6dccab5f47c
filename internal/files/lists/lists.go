// Package lists parses the two lists of the operators: the plans with their
// customers, and the models and services that each plan may use.
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

// File names of the two lists, as used in faults.
const (
	PlansFile = "plans.ini"
	UsageFile = "usage.ini"
)

// Default values of a plan. The caps on calls and tokens are well above the
// largest programs of the design scale (71 calls, 140,000 tokens of history sent
// with each).
const (
	defaultMaxCalls     = 500
	defaultMaxTokens    = 20_000_000
	defaultMaxDuration  = 24 * time.Hour
	defaultMaxQueueTime = 30 * time.Second
)

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]{0,126}$`)
	rulePattern  = regexp.MustCompile(`^[A-Z]+( /[^\s,]*)?$`)
)

const (
	nameAllowed  = "up to 63 letters, digits, dots, dashes and underscores"
	modelAllowed = "up to 127 letters, digits and . _ : / @ + -"
)

// Parser parses the lists. The result depends only on the arguments, as all
// hosts have to arrive at the same result.
type Parser struct{}

// Parse returns the catalog, or all faults of both lists: those of plans.ini
// first, each list sorted by line.
func (p *Parser) Parse(version zinniapond.Version, plans, usage string) (*zinniapond.Catalog, []zinniapond.ListFault) {
	r := &reader{
		plans: lines.Parse(PlansFile, plans),
		usage: lines.Parse(UsageFile, usage),
		catalog: &zinniapond.Catalog{
			Version:  version,
			Plans:    make(map[zinniapond.PlanName]zinniapond.Plan),
			Services: make(map[zinniapond.PoolName]zinniapond.ServiceRule),
		},
		customerByHash: make(map[[32]byte]string),
		customerLines:  make(map[string]int),
		knownPlans:     make(map[string]bool),
	}
	for _, s := range r.plans.Sections() {
		r.readPlan(s)
	}
	for _, s := range r.usage.Sections() {
		r.readUsage(s)
	}
	if faults := append(sortByLine(r.plans.Faults()), sortByLine(r.usage.Faults())...); len(faults) > 0 {
		return nil, faults
	}
	return r.catalog, nil
}

func sortByLine(faults []zinniapond.ListFault) []zinniapond.ListFault {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	return faults
}

// reader builds a catalog from the parsed texts.
type reader struct {
	plans, usage   *lines.Text
	catalog        *zinniapond.Catalog
	customerByHash map[[32]byte]string // customer name by key hash
	customerLines  map[string]int      // line in plans.ini by customer name
	knownPlans     map[string]bool     // names of all plan sections, including faulty ones
}

// splitSection splits a section name, such as "plan NAME", into kind and subject.
func splitSection(section string) (kind, subject string) {
	kind, subject, _ = strings.Cut(section, " ")
	return kind, subject
}

func (r *reader) readPlan(section string) {
	kind, subject := splitSection(section)
	line := r.plans.Line(section, "")
	if kind != "plan" {
		r.plans.AddFault(line, fmt.Sprintf("unknown section [%s]", section), "[plan NAME]")
		return
	}
	r.knownPlans[subject] = true
	if !namePattern.MatchString(subject) {
		r.plans.AddFault(line, fmt.Sprintf("%q is not a plan name", subject), nameAllowed)
		return
	}
	p := zinniapond.Plan{
		Name: zinniapond.PlanName(subject), Class: zinniapond.ClassStandard, Weight: 1,
		MaxCalls: defaultMaxCalls, MaxTokens: defaultMaxTokens, MaxDuration: defaultMaxDuration, MaxQueueTime: defaultMaxQueueTime,
	}
	for _, key := range r.plans.Keys(section) {
		v, _ := r.plans.Value(section, key)
		allowed, err := r.setPlanKey(&p, section, key, v)
		if err != nil {
			r.plans.AddFault(r.plans.Line(section, key), fmt.Sprintf("[%s] %s: %v", section, key, err), allowed)
		}
	}
	if _, ok := r.plans.Value(section, "budget"); !ok {
		r.plans.AddFault(line, fmt.Sprintf("[%s] budget is not set", section), budgetAllowed)
	}
	r.catalog.Plans[p.Name] = p
}

const (
	keysAllowed   = "class, weight, budget, turns, tokens, time, wait, customer.NAME"
	budgetAllowed = "TOKENS/WINDOW, such as 200000/1m; the window from 1s to 24h"
)

// setPlanKey sets one key of a plan. With an error, allowed describes the allowed
// values or keys.
func (r *reader) setPlanKey(p *zinniapond.Plan, section, key, v string) (allowed string, err error) {
	if name, ok := strings.CutPrefix(key, "customer."); ok {
		return "sha256:HEX [until RFC3339]", r.addCustomer(p, section, key, name, v)
	}
	switch key {
	case "class":
		p.Class, err = parseClass(v)
		return "interactive, standard, batch", err
	case "weight":
		return "whole number from 1 to 1000", parseNumber(v, 1, 1000, &p.Weight)
	case "budget":
		p.Budget, p.BudgetWindow, err = parseBudget(v)
		return budgetAllowed, err
	case "turns":
		return "whole number from 1 to 1000000", parseNumber(v, 1, 1_000_000, &p.MaxCalls)
	case "tokens":
		return "whole number from 1 to 1000000000000", parseNumber(v, 1, 1_000_000_000_000, &p.MaxTokens)
	case "time":
		return "duration from 1s to 8760h", parseDuration(v, time.Second, 8760*time.Hour, &p.MaxDuration)
	case "wait":
		return "duration from 10ms to 1h", parseDuration(v, 10*time.Millisecond, time.Hour, &p.MaxQueueTime)
	}
	return keysAllowed, errors.New("unknown key")
}

func (r *reader) addCustomer(p *zinniapond.Plan, section, key, name, v string) error {
	line := r.plans.Line(section, key)
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a customer name", name)
	}
	// Calls are identified by customer, program and key: two customers with the
	// same name would see each other's answers.
	if at, ok := r.customerLines[name]; ok {
		return fmt.Errorf("customer %s is already at line %d", name, at)
	}
	r.customerLines[name] = line
	hashText, expiry, hasExpiry := strings.Cut(v, " ")
	c := zinniapond.Customer{Name: zinniapond.CustomerName(name)}
	digits, ok := strings.CutPrefix(hashText, "sha256:")
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != len(c.KeyHash) {
		// The error does not contain the value, as it may be the key itself by
		// mistake.
		return errors.New("not a SHA-256 hash")
	}
	c.KeyHash = [32]byte(b)
	if other, ok := r.customerByHash[c.KeyHash]; ok {
		return fmt.Errorf("customer %s has the same key", other)
	}
	r.customerByHash[c.KeyHash] = name
	if hasExpiry {
		at, ok := strings.CutPrefix(strings.TrimSpace(expiry), "until ")
		if c.Expires, err = time.Parse(time.RFC3339, strings.TrimSpace(at)); !ok || err != nil {
			return errors.New("expiry cannot be read")
		}
		c.Expires = c.Expires.UTC()
	}
	p.Customers = append(p.Customers, c)
	return nil
}

func (r *reader) readUsage(section string) {
	kind, subject := splitSection(section)
	switch kind {
	case "plan":
		r.readPlanUsage(section, zinniapond.PlanName(subject))
	case "service":
		r.readServiceRule(section, subject)
	default:
		r.usage.AddFault(r.usage.Line(section, ""), fmt.Sprintf("unknown section [%s]", section), "[plan NAME], [service NAME]")
	}
}

func (r *reader) readPlanUsage(section string, name zinniapond.PlanName) {
	if !r.knownPlans[string(name)] {
		r.usage.AddFault(r.usage.Line(section, ""), fmt.Sprintf("plan %q is not in %s", name, PlansFile), "a plan of "+PlansFile)
	}
	p := r.catalog.Plans[name]
	for _, key := range r.usage.Keys(section) {
		v, _ := r.usage.Value(section, key)
		var err error
		allowed := "names between commas: "
		switch key {
		case "models":
			allowed += modelAllowed
			p.Models, err = parseNames(v, modelPattern)
		case "services":
			allowed += nameAllowed
			p.Services, err = parseNames(v, namePattern)
		default:
			allowed, err = "models, services", errors.New("unknown key")
		}
		if err != nil {
			r.usage.AddFault(r.usage.Line(section, key), fmt.Sprintf("[%s] %s: %v", section, key, err), allowed)
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

func (r *reader) readServiceRule(section, subject string) {
	line := r.usage.Line(section, "")
	if !namePattern.MatchString(subject) {
		r.usage.AddFault(line, fmt.Sprintf("%q is not a service name", subject), nameAllowed)
	}
	rule := zinniapond.ServiceRule{Service: zinniapond.PoolName(subject)}
	for _, key := range r.usage.Keys(section) {
		v, _ := r.usage.Value(section, key)
		line := r.usage.Line(section, key)
		if key != "idempotent" {
			r.usage.AddFault(line, fmt.Sprintf("[%s] %s: unknown key", section, key), "idempotent")
			continue
		}
		for _, e := range splitList(v) {
			e = strings.Join(strings.Fields(e), " ")
			if !rulePattern.MatchString(e) || strings.Contains(e, "/.") || strings.ContainsAny(e, "?#%") {
				r.usage.AddFault(line, fmt.Sprintf("[%s] idempotent: %q is not a rule", section, e), "METHOD or METHOD /PATH, between commas")
				continue
			}
			rule.Idempotent = append(rule.Idempotent, e)
		}
	}
	r.catalog.Services[rule.Service] = rule
}

// splitList splits a value at commas; an empty value has no elements.
func splitList(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func parseNames(v string, pattern *regexp.Regexp) ([]zinniapond.PoolName, error) {
	var list []zinniapond.PoolName
	seen := make(map[string]bool)
	for _, n := range splitList(v) {
		n = strings.TrimSpace(n)
		if !pattern.MatchString(n) {
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

func parseClass(v string) (zinniapond.Class, error) {
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

func parseNumber[T ~int | ~int64](v string, lowest, highest int64, target *T) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return fmt.Errorf("%q is not a whole number", v)
	}
	if n < lowest || n > highest {
		return fmt.Errorf("%d is out of range", n)
	}
	*target = T(n)
	return nil
}

func parseDuration(v string, lowest, highest time.Duration, target *time.Duration) error {
	d, err := time.ParseDuration(v)
	if err != nil {
		return fmt.Errorf("%q is not a duration", v)
	}
	if d < lowest || d > highest {
		return fmt.Errorf("%s is out of range", d)
	}
	*target = d
	return nil
}

func parseBudget(v string) (amount zinniapond.Tokens, window time.Duration, err error) {
	a, w, ok := strings.Cut(v, "/")
	if !ok {
		return 0, 0, fmt.Errorf("%q is not a budget", v)
	}
	if err := parseNumber(strings.TrimSpace(a), 1, 1_000_000_000_000, &amount); err != nil {
		return 0, 0, err
	}
	err = parseDuration(strings.TrimSpace(w), time.Second, 24*time.Hour, &window)
	return amount, window, err
}
