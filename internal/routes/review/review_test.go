package review

import (
	"crypto/sha256"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// valid returns a configuration without findings.
func valid() *zinniapond.Routing {
	return &zinniapond.Routing{
		Version: 4, HasPlans: true,
		Routes: []zinniapond.Route{
			{
				Name: "turns", Host: "h.example", PathPrefix: "/turns/", Kind: zinniapond.RequestStream, Timeout: 3 * time.Second,
				TargetLatency: 250 * time.Millisecond, MaxAttempts: 3, Retained: true, Retention: time.Minute, Resumable: true,
				Splits: []zinniapond.Split{{Service: "model", Weight: 1}},
			},
			{
				Name: "tools", Host: "h.example", PathPrefix: "/tools/", Kind: zinniapond.RequestSafe, Timeout: time.Second,
				MaxAttempts: 1, Splits: []zinniapond.Split{{Service: "plain", Weight: 1}},
			},
		},
		Services: []zinniapond.Service{{Name: "model"}, {Name: "plain"}},
		Plans:    []zinniapond.Plan{plan("blue", "one", "two"), plan("red", "three")},
	}
}

func plan(name zinniapond.PlanName, keys ...string) zinniapond.Plan {
	p := zinniapond.Plan{Name: name}
	for _, k := range keys {
		p.Customers = append(p.Customers, zinniapond.Customer{KeyHash: sha256.Sum256([]byte(k))})
	}
	return p
}

// review returns the review of a configuration after a change.
func review(change func(*zinniapond.Routing), current *zinniapond.Routing) zinniapond.RoutingReview {
	next := valid()
	change(next)
	return Reviewer{}.Review(next, current)
}

// assertFindings checks severity, code and place of all findings.
func assertFindings(t *testing.T, r zinniapond.RoutingReview, want ...string) {
	t.Helper()
	var got []string
	for _, f := range r.Findings {
		got = append(got, string(f.Severity)+" "+f.Code+" "+f.Place.String())
	}
	assert.Equal(t, got, want)
}

func TestFindings(t *testing.T) {
	finds := func(change func(*zinniapond.Routing), want ...string) func(*testing.T) {
		return func(t *testing.T) { assertFindings(t, review(change, nil), want...) }
	}
	t.Run("guards against findings in a sound configuration", finds(func(*zinniapond.Routing) {}))
	t.Run("guards against errors that come after the first one", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Splits[0].Service, r.Routes[1].Timeout = "none", 0
	}, `error route-service route "turns"`, `error route-timeout route "tools"`, `warning service-unused service "model"`))
	t.Run("guards against a route that another one hides", finds(func(r *zinniapond.Routing) {
		r.Routes = append(r.Routes, r.Routes[1])
		r.Routes[2].Name = "again"
	}, `error route-hidden route "again"`))
	t.Run("guards against a host that no request has", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Host, r.Routes[1].Host = "h.example:80", "H.example"
	}, `warning route-unmatched route "turns"`, `warning route-unmatched route "tools"`))
	t.Run("guards against a warning for an address as a host", finds(func(r *zinniapond.Routing) { r.Routes[0].Host = "fd00::1" }))
	t.Run("guards against a prefix that no path has", finds(func(r *zinniapond.Routing) {
		r.Routes[0].PathPrefix, r.Routes[1].PathPrefix = "/a b/", "/é/"
	}, `warning route-unmatched route "turns"`, `warning route-unmatched route "tools"`))
	t.Run("guards against a split that gets no requests", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Splits = append(r.Routes[0].Splits, zinniapond.Split{Service: "plain"})
	}, `warning split-unused route "turns"`))
	t.Run("guards against a service that no route names", finds(func(r *zinniapond.Routing) {
		r.Services = append(r.Services, zinniapond.Service{Name: "old"})
	}, `warning service-unused service "old"`))
	t.Run("guards against a plan that no client can use", finds(func(r *zinniapond.Routing) {
		r.Plans[1].Customers = nil
	}, `warning plan-without-keys plan "red"`))
	t.Run("guards against an empty list of plans that closes all routes", finds(func(r *zinniapond.Routing) {
		r.Plans = nil
	}, "warning plans-empty configuration"))
	t.Run("guards against a limit under which no program runs", finds(func(r *zinniapond.Routing) {
		r.Plans[0].RequestRate = 0.5
	}, `warning limit-below-program plan "blue"`))
	t.Run("guards against a warning for a limit that a burst or a rate makes sufficient", finds(func(r *zinniapond.Routing) {
		r.Plans[0].RequestRate, r.Plans[0].RequestBurst = 0.5, 1
		r.Plans[1].RequestRate = 1
	}))
	t.Run("guards against a burst without a limit", finds(func(r *zinniapond.Routing) {
		r.Plans[0].RequestBurst = 5
	}, `warning burst-without-rate plan "blue"`))
	t.Run("guards against a timeout below the target latency", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Timeout = 200 * time.Millisecond
	}, `warning timeout-below-target route "turns"`))
	t.Run("guards against more attempts than the timeout allows", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Timeout = 749 * time.Millisecond
	}, `warning attempts-above-timeout route "turns"`))
	t.Run("guards against a warning for attempts that just fit", finds(func(r *zinniapond.Routing) {
		r.Routes[0].Timeout = 750 * time.Millisecond
	}))
	t.Run("guards against kept turns of a route that has none", finds(func(r *zinniapond.Routing) {
		r.Routes[1].Retained = true
	}, `warning retention-without-stream route "tools"`))
	t.Run("guards against a resumable route that is no stream", finds(func(r *zinniapond.Routing) {
		r.Routes[1].Resumable = true
	}, `warning resumable-without-stream route "tools"`))
}

func TestVersion(t *testing.T) {
	t.Run("guards against a change that is accepted without effect", func(t *testing.T) {
		r := review(func(r *zinniapond.Routing) { r.Routes[0].Timeout = time.Second }, valid())
		assertFindings(t, r, "warning version-not-higher configuration")
	})
	t.Run("guards against a version below the one in force", func(t *testing.T) {
		assertFindings(t, review(func(r *zinniapond.Routing) { r.Version = 3 }, valid()), "warning version-not-higher configuration")
	})
	t.Run("guards against a warning for the configuration in force itself", func(t *testing.T) {
		r := review(func(*zinniapond.Routing) {}, valid())
		assertFindings(t, r)
		assert.True(t, r.Changes.IsEmpty(), "%+v", r.Changes)
	})
}
