package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// httpRequest is one HTTP request of a script, with the status and the pattern
// that the response has to match.
type httpRequest struct {
	key, header, body, match, method, url string
	status                                int
}

// send sends the request. It returns status, outcome and body of the response as
// one text, and whether they match.
func (a *httpRequest) send() (string, bool) {
	client := http.Client{Timeout: time.Minute}
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(a.method, a.url, strings.NewReader(a.body))
	if err != nil {
		return err.Error(), false
	}
	r.Header.Set("Authorization", "Bearer "+a.key)
	for _, h := range strings.Split(a.header, "; ") {
		if name, value, ok := strings.Cut(h, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	got, err := client.Do(r)
	if err != nil {
		return err.Error(), false
	}
	defer got.Body.Close()
	text, err := io.ReadAll(got.Body)
	last := fmt.Sprintf("%d %s\n%s\n", got.StatusCode, got.Header.Get("Zinniapond-Outcome"), text)
	return last, err == nil && got.StatusCode == a.status && regexp.MustCompile(a.match).MatchString(last)
}

// sendRequest sends an HTTP request and prints status, outcome and body. The
// script command is: request [-key KEY] [-header "NAME: VALUE; ..."] [-body TEXT]
// [-status CODE] [-match REGEXP] [-within TIME] [-background NAME] METHOD URL.
// With -within, the request is repeated until status and body match. With
// -background, the script continues at once, and the command answer NAME waits
// for the response.
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	var a httpRequest
	flags := flag.NewFlagSet("request", flag.ContinueOnError)
	flags.StringVar(&a.key, "key", operatorKey, "")
	flags.StringVar(&a.header, "header", "", "")
	flags.StringVar(&a.body, "body", "", "")
	flags.StringVar(&a.match, "match", "", "")
	flags.IntVar(&a.status, "status", 200, "")
	within := flags.Duration("within", 0, "")
	background := flags.String("background", "", "")
	ts.Check(flags.Parse(args))
	a.method, a.url = flags.Arg(0), flags.Arg(1)
	if *background != "" {
		done := make(chan response, 1)
		stateOf(ts).backgroundRequests[*background] = done
		go func() {
			text, ok := a.send()
			done <- response{text, ok}
		}()
		return
	}
	text, ok := a.send()
	if !ok && *within > 0 {
		eventually(ts, *within, fmt.Sprintf("status %d and match %q", a.status, a.match), func() bool {
			text, ok = a.send()
			return ok
		})
	}
	printResponse(ts, response{text, ok})
}

// response is the text of a response and whether it was as expected.
type response struct {
	text     string
	expected bool
}

func printResponse(ts *testscript.TestScript, r response) {
	if !r.expected {
		ts.Fatalf("unexpected response:\n%s", r.text)
	}
	_, _ = io.WriteString(ts.Stdout(), r.text)
}

// awaitResponse waits for the response to a request in the background and checks
// it. The script command is: answer NAME WITHIN.
func awaitResponse(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case r := <-stateOf(ts).backgroundRequests[args[0]]:
		printResponse(ts, r)
	case <-time.After(within):
		ts.Fatalf("no response to %s within %s", args[0], within)
	}
}

// findOwner asks the first of the hosts for the owner of a program. It sets OWNER
// to the owner and OTHER to another of the hosts, with the variables of their
// addresses. The script command is: owner PROGRAM HOST...
func findOwner(ts *testscript.TestScript, _ bool, args []string) {
	var text string
	var ok bool
	eventually(ts, 20*time.Second, "owner of "+args[0], func() bool {
		a := httpRequest{key: operatorKey, method: "GET", status: 200, match: `"owner":"`}
		a.url = "http://" + ts.Getenv(strings.ToUpper(args[1])+"_OPERATORS") + "/v1/programs/" + args[0]
		text, ok = a.send()
		return ok
	})
	owner := regexp.MustCompile(`"owner":"([^"]+)"`).FindStringSubmatch(text)[1]
	setHostVariables(ts, owner, args[1:])
}

// setHostVariables sets OWNER to a host and OTHER to another of the hosts, and
// OWNER_CALLERS, OWNER_OPERATORS, OTHER_CALLERS and OTHER_OPERATORS to their
// addresses.
func setHostVariables(ts *testscript.TestScript, owner string, hosts []string) {
	ts.Setenv("OWNER", owner)
	ts.Setenv("OWNER_CALLERS", ts.Getenv(strings.ToUpper(owner)+"_CALLERS"))
	ts.Setenv("OWNER_OPERATORS", ts.Getenv(strings.ToUpper(owner)+"_OPERATORS"))
	for _, h := range hosts {
		if h != owner {
			ts.Setenv("OTHER", h)
			ts.Setenv("OTHER_CALLERS", ts.Getenv(strings.ToUpper(h)+"_CALLERS"))
			ts.Setenv("OTHER_OPERATORS", ts.Getenv(strings.ToUpper(h)+"_OPERATORS"))
			return
		}
	}
}
