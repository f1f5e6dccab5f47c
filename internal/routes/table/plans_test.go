package table

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func plan(name zinniapond.PlanName, keys ...string) zinniapond.Plan {
	p := zinniapond.Plan{Name: name}
	for _, key := range keys {
		c := zinniapond.Customer{}
		if key != "" {
			c.KeyHash = sha256.Sum256([]byte(key))
		}
		p.Customers = append(p.Customers, c)
	}
	return p
}

func TestPlans(t *testing.T) {
	refuses := func(names string, plans ...zinniapond.Plan) func(*testing.T) {
		return func(t *testing.T) {
			r := routing(route("r", "h", "/"))
			r.HasPlans, r.Plans = true, plans
			err := Check(r)
			assert.ErrorIs(t, err, zinniapond.ErrMalformed)
			assert.Contains(t, err.Error(), names)
		}
	}
	t.Run("guards against a key of two plans", refuses(`"red": key 2 is also a key of plan "blue"`, plan("blue", "one"), plan("red", "two", "one")))
	t.Run("guards against a key that a plan has twice", refuses(`"blue": key 2`, plan("blue", "one", "one")))
	t.Run("guards against an empty key", refuses(`"blue": key 1`, plan("blue", "")))
	t.Run("guards against two plans with one name", refuses("plan 2", plan("blue", "one"), plan("blue", "two")))
	t.Run("guards against an empty name", refuses("plan 1", plan("", "one")))
	t.Run("guards against a name that ends the header", refuses("plan 1", plan("blue\r\nX-Other: 1", "one")))
	t.Run("guards against a name that arrives without its spaces", refuses("plan 1", plan("blue ", "one")))
	t.Run("guards against a name without end", refuses("plan 1", plan(zinniapond.PlanName(strings.Repeat("b", 300)), "one")))
	t.Run("guards against a limit below 0", refuses(`"blue": rate -1`, zinniapond.Plan{Name: "blue", RequestRate: -1}))
	t.Run("guards against refusing names in other alphabets or case", func(t *testing.T) {
		r := routing(route("r", "h", "/"))
		r.Plans = []zinniapond.Plan{plan("équipe bleue", "one"), plan("ÉQUIPE BLEUE", "two"), plan("組", "three")}
		assert.NoError(t, Check(r))
	})
	t.Run("guards against a key that leads to another plan at 21,000 plans", func(t *testing.T) {
		r := routing(route("r", "h", "/"))
		for i := range 21_000 {
			r.Plans = append(r.Plans, plan(zinniapond.PlanName(fmt.Sprint("plan ", i)), fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)))
		}
		assert.NoError(t, Check(r))
		table := New(r)
		for i := 0; i < 21_000; i += 1000 {
			p, ok := table.FindPlan(sha256.Sum256([]byte(fmt.Sprint("b", i))))
			assert.True(t, ok, "key of plan %d not found", i)
			assert.Equal(t, p.Name, r.Plans[i].Name)
		}
		_, ok := table.FindPlan(sha256.Sum256([]byte("other")))
		assert.True(t, !ok, "unknown key found")
		_, ok = table.FindPlan([32]byte{})
		assert.True(t, !ok, "request without key has a plan")
	})
}

// manyPlans returns a configuration of 21,000 plans with three keys each.
func manyPlans() *zinniapond.Routing {
	r := routing(route("r", "h", "/"))
	for i := range 21_000 {
		r.Plans = append(r.Plans, plan(zinniapond.PlanName(fmt.Sprint("plan ", i)), fmt.Sprint("a", i), fmt.Sprint("b", i), fmt.Sprint("c", i)))
	}
	return r
}

func BenchmarkFindPlan(b *testing.B) {
	table, hash := New(manyPlans()), sha256.Sum256([]byte("b7000"))
	for b.Loop() {
		table.FindPlan(hash)
	}
}

// BenchmarkPlanMemory measures the time in which the tables of a new configuration are
// made, and the memory that plans and tables keep.
func BenchmarkPlanMemory(b *testing.B) {
	inUse := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := inUse()
	r := manyPlans()
	withPlans := inUse()
	var table *Table
	for b.Loop() {
		table = New(r)
	}
	b.ReportMetric((withPlans-before)/1e6, "MB-plans")
	b.ReportMetric((inUse()-withPlans)/1e6, "MB-index")
	runtime.KeepAlive(table)
	runtime.KeepAlive(r)
}
