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

// plansText is a list of plans that differs for each budget.
func plansText(ts *testscript.TestScript, budget int) string {
	text := string(readFile(ts, ts.MkAbs("lists/plans.ini")))
	return regexp.MustCompile(`budget = \d+`).ReplaceAllString(text, "budget = "+strconv.Itoa(budget))
}

// put sends a change of the lists and returns the status.
func put(ts *testscript.TestScript, address string, expect int, change, plans string) int {
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

// version returns the version of the lists that a host has in force.
func version(ts *testscript.TestScript, address string) zinniapond.Version {
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

// race has two operators change the lists from the same version at the same
// time through two hosts: race ROUNDS ADDRESS ADDRESS. In each round one wins,
// both get the first outcome again when they resend, and every host has the new
// version within the bound of 4 s.
func race(ts *testscript.TestScript, _ bool, args []string) {
	rounds, err := strconv.Atoi(args[0])
	ts.Check(err)
	addresses := args[1:]
	for n := range rounds {
		before := newest(ts, addresses)
		try := func(i int) int {
			return put(ts, addresses[i], before, fmt.Sprintf("round-%d-%d", before, i), plansText(ts, 1000*(2*n+i+1)))
		}
		var first [2]int
		var group sync.WaitGroup
		for i := range first {
			group.Go(func() { first[i] = try(i) })
		}
		group.Wait()
		if first[0]+first[1] != http.StatusOK+http.StatusConflict {
			ts.Fatalf("round %d: statuses %v, want one 200 and one 409", n, first)
		}
		accepted := time.Now()
		for i := range first {
			if again := try(i); again != first[i] {
				ts.Fatalf("round %d: operator %d got %d, and %d when it resent the change", n, i, first[i], again)
			}
		}
		for _, a := range addresses {
			eventually(ts, 4*time.Second, "version in force", func() bool { return int(version(ts, a)) > before })
		}
		if took := time.Since(accepted); took > 4*time.Second {
			ts.Fatalf("round %d: in force after %s", n, took)
		}
	}
}

// newest returns the highest version that one of the hosts has in force, once all
// have it: a change that was accepted by one host is at the others a moment later,
// and a round that begins with an older version has no winner.
func newest(ts *testscript.TestScript, addresses []string) int {
	most := 0
	for _, a := range addresses {
		most = max(most, int(version(ts, a)))
	}
	for _, a := range addresses {
		eventually(ts, 4*time.Second, "version in force before the round", func() bool { return int(version(ts, a)) >= most })
	}
	return most
}

// changes makes many changes of the lists: changes COUNT ADDRESS.
func changes(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	before := int(version(ts, args[1]))
	for n := range count {
		if status := put(ts, args[1], before+n, fmt.Sprintf("change-%d", n), plansText(ts, 100000+n)); status != http.StatusOK {
			ts.Fatalf("change %d: status %d", n, status)
		}
	}
}

// ready measures how long a host needs from its start until its lease holds:
// ready NAME ADDRESS WITHIN.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[2])
	ts.Check(err)
	began := time.Now()
	startProcessAs(ts, args[0])
	a := ask{key: operatorKey, method: "GET", status: 200, match: `^200 \n\{"host":"` + args[0] + `"[^{]*"fresh":true`, url: "http://" + args[1] + "/v1/status"}
	eventually(ts, within, "lease of "+args[0], func() bool {
		_, ok := a.send()
		return ok
	})
	fmt.Fprintf(ts.Stdout(), "ready after %s\n", time.Since(began).Round(time.Millisecond))
}

func startProcessAs(ts *testscript.TestScript, name string) {
	fieldOf(ts).processes[name] = startProcess(ts, name, []string{"node", "run", "--settings", name + ".ini"})
}

// leader finds the control leader: leader ADDRESS HOST... sets OWNER and OTHER
// as the command owner does.
func leader(ts *testscript.TestScript, _ bool, args []string) {
	var text string
	eventually(ts, 10*time.Second, "a leader", func() bool {
		a := ask{key: operatorKey, method: "GET", status: 200, match: `"leader":"\w`, url: "http://" + args[0] + "/v1/status"}
		var ok bool
		text, ok = a.send()
		return ok
	})
	found := regexp.MustCompile(`"leader":"(\w+)"`).FindStringSubmatch(text)[1]
	name(ts, found, args[1:])
}

// calls sends model calls one after another, all of which have to be answered:
// calls COUNT ADDRESS.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range count {
		a := ask{
			key: "yard key", method: "POST", status: 200, url: "http://" + args[1] + "/v1/chat/completions",
			body: fmt.Sprintf(`{"model": "small", "max_tokens": 2, "messages": [{"role": "user", "content": "drum %d"}]}`, n),
		}
		if text, ok := a.send(); !ok {
			ts.Fatalf("call %d: %s", n, text)
		}
	}
}

// pause waits for a time that a requirement names: pause TIME.
func pause(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// loop has a program call a service until it is refused, which has to happen
// after the given number of answers: loop TURNS KEY ADDRESS.
func loop(ts *testscript.TestScript, _ bool, args []string) {
	turns, err := strconv.Atoi(args[0])
	ts.Check(err)
	for n := range turns + 1 {
		a := ask{
			key: args[1], method: "POST", status: 200, url: "http://" + args[2] + "/services/drums/loops",
			header: "Zinniapond-Program: loop", body: strconv.Itoa(n),
		}
		if text, ok := a.send(); ok != (n < turns) {
			ts.Fatalf("turn %d of %d: %s", n+1, turns, text)
		}
	}
}

// inforce changes the lists and waits until every host has the new version in
// force or admits nothing: inforce ROUNDS HOST... changes through the first
// host. It fails above the bound of 4 s and prints the longest time.
func inforce(ts *testscript.TestScript, _ bool, args []string) {
	rounds, err := strconv.Atoi(args[0])
	ts.Check(err)
	hosts := args[1:]
	operators := func(host string) string { return ts.Getenv(strings.ToUpper(host) + "_OPERATORS") }
	var longest time.Duration
	for range rounds {
		before := int(version(ts, operators(hosts[0])))
		change := fmt.Sprintf("in-force-%d", before)
		if status := put(ts, operators(hosts[0]), before, change, plansText(ts, 100000+before)); status != http.StatusOK {
			ts.Fatalf("change from version %d: status %d", before, status)
		}
		accepted := time.Now()
		for _, h := range hosts {
			eventually(ts, 4*time.Second, "version in force or nothing admitted at "+h, func() bool {
				if int(version(ts, operators(h))) > before {
					return true
				}
				health := ask{method: "GET", status: http.StatusServiceUnavailable, url: "http://" + ts.Getenv(strings.ToUpper(h)+"_CALLERS") + "/healthz"}
				_, ok := health.send()
				return ok
			})
		}
		longest = max(longest, time.Since(accepted))
	}
	fmt.Fprintf(ts.Stdout(), "longest of %d changes: %s\n", rounds, longest.Round(time.Millisecond))
}
