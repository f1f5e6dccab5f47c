package lists

import (
	"fmt"
	"strings"
	"testing"
)

// makeLists returns lists with the given number of plans of one customer each.
func makeLists(plans int) (string, string) {
	var p, u strings.Builder
	for i := range plans {
		fmt.Fprintf(&p, "[plan team-%05d]\nclass = standard\nbudget = 200000/1m\ncustomer.team-%05d = sha256:%064x\n", i, i, i)
		fmt.Fprintf(&u, "[plan team-%05d]\nmodels = small, large\n", i)
	}
	return p.String(), u.String()
}

// BenchmarkParse measures the cost of a change of the lists on each host, by the
// number of plans.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1000, 21000} {
		plans, usage := makeLists(n)
		b.Run(fmt.Sprintf("plans=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := new(Parser).Parse(1, plans, usage); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
			b.ReportMetric(float64(len(plans)+len(usage)), "bytes")
		})
	}
}
