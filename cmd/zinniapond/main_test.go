package main

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the test binary run as the command zinniapond.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"zinniapond": main})
}

// TestScripts runs the scripts in testdata/script; docs/parts/wire.md lists the
// commands that they have besides those of testscript.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			e.Values[fieldKey{}] = newField(e)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster": cluster, "start": start, "signal": signal, "stopped": stopped,
			"request": request, "link": link, "code": code, "platform": platform,
			"answer": answer, "logged": logged, "owner": owner, "repaired": repaired,
			"isolate": isolate, "heal": heal, "race": race, "changes": changes, "ready": ready,
			"leader": leader, "calls": calls, "pause": pause, "loop": loop, "inforce": inforce,
		},
	})
}

// code runs zinniapond and checks its exit code: code WANT ARGUMENT...
func code(ts *testscript.TestScript, _ bool, args []string) {
	p := startProcess(ts, "", args[1:])
	got, ok := p.wait(time.Minute)
	_, _ = ts.Stdout().Write(readFile(ts, p.out.Name()))
	_, _ = ts.Stderr().Write(readFile(ts, p.err.Name()))
	if !ok || got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

func readFile(ts *testscript.TestScript, path string) []byte {
	text, err := os.ReadFile(path)
	ts.Check(err)
	return text
}
