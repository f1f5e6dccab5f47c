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

// ask is one HTTP request of a script.
type ask struct {
	key, header, body, match, method, url string
	status                                int
}

// send returns status, outcome and body, and whether they are as wanted.
func (a *ask) send() (string, bool) {
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

// request sends an HTTP request and prints status, outcome and body:
// request [-key KEY] [-header "NAME: VALUE; ..."] [-body TEXT] [-status CODE]
// [-match REGEXP] [-within TIME] [-background NAME] METHOD URL. With a time it
// is repeated until status and match fit. With a name it goes on while the
// script does, and answer NAME waits for it.
func request(ts *testscript.TestScript, _ bool, args []string) {
	var a ask
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
		done := make(chan reply, 1)
		fieldOf(ts).asks[*background] = done
		go func() {
			text, ok := a.send()
			done <- reply{text, ok}
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
	show(ts, reply{text, ok})
}

type reply struct {
	text string
	ok   bool
}

func show(ts *testscript.TestScript, r reply) {
	if !r.ok {
		ts.Fatalf("unexpected answer:\n%s", r.text)
	}
	_, _ = io.WriteString(ts.Stdout(), r.text)
}

// answer waits for a request in the background: answer NAME WITHIN.
func answer(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case r := <-fieldOf(ts).asks[args[0]]:
		show(ts, r)
	case <-time.After(within):
		ts.Fatalf("no answer to %s within %s", args[0], within)
	}
}

// owner finds the owner of a program: owner PROGRAM HOST... asks the hosts in
// turn and sets OWNER to it and OTHER, OTHER_CALLERS and OTHER_OPERATORS to
// another of them.
func owner(ts *testscript.TestScript, _ bool, args []string) {
	var text string
	var ok bool
	eventually(ts, 20*time.Second, "owner of "+args[0], func() bool {
		a := ask{key: operatorKey, method: "GET", status: 200, match: `"owner":"`}
		a.url = "http://" + ts.Getenv(strings.ToUpper(args[1])+"_OPERATORS") + "/v1/programs/" + args[0]
		text, ok = a.send()
		return ok
	})
	found := regexp.MustCompile(`"owner":"([^"]+)"`).FindStringSubmatch(text)[1]
	name(ts, found, args[1:])
}

// name sets OWNER to a host and OTHER to another of the hosts.
func name(ts *testscript.TestScript, found string, hosts []string) {
	ts.Setenv("OWNER", found)
	ts.Setenv("OWNER_CALLERS", ts.Getenv(strings.ToUpper(found)+"_CALLERS"))
	ts.Setenv("OWNER_OPERATORS", ts.Getenv(strings.ToUpper(found)+"_OPERATORS"))
	for _, h := range hosts {
		if h != found {
			ts.Setenv("OTHER", h)
			ts.Setenv("OTHER_CALLERS", ts.Getenv(strings.ToUpper(h)+"_CALLERS"))
			ts.Setenv("OTHER_OPERATORS", ts.Getenv(strings.ToUpper(h)+"_OPERATORS"))
			return
		}
	}
}
