// Command standin-2 plays the scripted cases of the second review.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool) (broken bool, err error){
	"retire": runRetire,
	"bodies": runBodies,
	"queued": runQueued,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	if err := openRecord(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		conclude("not run: %v", err)
	case broken:
		conclude("the rule was broken")
	default:
		conclude("the rule held")
	}
	closeRecord()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
