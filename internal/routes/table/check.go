package table

import (
	"fmt"
	"math"
	"strings"

	"zinniapond.example/zinniapond"
)

// maxNameBytes bounds the name of a plan, which is sent in a header field.
const maxNameBytes = 256

// Check returns the first fault of a configuration, or nil. The error wraps
// zinniapond.ErrMalformed.
func Check(r *zinniapond.Routing) error {
	faults := Faults(r)
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("%s: %w", faults[0], zinniapond.ErrMalformed)
}

// Faults returns all faults of a configuration, in its order. They never contain a key.
func Faults(r *zinniapond.Routing) []zinniapond.Finding {
	var c checker
	services := make(map[zinniapond.PoolName]bool, len(r.Services))
	for i, s := range r.Services {
		if s.Name == "" || services[s.Name] {
			c.add(zinniapond.Place{Kind: zinniapond.EntryService, Number: i + 1, Name: string(s.Name)}, "service-name", "name is missing or that of another service")
		}
		services[s.Name] = true
	}
	others := make(map[string]string, len(r.Routes))
	for i := range r.Routes {
		route := &r.Routes[i]
		place := zinniapond.Place{Kind: zinniapond.EntryRoute, Number: i + 1, Name: route.Name}
		c.checkRoute(place, route, services)
		hostAndPrefix := route.Host + route.PathPrefix
		if other, ok := others[hostAndPrefix]; ok {
			c.add(place, "route-hidden", "same host and prefix as route %q: one of them gets no requests", other)
		} else {
			others[hostAndPrefix] = route.Name
		}
	}
	c.checkPlans(r.Plans)
	return c.faults
}

// checker collects faults.
type checker struct {
	faults []zinniapond.Finding
}

func (c *checker) add(place zinniapond.Place, code, format string, args ...any) {
	c.faults = append(c.faults, zinniapond.Finding{
		Severity: zinniapond.SeverityError, Code: code, Place: place, Problem: fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkRoute(place zinniapond.Place, r *zinniapond.Route, services map[zinniapond.PoolName]bool) {
	if r.Host == "" {
		c.add(place, "route-host", "no host")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(place, "route-prefix", "prefix %q does not begin and end with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		c.add(place, "route-timeout", "timeout %s", r.Timeout)
	}
	if r.Kind != zinniapond.RequestSafe && r.Kind != zinniapond.RequestUnsafe && r.Kind != zinniapond.RequestStream {
		c.add(place, "route-kind", "unknown kind %q", r.Kind)
	}
	total, isNegative := 0, false
	for _, s := range r.Splits {
		if !services[s.Service] {
			c.add(place, "route-service", "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			c.add(place, "route-weight", "weight %d", s.Weight)
			isNegative = true
		}
		total += s.Weight
	}
	if total == 0 && !isNegative {
		c.add(place, "route-weights", "weights add up to 0")
	}
}

// checkPlans checks the names and the keys of plans.
func (c *checker) checkPlans(plans []zinniapond.Plan) {
	names := make(map[zinniapond.PlanName]bool, len(plans))
	holders := make(map[[32]byte]zinniapond.PlanName, len(plans))
	for i := range plans {
		p := &plans[i]
		place := zinniapond.Place{Kind: zinniapond.EntryPlan, Number: i + 1}
		switch {
		case !isHeaderValue(string(p.Name)) || len(p.Name) > maxNameBytes:
			c.add(place, "plan-name", "name %.64q cannot be sent in a header field", p.Name)
		case names[p.Name]:
			c.add(place, "plan-name-taken", "name %.64q is that of another plan", p.Name)
		}
		place.Name = string(p.Name)
		if p.RequestRate < 0 || math.IsNaN(float64(p.RequestRate)) || math.IsInf(float64(p.RequestRate), 0) || p.RequestBurst < 0 {
			c.add(place, "plan-limit", "rate %v and burst %d", p.RequestRate, p.RequestBurst)
		}
		names[p.Name] = true
		for j, customer := range p.Customers {
			place.Key = j + 1
			if customer.KeyHash == [32]byte{} {
				c.add(place, "key-invalid", "key %d is empty or cannot be sent in a header field", j+1)
			} else if other, ok := holders[customer.KeyHash]; ok {
				c.add(place, "key-taken", "key %d is also a key of plan %.64q", j+1, other)
			} else {
				holders[customer.KeyHash] = p.Name
			}
		}
	}
}

// isHeaderValue reports whether a text arrives unchanged as the value of a header field.
func isHeaderValue(text string) bool {
	if text == "" || strings.Trim(text, " \t") != text {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
