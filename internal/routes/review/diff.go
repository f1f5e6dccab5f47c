package review

import (
	"reflect"
	"slices"

	"zinniapond.example/zinniapond"
)

// compare returns what differs between the configuration in force and the next one.
func compare(next, current *zinniapond.Routing) *zinniapond.RoutingChanges {
	c := &zinniapond.RoutingChanges{From: current.Version, To: next.Version}
	compareRoutes(c, next.Routes, current.Routes)
	compareServices(c, next.Services, current.Services)
	comparePlans(c, next.Plans, current.Plans)
	if next.Limits != current.Limits || next.HasPlans != current.HasPlans {
		c.OtherChanges = append(c.OtherChanges, zinniapond.Place{Kind: zinniapond.EntryConfiguration})
	}
	return c
}

// match is what a route matches.
type match struct {
	host, prefix string
}

func idOf(r *zinniapond.Route) zinniapond.RouteID {
	return zinniapond.RouteID{Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix}
}

func compareRoutes(c *zinniapond.RoutingChanges, next, current []zinniapond.Route) {
	matchOf := func(r *zinniapond.Route) match { return match{r.Host, r.PathPrefix} }
	before, after := index(current, matchOf), index(next, matchOf)
	for i := range next {
		route := &next[i]
		old, ok := before[matchOf(route)]
		if !ok {
			c.RoutesAdded = append(c.RoutesAdded, idOf(route))
			continue
		}
		if !slices.Equal(old.Splits, route.Splits) {
			c.RoutesMoved = append(c.RoutesMoved, zinniapond.RouteMove{Route: idOf(route), Before: old.Splits, After: route.Splits})
		}
		if old.Timeout != route.Timeout {
			c.TimeoutsChanged = append(c.TimeoutsChanged, zinniapond.TimeoutChange{Route: idOf(route), Before: old.Timeout, After: route.Timeout})
		}
		rest := *old
		rest.Splits, rest.Timeout = route.Splits, route.Timeout
		addOther(c, rest, *route, zinniapond.Place{Kind: zinniapond.EntryRoute, Number: i + 1, Name: route.Name})
	}
	for i := range current {
		if _, ok := after[matchOf(&current[i])]; !ok {
			c.RoutesRemoved = append(c.RoutesRemoved, idOf(&current[i]))
		}
	}
}

func compareServices(c *zinniapond.RoutingChanges, next, current []zinniapond.Service) {
	nameOf := func(s *zinniapond.Service) zinniapond.PoolName { return s.Name }
	before, after := index(current, nameOf), index(next, nameOf)
	for i := range next {
		s := &next[i]
		if old, ok := before[s.Name]; ok {
			addOther(c, *old, *s, zinniapond.Place{Kind: zinniapond.EntryService, Number: i + 1, Name: string(s.Name)})
		} else {
			c.ServicesAdded = append(c.ServicesAdded, s.Name)
		}
	}
	for _, s := range current {
		if _, ok := after[s.Name]; !ok {
			c.ServicesRemoved = append(c.ServicesRemoved, s.Name)
		}
	}
}

func comparePlans(c *zinniapond.RoutingChanges, next, current []zinniapond.Plan) {
	nameOf := func(p *zinniapond.Plan) zinniapond.PlanName { return p.Name }
	before, after := index(current, nameOf), index(next, nameOf)
	for i := range next {
		p := &next[i]
		old, ok := before[p.Name]
		if !ok {
			c.PlansAdded = append(c.PlansAdded, p.Name)
			c.KeysChanged = appendKeys(c.KeysChanged, p.Name, p.Customers, nil)
			continue
		}
		c.KeysChanged = appendKeys(c.KeysChanged, p.Name, p.Customers, old.Customers)
		rest := *old
		rest.Customers = p.Customers
		addOther(c, rest, *p, zinniapond.Place{Kind: zinniapond.EntryPlan, Number: i + 1, Name: string(p.Name)})
	}
	for i := range current {
		p := &current[i]
		if _, ok := after[p.Name]; !ok {
			c.PlansRemoved = append(c.PlansRemoved, p.Name)
			c.KeysChanged = appendKeys(c.KeysChanged, p.Name, nil, p.Customers)
		}
	}
}

// appendKeys appends the number of keys that a plan gains and loses, if any. Keys are
// compared by their hashes, whatever their order is.
func appendKeys(list []zinniapond.KeyChange, plan zinniapond.PlanName, next, current []zinniapond.Customer) []zinniapond.KeyChange {
	hashOf := func(c *zinniapond.Customer) [32]byte { return c.KeyHash }
	k := zinniapond.KeyChange{Plan: plan, Added: countMissing(index(next, hashOf), index(current, hashOf))}
	k.Removed = countMissing(index(current, hashOf), index(next, hashOf))
	if k.Added+k.Removed > 0 {
		list = append(list, k)
	}
	return list
}

// addOther notes an entry of which something else has changed.
func addOther(c *zinniapond.RoutingChanges, before, after any, place zinniapond.Place) {
	if !reflect.DeepEqual(before, after) {
		c.OtherChanges = append(c.OtherChanges, place)
	}
}

// index returns the entries of a list by their keys. Of several with the same key it has
// the last one, as the look-up of requests does.
func index[K comparable, T any](list []T, keyOf func(*T) K) map[K]*T {
	m := make(map[K]*T, len(list))
	for i := range list {
		m[keyOf(&list[i])] = &list[i]
	}
	return m
}

// countMissing returns the number of entries of one index that another has not.
func countMissing[K comparable, T any](in, from map[K]*T) int {
	count := 0
	for k := range in {
		if _, ok := from[k]; !ok {
			count++
		}
	}
	return count
}
