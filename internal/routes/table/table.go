// Package table checks configurations and looks up routes and services in them. It
// does no I/O.
package table

import (
	"fmt"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/holder"
)

// Table is a configuration indexed for look-ups. It is immutable.
type Table struct {
	routing  *zinniapond.Routing
	hosts    map[string]map[string]*zinniapond.Route
	services map[zinniapond.PoolName]*zinniapond.Service
	holders  *holder.Index
	plans    map[zinniapond.PlanName]*zinniapond.Plan
}

// New returns the table of a configuration. The configuration has to be one for
// which Check returns nil.
func New(r *zinniapond.Routing) *Table {
	t := &Table{
		routing:  r,
		hosts:    make(map[string]map[string]*zinniapond.Route),
		services: make(map[zinniapond.PoolName]*zinniapond.Service, len(r.Services)),
		holders:  holder.New(r.Plans),
		plans:    make(map[zinniapond.PlanName]*zinniapond.Plan, len(r.Plans)),
	}
	for i := range r.Plans {
		t.plans[r.Plans[i].Name] = &r.Plans[i]
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		if t.hosts[route.Host] == nil {
			t.hosts[route.Host] = make(map[string]*zinniapond.Route)
		}
		t.hosts[route.Host][route.PathPrefix] = route
	}
	return t
}

// Routing returns the configuration from which the table was made.
func (t *Table) Routing() *zinniapond.Routing { return t.routing }

// Find returns the route of a host with the longest prefix that matches the path.
func (t *Table) Find(host, path string) (*zinniapond.Route, bool) {
	prefixes := t.hosts[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name zinniapond.PoolName) *zinniapond.Service { return t.services[name] }

// Plan returns a plan by its name, or nil.
func (t *Table) Plan(name zinniapond.PlanName) *zinniapond.Plan { return t.plans[name] }

// FindPlan returns the plan that has the key with the given SHA-256 hash.
func (t *Table) FindPlan(keyHash [32]byte) (*zinniapond.Plan, bool) {
	plan, _, ok := t.holders.Find(keyHash)
	return plan, ok
}

// ChooseService returns the service for requests with the given key, in
// proportion to the weights. Equal keys get the same service, as its replicas
// have their prompts in the cache.
func ChooseService(route *zinniapond.Route, key string) zinniapond.PoolName {
	total := 0
	for _, s := range route.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range route.Splits {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Check returns the first fault of a configuration, or nil. The error wraps
// zinniapond.ErrMalformed.
func Check(r *zinniapond.Routing) error {
	services := make(map[zinniapond.PoolName]bool, len(r.Services))
	for _, s := range r.Services {
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("service %q has no name or one of another: %w", s.Name, zinniapond.ErrMalformed)
		}
		services[s.Name] = true
	}
	routeNames := make(map[string]string, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		if err := checkRoute(route, services); err != nil {
			return fmt.Errorf("route %q: %w", route.Name, err)
		}
		hostAndPrefix := route.Host + route.PathPrefix
		if other, ok := routeNames[hostAndPrefix]; ok {
			return fmt.Errorf("routes %q and %q have the same host and prefix: %w", other, route.Name, zinniapond.ErrMalformed)
		}
		routeNames[hostAndPrefix] = route.Name
	}
	return checkPlans(r.Plans)
}

// maxNameBytes bounds the name of a plan, which is sent in a header field.
const maxNameBytes = 256

// checkPlans checks the names and the keys of plans. Its errors never contain a key.
func checkPlans(plans []zinniapond.Plan) error {
	names := make(map[zinniapond.PlanName]bool, len(plans))
	holders := make(map[[32]byte]zinniapond.PlanName, len(plans))
	for i := range plans {
		p := &plans[i]
		switch {
		case !isHeaderValue(string(p.Name)) || len(p.Name) > maxNameBytes:
			return fmt.Errorf("plan %d: name %.64q cannot be sent in a header field: %w", i+1, p.Name, zinniapond.ErrMalformed)
		case names[p.Name]:
			return fmt.Errorf("plan %d: name %.64q is that of another plan: %w", i+1, p.Name, zinniapond.ErrMalformed)
		case p.RequestRate < 0 || math.IsNaN(float64(p.RequestRate)) || math.IsInf(float64(p.RequestRate), 0) || p.RequestBurst < 0:
			return fmt.Errorf("plan %.64q: rate %v and burst %d: %w", p.Name, p.RequestRate, p.RequestBurst, zinniapond.ErrMalformed)
		}
		names[p.Name] = true
		for j, c := range p.Customers {
			if c.KeyHash == [32]byte{} {
				return fmt.Errorf("plan %.64q: key %d is empty or cannot be sent in a header field: %w", p.Name, j+1, zinniapond.ErrMalformed)
			}
			if other, ok := holders[c.KeyHash]; ok {
				return fmt.Errorf("plan %.64q: key %d is also a key of plan %.64q: %w", p.Name, j+1, other, zinniapond.ErrMalformed)
			}
			holders[c.KeyHash] = p.Name
		}
	}
	return nil
}

// isHeaderValue reports whether a text arrives unchanged as the value of a header field.
func isHeaderValue(text string) bool {
	if text == "" || strings.Trim(text, " \t") != text {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

func checkRoute(r *zinniapond.Route, services map[zinniapond.PoolName]bool) error {
	switch {
	case r.Host == "":
		return fmt.Errorf("no host: %w", zinniapond.ErrMalformed)
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash: %w", r.PathPrefix, zinniapond.ErrMalformed)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %s: %w", r.Timeout, zinniapond.ErrMalformed)
	case r.Kind != zinniapond.RequestSafe && r.Kind != zinniapond.RequestUnsafe && r.Kind != zinniapond.RequestStream:
		return fmt.Errorf("unknown kind %q: %w", r.Kind, zinniapond.ErrMalformed)
	}
	total := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			return fmt.Errorf("unknown service %q: %w", s.Service, zinniapond.ErrMalformed)
		}
		if s.Weight < 0 {
			return fmt.Errorf("weight %d: %w", s.Weight, zinniapond.ErrMalformed)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("weights add up to 0: %w", zinniapond.ErrMalformed)
	}
	return nil
}
