//go:build !race

package quota_test

// tableFronts are the sizes of the site in TestTable.
var tableFronts = []int{7, 54, 171, 390}
