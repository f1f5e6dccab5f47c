//go:build race

package quota_test

// The race detector of Go 1.26 ends the process after some 16,000 timers of one synctest
// bubble, which larger sites and loads exceed.
const (
	maxFronts      = 14
	suddenPrograms = 160
	// lossFronts and lossPlans are the size of the site in TestPowerLoss.
	lossFronts, lossPlans = 7, 20
	// lossAbove bounds the begun programs that a plan above its limit loses in TestPowerLoss.
	// At 7 fronts more than 3 were lost in 3 of 56 cases, 10 and 4 in the two that were counted.
	lossAbove = 20
)

// tableFronts are the sizes of the site in TestTable.
var tableFronts = []int{7}
