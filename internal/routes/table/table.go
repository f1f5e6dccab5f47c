// Package table checks configurations and looks up routes and services in them. It
// does no I/O.
package table

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// Table is a configuration indexed for look-ups. It is immutable.
type Table struct {
	routing  *zinniapond.Routing
	hosts    map[string]map[string]*zinniapond.Route
	services map[zinniapond.PoolName]*zinniapond.Service
}

// New returns the table of a configuration. The configuration has to be one for
// which Check returns nil.
func New(r *zinniapond.Routing) *Table {
	t := &Table{
		routing:  r,
		hosts:    make(map[string]map[string]*zinniapond.Route),
		services: make(map[zinniapond.PoolName]*zinniapond.Service, len(r.Services)),
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
	return nil
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
