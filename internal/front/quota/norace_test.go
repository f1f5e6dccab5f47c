//go:build !race

package quota_test

const (
	// maxFronts bounds the fronts of a site.
	maxFronts = 1000
	// lossFronts and lossPlans are the size of the site in TestPowerLoss.
	lossFronts, lossPlans = 54, 81
	// lossAbove bounds the begun programs that a plan above its limit loses in TestPowerLoss.
	lossAbove = 3
	// suddenPrograms is the number of requests a second in a sudden load.
	suddenPrograms = 480
)

// tableFronts are the sizes of the site in TestTable.
var tableFronts = []int{7, 54, 171, 390}
