// Command standin plays the scripted cases of the review. It starts the programs of
// the deploy file as separate processes on loopback addresses, with stand-ins for the
// provider, the replicas, the consumers and the operator.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// scenario plays one case and reports whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

// scenarios has the cases by name. Each case adds itself.
var scenarios = make(map[string]scenario)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	repository, err := findRepository()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	w, err := newWorld(repository, r)
	if err != nil {
		r.add("the case cannot run: %v", err)
		return 2
	}
	defer w.stop()
	w.trouble = os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption %t", name, w.trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w)
		done <- result{broken, err}
	}()
	select {
	case v := <-done:
		switch {
		case v.err != nil:
			r.add("the case cannot run: %v", v.err)
			return 2
		case v.broken:
			r.add("RESULT: the rule is broken")
			return 1
		}
		r.add("RESULT: the rule held")
		return 0
	case <-time.After(limit):
		r.add("the case cannot run: it took more than %s", limit)
		return 2
	}
}

// findRepository returns the root of the repository, which has the deploy file.
func findRepository() (string, error) {
	folder, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(folder, "deploy", "system.toml")); statErr == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", fmt.Errorf("no deploy file above the working folder")
		}
		folder = parent
	}
	return "", err
}
