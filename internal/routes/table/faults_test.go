package table

import (
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestFaults guards against faults that are found only after the first one is mended.
func TestFaults(t *testing.T) {
	r := routing(
		route("a", "h", "/a/", zinniapond.Split{Service: "none", Weight: 1}, zinniapond.Split{Service: "pool", Weight: -1}),
		zinniapond.Route{Name: "b", PathPrefix: "b", Kind: "other", Splits: []zinniapond.Split{{Service: "pool"}}},
		route("c", "h", "/a/"),
	)
	r.Services = append(r.Services, zinniapond.Service{Name: "pool"}, zinniapond.Service{})
	r.Plans = []zinniapond.Plan{plan("blue", "one", ""), plan("blue", "two", "one"), plan("", "three")}
	r.Plans[0].RequestRate = -1
	var got []string
	for _, f := range Faults(r) {
		assert.Equal(t, f.Severity, zinniapond.SeverityError)
		got = append(got, f.Code+" "+f.Place.String())
	}
	assert.Equal(t, got, []string{
		`service-name service "pool"`, "service-name service 4",
		`route-service route "a"`, `route-weight route "a"`,
		`route-host route "b"`, `route-prefix route "b"`, `route-timeout route "b"`, `route-kind route "b"`, `route-weights route "b"`,
		`route-hidden route "c"`,
		`plan-limit plan "blue"`, `key-invalid plan "blue"`, "plan-name-taken plan 2", `key-taken plan "blue"`, "plan-name plan 3",
	})
	assert.Equal(t, Faults(r)[11].Place, zinniapond.Place{Kind: zinniapond.EntryPlan, Number: 1, Name: "blue", Key: 2})
	assert.Equal(t, Faults(r)[13].Place, zinniapond.Place{Kind: zinniapond.EntryPlan, Number: 2, Name: "blue", Key: 2})
	assert.Contains(t, Check(r).Error(), Faults(r)[0].Problem)
}
