package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"zinniapond.example/zinniapond"
)

// plansWithBudget returns the script's list of plans with the given budget in each
// plan.
func plansWithBudget(ts *testscript.TestScript, budget int) string {
	text := string(readFile(ts, ts.MkAbs("lists/plans.ini")))
	return regexp.MustCompile(`budget = \d+`).ReplaceAllString(text, "budget = "+strconv.Itoa(budget))
}

// putLists sends a change of the lists, made from version expect, and returns the
// status. change is the id of the change.
func putLists(ts *testscript.TestScript, address string, expect int, change, plans string) int {
	usage := string(readFile(ts, ts.MkAbs("lists/usage.ini")))
	body, err := json.Marshal(map[string]any{"expect": expect, "change": change, "plans": plans, "usage": usage})
	ts.Check(err)
	r, err := http.NewRequest(http.MethodPut, "http://"+address+"/v1/lists", strings.NewReader(string(body)))
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	got, err := http.DefaultClient.Do(r)
	ts.Check(err)
	ts.Check(got.Body.Close())
	return got.StatusCode
}

// listsVersion returns the version of the lists that a host has in force.
func listsVersion(ts *testscript.TestScript, address string) zinniapond.Version {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/lists", nil)
	ts.Check(err)
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	got, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer got.Body.Close()
	var lists zinniapond.Lists
	ts.Check(json.NewDecoder(got.Body).Decode(&lists))
	return lists.Version
}

// raceChanges lets two operators change the lists concurrently from the same
// version through two hosts. The script command is: race ROUNDS ADDRESS ADDRESS. It
// checks in each round that exactly one change is accepted, that both operators
// get the same outcome when they send their change again, and that both hosts have
// the new version in force within the bound of 4 s.
func raceChanges(ts *testscript.TestScript, _ bool, args []string) {
	rounds, err := strconv.Atoi(args[0])
	ts.Check(err)
	addresses := args[1:]
	for n := range rounds {
		before := waitForNewest(ts, addresses)
		sendChange := func(i int) int {
			return putLists(ts, addresses[i], before, fmt.Sprintf("round-%d-%d", before, i), plansWithBudget(ts, 1000*(2*n+i+1)))
		}
		var first [2]int
		var group sync.WaitGroup
		for i := range first {
			group.Go(func() { first[i] = sendChange(i) })
		}
		group.Wait()
		if first[0]+first[1] != http.StatusOK+http.StatusConflict {
			ts.Fatalf("round %d: statuses %v, want one 200 and one 409", n, first)
		}
		accepted := time.Now()
		for i := range first {
			if again := sendChange(i); again != first[i] {
				ts.Fatalf("round %d: operator %d got %d, and %d when it resent the change", n, i, first[i], again)
			}
		}
		for _, a := range addresses {
			eventually(ts, 4*time.Second, "version in force", func() bool { return int(listsVersion(ts, a)) > before })
		}
		if took := time.Since(accepted); took > 4*time.Second {
			ts.Fatalf("round %d: in force after %s", n, took)
		}
	}
}

// waitForNewest returns the highest version that one of the hosts has in force,
// once all of them have it. A change that one host has accepted reaches the others
// with a delay, and in a round that starts from an older version no change would
// be accepted.
func waitForNewest(ts *testscript.TestScript, addresses []string) int {
	newest := 0
	for _, a := range addresses {
		newest = max(newest, int(listsVersion(ts, a)))
	}
	for _, a := range addresses {
		eventually(ts, 4*time.Second, "version in force before the round", func() bool { return int(listsVersion(ts, a)) >= newest })
	}
	return newest
}

// makeChanges changes the lists many times, one after the other. The script
// command is: changes COUNT ADDRESS.
func makeChanges(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	before := int(listsVersion(ts, args[1]))
	for n := range count {
		if status := putLists(ts, args[1], before+n, fmt.Sprintf("change-%d", n), plansWithBudget(ts, 100000+n)); status != http.StatusOK {
			ts.Fatalf("change %d: status %d", n, status)
		}
	}
}

