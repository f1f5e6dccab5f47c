package lists

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	hashA = strings.Repeat("ab", 32)
	hashB = strings.Repeat("cd", 32)
)

func plansText() string {
	return `; plans of the yard
[plan yard]
class = interactive
weight = 4
budget = 200000/1m   # tokens
turns = 80
tokens = 500000
time = 2h
wait = 5s
customer.rinse = sha256:` + hashA + `
customer.office.2 = sha256:` + hashB + ` until 2027-01-01T00:00:00+01:00

[plan yard.night]
budget = 1/1s
`
}

const usageText = `[plan yard]
models = drum-7b, org/drum:70b
services = app, quotes
[service app]
idempotent = POST /quotes, PUT
`

func TestParse(t *testing.T) {
	t.Run("guards against losing a part of the lists", func(t *testing.T) {
		c, faults := (&Parser{}).Parse(3, plansText(), usageText)
		assert.Equal(t, faults, nil)
		rinse := zinniapond.Customer{Name: "rinse"}
		office := zinniapond.Customer{Name: "office.2", Expires: time.Date(2026, 12, 31, 23, 0, 0, 0, time.UTC)}
		for i := range 32 {
			rinse.KeyHash[i], office.KeyHash[i] = 0xab, 0xcd
		}
		assert.Equal(t, *c, zinniapond.Catalog{
			Version: 3,
			Plans: map[zinniapond.PlanName]zinniapond.Plan{
				"yard": {
					Name: "yard", Class: zinniapond.ClassInteractive, Weight: 4, Budget: 200000, BudgetWindow: time.Minute,
					MaxCalls: 80, MaxTokens: 500000, MaxDuration: 2 * time.Hour, MaxQueueTime: 5 * time.Second,
					Customers: []zinniapond.Customer{rinse, office},
					Models:    []zinniapond.PoolName{"drum-7b", "org/drum:70b"}, Services: []zinniapond.PoolName{"app", "quotes"},
				},
				"yard.night": {
					Name: "yard.night", Class: zinniapond.ClassStandard, Weight: 1, Budget: 1, BudgetWindow: time.Second,
					MaxCalls: defaultMaxCalls, MaxTokens: defaultMaxTokens, MaxDuration: defaultMaxDuration, MaxQueueTime: defaultMaxQueueTime,
				},
			},
			Services: map[zinniapond.PoolName]zinniapond.ServiceRule{
				"app": {Service: "app", Idempotent: []string{"POST /quotes", "PUT"}}, "quotes": {Service: "quotes"},
			},
		})
	})
	t.Run("guards against refusing the empty lists of a new cluster", func(t *testing.T) {
		c, faults := (&Parser{}).Parse(0, "", "")
		assert.Equal(t, faults, nil)
		assert.Equal(t, len(c.Plans), 0)
	})
	t.Run("guards against a parse that takes seconds at the design scale", func(t *testing.T) {
		var plans, usage strings.Builder
		for i := range 21000 {
			fmt.Fprintf(&plans, "[plan p%d]\nbudget = 1000/1m\ncustomer.c%d = sha256:%064x\n", i, i, i+1)
			fmt.Fprintf(&usage, "[plan p%d]\nmodels = m\n", i)
		}
		began := time.Now()
		_, faults := (&Parser{}).Parse(1, plans.String(), usage.String())
		assert.Equal(t, len(faults), 0)
		took := time.Since(began)
		t.Logf("21,000 plans in %s", took)
		assert.True(t, took < 4*time.Second, "took %s", took)
	})
}

