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
			e.Values[scriptStateKey{}] = newScriptState(e)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster": writeSettings, "start": startCommand, "signal": signalProcess, "stopped": waitForExit,
			"request": sendRequest, "link": controlLink, "code": runCommand, "platform": writeBackendList,
			"answer": awaitResponse, "logged": waitForLogLine, "owner": findOwner, "repaired": waitForRepair,
			"isolate": isolateHost, "heal": endIsolation, "race": raceChanges, "changes": makeChanges, "ready": measureStart,
			"leader": findLeader, "calls": sendCalls, "pause": pauseScript, "loop": callUntilRefused, "inforce": measureInForce,
		},
	})
}

// runCommand runs zinniapond in the foreground and checks its exit code. The
// script command is: code WANT ARGUMENT...
func runCommand(ts *testscript.TestScript, _ bool, args []string) {
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