// measureStart starts a host and prints the time until it has a valid lease. The
// script command is: ready NAME ADDRESS WITHIN.
func measureStart(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[2])
	ts.Check(err)
	began := time.Now()
	startHost(ts, args[0])
	a := httpRequest{key: operatorKey, method: "GET", status: 200, match: `^200 \n\{"host":"` + args[0] + `"[^{]*"fresh":true`, url: "http://" + args[1] + "/v1/status"}
	eventually(ts, within, "lease of "+args[0], func() bool {
		_, ok := a.send()
		return ok
	})
	fmt.Fprintf(ts.Stdout(), "ready after %s\n", time.Since(began).Round(time.Millisecond))
}

func startHost(ts *testscript.TestScript, name string) {
	stateOf(ts).processes[name] = startProcess(ts, name, []string{"node", "run", "--settings", name + ".ini"})
}

// findLeader asks a host for the control leader and sets OWNER to it and OTHER to
// another host, as findOwner does. The script command is: leader ADDRESS HOST...
func findLeader(ts *testscript.TestScript, _ bool, args []string) {
	var text string
	eventually(ts, 10*time.Second, "a leader", func() bool {
		a := httpRequest{key: operatorKey, method: "GET", status: 200, match: `"leader":"\w`, url: "http://" + args[0] + "/v1/status"}
		var ok bool
		text, ok = a.send()
		return ok
	})
	leader := regexp.MustCompile(`"leader":"(\w+)"`).FindStringSubmatch(text)[1]
	setHostVariables(ts, leader, args[1:])
}

// sendCalls sends model calls, one after the other, and checks that each gets
// status 200. The script command is: calls COUNT ADDRESS.
func sendCalls(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range count {
		a := httpRequest{
			key: "yard key", method: "POST", status: 200, url: "http://" + args[1] + "/v1/chat/completions",
			body: fmt.Sprintf(`{"model": "small", "max_tokens": 2, "messages": [{"role": "user", "content": "drum %d"}]}`, n),
		}
		if text, ok := a.send(); !ok {
			ts.Fatalf("call %d: %s", n, text)
		}
	}
}

// pauseScript waits for a fixed time, such as a bound that a requirement sets. The
// script command is: pause TIME.
func pauseScript(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// callUntilRefused sends calls of one program to a service and checks that the
// first TURNS calls get status 200 and the next one does not. The script command
// is: loop TURNS KEY ADDRESS.
func callUntilRefused(ts *testscript.TestScript, _ bool, args []string) {
	turns, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range turns + 1 {
		a := httpRequest{
			key: args[1], method: "POST", status: 200, url: "http://" + args[2] + "/services/drums/loops",
			header: "Zinniapond-Program: loop", body: strconv.Itoa(n),
		}
		if text, ok := a.send(); ok != (n < turns) {
			ts.Fatalf("turn %d of %d: %s", n+1, turns, text)
		}
	}
}

// measureInForce changes the lists through the first host and waits until every
// host has the new version in force or admits no calls. It fails if that takes
// more than the bound of 4 s, and prints the longest time. The script command is:
// inforce ROUNDS HOST...
func measureInForce(ts *testscript.TestScript, _ bool, args []string) {
	rounds, err := strconv.Atoi(args[0])
	ts.Check(err)
	hosts := args[1:]
	operators := func(host string) string { return ts.Getenv(strings.ToUpper(host) + "_OPERATORS") }
	var longest time.Duration
	for range rounds {
		before := int(listsVersion(ts, operators(hosts[0])))
		change := fmt.Sprintf("in-force-%d", before)
		if status := putLists(ts, operators(hosts[0]), before, change, plansWithBudget(ts, 100000+before)); status != http.StatusOK {
			ts.Fatalf("change from version %d: status %d", before, status)
		}
		accepted := time.Now()
		for _, h := range hosts {
			eventually(ts, 4*time.Second, "version in force or nothing admitted at "+h, func() bool {
				if int(listsVersion(ts, operators(h))) > before {
					return true
				}
				health := httpRequest{method: "GET", status: http.StatusServiceUnavailable, url: "http://" + ts.Getenv(strings.ToUpper(h)+"_CALLERS") + "/healthz"}
				_, ok := health.send()
				return ok
			})
		}
		longest = max(longest, time.Since(accepted))
	}
	fmt.Fprintf(ts.Stdout(), "longest of %d changes: %s\n", rounds, longest.Round(time.Millisecond))
}
