//go:build race

package quota_test

// tableFronts are the sizes of the site in TestTable. The race detector of Go 1.26 ends the
// process after some 16,000 timers of one synctest bubble, which larger sites exceed.
var tableFronts = []int{7}
