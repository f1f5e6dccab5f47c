// Command review-3 shows the cases of the third review. It starts the project's own
// programs with the commands of the deploy file, on loopback addresses, beside stand-ins for
// consumers, replicas, the replica list and the operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"
)

// broken and held are the exit codes of a rule that was broken or held.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(repository string, r *recorder) int{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE REPOSITORY RECORD")
		os.Exit(failed)
	}
	os.Exit(run1(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run1(show func(string, *recorder) int, repository, record string) (code int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	r := &recorder{file: file, begun: time.Now()}
	r.line("case %s, disruption: %t", filepath.Base(os.Args[1]), trouble)
	defer func() {
		if cause := recover(); cause != nil {
			r.line("the case could not run: %v", cause)
			if _, ok := cause.(cantRun); !ok {
				r.line("%s", debug.Stack())
			}
			code = failed
		}
		r.line("exit code %d", code)
	}()
	return show(repository, r)
}
