// Package table checks configurations and looks up routes and services in them. It
// does no I/O.
package table

import (
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