func TestFaults(t *testing.T) {
	for _, c := range []struct{ name, old, text, want string }{
		{"an unknown class", "interactive", "urgent", `plans.ini:3: [plan yard] class: unknown class "urgent"; allowed: interactive, standard, batch`},
		{"a weight of 0", "weight = 4", "weight = 0", "plans.ini:4: [plan yard] weight: 0 is out of range; allowed: whole number from 1 to 1000"},
		{"a budget without window", "200000/1m", "200000", `plans.ini:5: [plan yard] budget: "200000" is not a budget; allowed: TOKENS/WINDOW`},
		{"a budget with a long window", "200000/1m", "200000/48h", "plans.ini:5: [plan yard] budget: 48h0m0s is out of range"},
		{"a plan without budget", "budget = 1/1s", "", "plans.ini:13: [plan yard.night] budget is not set"},
		{"an unknown key", "turns", "turn", "plans.ini:6: [plan yard] turn: unknown key; allowed: class, weight"},
		{"a hash that is the key itself", "sha256:" + hashA, "swordfish", "plans.ini:10: [plan yard] customer.rinse: not a SHA-256 hash; allowed: sha256:HEX"},
		{"an expiry without zone", "+01:00", "", "plans.ini:11: [plan yard] customer.office.2: expiry cannot be read"},
		{"one key for two customers", hashB, hashA, "plans.ini:11: [plan yard] customer.office.2: customer rinse has the same key"},
		{"one customer in two plans", "budget = 1/1s", "budget = 1/1s\ncustomer.rinse = sha256:" + strings.Repeat("ef", 32), "plans.ini:15: [plan yard.night] customer.rinse: customer rinse is already at line 10"},
		{"a plan that is there twice", "[plan yard.night]", "[plan  yard]", "plans.ini:13: section [plan yard] is already at line 2"},
		{"a section that is no plan", "[plan yard.night]", "[tariff yard]", "plans.ini:13: unknown section [tariff yard]; allowed: [plan NAME]"},
		{"a plan without name", "[plan yard.night]", "[plan]", `plans.ini:13: "" is not a plan name`},
		{"usage of an unknown plan", "[plan yard]\nmodels", "[plan dock]\nmodels", `usage.ini:1: plan "dock" is not in plans.ini`},
		{"a model that is there twice", "org/drum:70b", "drum-7b", "usage.ini:2: [plan yard] models: drum-7b is named twice"},
		{"an empty name", "app, quotes", "app,, quotes", `usage.ini:3: [plan yard] services: "" is not a name`},
		{"a rule without slash", "POST /quotes", "POST quotes", `usage.ini:5: [service app] idempotent: "POST quotes" is not a rule; allowed: METHOD`},
		{"a rule with dot segments", "POST /quotes", "POST /quotes/../scrap", "usage.ini:5: [service app] idempotent"},
		{"an unknown key of a service", "idempotent", "repeat", "usage.ini:5: [service app] repeat: unknown key; allowed: idempotent"},
	} {
		t.Run("guards against accepting "+c.name, func(t *testing.T) {
			plans := strings.Replace(plansText(), c.old, c.text, 1)
			usage := usageText
			if plans == plansText() {
				usage = strings.Replace(usage, c.old, c.text, 1)
			}
			catalog, faults := (&Parser{}).Parse(1, plans, usage)
			assert.True(t, catalog == nil, "accepted")
			all := fmt.Sprint(faults)
			assert.Contains(t, all, c.want)
			assert.True(t, !strings.Contains(all, "swordfish"), "the key is shown")
		})
	}
	t.Run("guards against showing one fault at a time", func(t *testing.T) {
		_, faults := (&Parser{}).Parse(1, "x = 1\n[plan a]\nclass = b\n[c]\n", "[service /]\n[plan z]\n")
		var at []string
		for _, f := range faults {
			at = append(at, fmt.Sprintf("%s:%d", f.File, f.Line))
		}
		assert.Equal(t, at, []string{"plans.ini:1", "plans.ini:2", "plans.ini:3", "plans.ini:4", "usage.ini:1", "usage.ini:2"})
	})
}

func FuzzParse(f *testing.F) {
	f.Add(plansText(), usageText)
	f.Add("[plan a] # x\r\nbudget = 5/1m ; y\r\n[plan a.b]\r\n\x00", "[service s]\nidempotent = GET /a , PUT\n[plan a]\nmodels=`\n")
	f.Fuzz(func(t *testing.T, plans, usage string) {
		a, faults := (&Parser{}).Parse(1, plans, usage)
		b, repeated := (&Parser{}).Parse(1, plans, usage)
		if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(faults, repeated) {
			t.Fatalf("two outcomes: %v %v, %v %v", a, faults, b, repeated)
		}
		if (a == nil) == (len(faults) == 0) {
			t.Fatalf("catalog %v, faults %v", a, faults)
		}
		for _, fault := range faults {
			if fault.Line < 1 || fault.Problem == "" || fault.Allowed == "" {
				t.Fatalf("fault %+v", fault)
			}
		}
		if a == nil {
			return
		}
		for n, p := range a.Plans {
			if p.Name != n || p.Weight < 1 || p.Budget < 1 || p.BudgetWindow < time.Second || p.MaxQueueTime <= 0 || p.MaxCalls < 1 {
				t.Fatalf("plan %+v", p)
			}
		}
	})
}
