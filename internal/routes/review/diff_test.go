package review

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestChanges(t *testing.T) {
	turns := zinniapond.RouteID{Name: "turns", Host: "h.example", PathPrefix: "/turns/"}
	changes := func(change func(*zinniapond.Routing), want zinniapond.RoutingChanges) func(*testing.T) {
		return func(t *testing.T) {
			want.From, want.To = 4, 5
			got := review(func(r *zinniapond.Routing) {
				r.Version = 5
				change(r)
			}, valid()).Changes
			assert.Equal(t, *got, want)
		}
	}
	t.Run("guards against changes that are only a new version", changes(func(*zinniapond.Routing) {}, zinniapond.RoutingChanges{}))
	t.Run("guards against a missed route that is new or gone", changes(func(r *zinniapond.Routing) {
		r.Routes[0].PathPrefix = "/new/"
	}, zinniapond.RoutingChanges{
		RoutesAdded:   []zinniapond.RouteID{{Name: "turns", Host: "h.example", PathPrefix: "/new/"}},
		RoutesRemoved: []zinniapond.RouteID{turns},
	}))
	t.Run("guards against a missed move to another service", changes(func(r *zinniapond.Routing) {
		r.Routes[0].Splits[0].Service = "plain"
	}, zinniapond.RoutingChanges{RoutesMoved: []zinniapond.RouteMove{{
		Route: turns, Before: []zinniapond.Split{{Service: "model", Weight: 1}}, After: []zinniapond.Split{{Service: "plain", Weight: 1}},
	}}}))
	t.Run("guards against a missed timeout", changes(func(r *zinniapond.Routing) {
		r.Routes[0].Timeout = time.Second
	}, zinniapond.RoutingChanges{TimeoutsChanged: []zinniapond.TimeoutChange{{Route: turns, Before: 3 * time.Second, After: time.Second}}}))
	t.Run("guards against a missed service that is new or gone", changes(func(r *zinniapond.Routing) {
		r.Services[1].Name = "new"
	}, zinniapond.RoutingChanges{ServicesAdded: []zinniapond.PoolName{"new"}, ServicesRemoved: []zinniapond.PoolName{"plain"}}))
	t.Run("guards against a missed plan that is new or gone", changes(func(r *zinniapond.Routing) {
		r.Plans[0].Name = "green"
	}, zinniapond.RoutingChanges{
		PlansAdded: []zinniapond.PlanName{"green"}, PlansRemoved: []zinniapond.PlanName{"blue"},
		KeysChanged: []zinniapond.KeyChange{{Plan: "green", Added: 2}, {Plan: "blue", Removed: 2}},
	}))
	t.Run("guards against a missed key that is new or gone", changes(func(r *zinniapond.Routing) {
		r.Plans[0] = plan("blue", "four", "two", "five")
	}, zinniapond.RoutingChanges{KeysChanged: []zinniapond.KeyChange{{Plan: "blue", Added: 2, Removed: 1}}}))
	t.Run("guards against counting keys in another order as changed", changes(func(r *zinniapond.Routing) {
		r.Plans[0] = plan("blue", "two", "one")
	}, zinniapond.RoutingChanges{}))
	t.Run("guards against other changes that are not mentioned", changes(func(r *zinniapond.Routing) {
		r.Routes[1].Public, r.Services[0].ConnectionLimit, r.Plans[1].Priority, r.Limits.MaxBodyBytes = true, 9, 1, 1
	}, zinniapond.RoutingChanges{OtherChanges: []zinniapond.Place{
		{Kind: zinniapond.EntryRoute, Number: 2, Name: "tools"},
		{Kind: zinniapond.EntryService, Number: 1, Name: "model"},
		{Kind: zinniapond.EntryPlan, Number: 2, Name: "red"},
		{Kind: zinniapond.EntryConfiguration},
	}}))
}
