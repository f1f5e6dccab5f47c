package main

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"zinniapond.example/zinniapond/internal/test/ports"
	"zinniapond.example/zinniapond/internal/test/proxy"
)

type scriptStateKey struct{}

// scriptState has the processes, proxies and background requests of one script.
type scriptState struct {
	processes          map[string]*process
	links              map[string]*proxy.Proxy
	backgroundRequests map[string]chan response
	peerProxies        map[string][]*proxy.Proxy // for the ports of a host that other hosts connect to, by host
	hostAddresses      map[string]netip.Addr     // by host
	test               testing.TB
}

func newScriptState(e *testscript.Env) *scriptState {
	st := &scriptState{
		processes: make(map[string]*process), links: make(map[string]*proxy.Proxy), backgroundRequests: make(map[string]chan response),
		peerProxies: make(map[string][]*proxy.Proxy), hostAddresses: make(map[string]netip.Addr),
	}
	st.test, _ = e.T().(testing.TB)
	return st
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

const operatorKey = "operators key of the tests"

// reservePorts returns loopback addresses with ports that are reserved until the end
// of the script.
func reservePorts(ts *testscript.TestScript, count int) []string {
	r := ports.Reserve(stateOf(ts).test, count)
	list := make([]string, count)
	for i := range list {
		list[i] = r.Address(i).String()
	}
	return list
}

// writeSettings writes the settings files of hosts. The script command is: cluster
// [-drain TIME] [-extra TEXT] [-body BYTES] [-taps] [-metrics] HOST... For each host it sets
// the variables NAME_CALLERS, NAME_OPERATORS, NAME_PEERS and NAME_STREAMS. Every
// host has all roles. TEXT is added to each file after the section security. With
// -metrics, NAME_METRICS is set too. With
// -taps, the hosts connect to each other through proxies, for the command isolate.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	drain := flags.String("drain", "5s", "")
	extra := flags.String("extra", "", "")
	maxBodyBytes := flags.Int("body", 8<<20, "")
	withProxies := flags.Bool("taps", false, "")
	withMetrics := flags.Bool("metrics", false, "")
	ts.Check(flags.Parse(args))
	hosts := flags.Args()
	addresses := reservePorts(ts, 4*len(hosts))
	announced := slices.Clone(addresses)
	if *withProxies {
		for i, h := range hosts {
			stateOf(ts).proxyHost(i, h, addresses, announced)
		}
	}
	var voters []string
	for i, h := range hosts {
		voters = append(voters, h+"@"+announced[4*i+2])
	}
	ts.Check(os.WriteFile(ts.MkAbs("secret"), []byte("secret of the script tests"), 0o600))
	if _, err := os.Stat(ts.MkAbs("platform.json")); err != nil {
		writeBackendList(ts, false, []string{"1"})
	}
	ts.Setenv("ZINNIAPOND_KEY", operatorKey)
	for i, h := range hosts {
		text := fmt.Sprintf("[node]\nname = %s\ncluster = test\ndata-centre = dc%d\ndata = data-%s\nroles = entry, owner, store, control\ndrain = %s\n", h, i+1, h, *drain)
		text += "[listen]\n"
		for n, name := range []string{"callers", "operators", "peers", "streams"} {
			text += fmt.Sprintf("%s = %s\n", name, addresses[4*i+n])
			ts.Setenv(strings.ToUpper(h+"_"+name), addresses[4*i+n])
		}
		if *withMetrics {
			address := reservePorts(ts, 1)[0]
			text += fmt.Sprintf("metrics = %s\n", address)
			ts.Setenv(strings.ToUpper(h+"_metrics"), address)
		}
		if *withProxies {
			text += fmt.Sprintf("announce-peers = %s\nannounce-streams = %s\n", announced[4*i+2], announced[4*i+3])
		}
		text += fmt.Sprintf("[control]\nvoters = %s\nbootstrap = true\nshards = 16\n", strings.Join(voters, ", "))
		text += "[platform]\nlist = platform.json\nrefresh = 100ms\n"
		text += fmt.Sprintf("[security]\nsecret = secret\noperator-hash = sha256:%x\n%s", sha256.Sum256([]byte(operatorKey)), *extra)
		text += fmt.Sprintf("[limits]\nbody = %d\n", *maxBodyBytes)
		ts.Check(os.WriteFile(ts.MkAbs(h+".ini"), []byte(text), 0o600))
	}
}

// proxyHost gives a host an IP address of its own and adds proxies for its ports
// for peers and streams, so that isolateHost can drop its traffic in both
// directions.
func (st *scriptState) proxyHost(i int, host string, addresses, announced []string) {
	own := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
	st.hostAddresses[host] = own
	for n := 2; n < 4; n++ {
		target := netip.AddrPortFrom(own, netip.MustParseAddrPort(addresses[4*i+n]).Port())
		addresses[4*i+n] = target.String()
		l := proxy.New(st.test, target)
		st.peerProxies[host] = append(st.peerProxies[host], l)
		announced[4*i+n] = l.Address().String()
	}
}

// isolateHost drops all bytes between a host and all others without closing a
// connection. The script command is: isolate HOST. The command heal ends it.
func isolateHost(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	own := st.hostAddresses[args[0]]
	for host, proxies := range st.peerProxies {
		for _, l := range proxies {
			l.Partition(func(source netip.Addr) bool { return (host == args[0]) != (source == own) })
		}
	}
}

// endIsolation lets all hosts reach each other again. The script command is: heal.
func endIsolation(ts *testscript.TestScript, _ bool, _ []string) {
	for _, proxies := range stateOf(ts).peerProxies {
		for _, l := range proxies {
			l.Partition(nil)
		}
	}
}

// writeBackendList writes the platform's list of backend servers. The script
// command is: platform SEQUENCE [KIND POOL ADDRESS]...
func writeBackendList(ts *testscript.TestScript, _ bool, args []string) {
	var list []string
	for rest := args[1:]; len(rest) >= 3; rest = rest[3:] {
		list = append(list, fmt.Sprintf(`{"address": %q, "kind": %q, "pool": %q, "dataCentre": "dc1", "state": "live", "fences": true}`, rest[2], rest[0], rest[1]))
	}
	text := fmt.Sprintf(`{"sequence": %s, "backends": [%s]}`, args[0], strings.Join(list, ", "))
	// The rename replaces the list atomically, so that no host reads a partial one.
	ts.Check(os.WriteFile(ts.MkAbs("platform.new"), []byte(text), 0o600))
	ts.Check(os.Rename(ts.MkAbs("platform.new"), ts.MkAbs("platform.json")))
}

// process is a background process of a script.
type process struct {
	command  *exec.Cmd
	out, err *os.File
	done     chan struct{}
}

func startProcess(ts *testscript.TestScript, name string, args []string) *process {
	path := ""
	for _, d := range filepath.SplitList(ts.Getenv("PATH")) {
		if _, err := os.Stat(filepath.Join(d, "zinniapond")); err == nil {
			path = filepath.Join(d, "zinniapond")
			break
		}
	}
	create := func(suffix string) *os.File {
		if name == "" {
			name = "command"
		}
		f, err := os.Create(ts.MkAbs(name + suffix))
		ts.Check(err)
		return f
	}
	p := &process{command: exec.Command(path, args...), out: create(".out"), err: create(".err"), done: make(chan struct{})}
	p.command.Dir, p.command.Stdout, p.command.Stderr = ts.MkAbs("."), p.out, p.err
	p.command.Env = append(os.Environ(), "ZINNIAPOND_KEY="+ts.Getenv("ZINNIAPOND_KEY"))
	ts.Check(p.command.Start())
	go func() {
		defer close(p.done)
		_ = p.command.Wait() // the exit code is read from ProcessState
		_, _ = p.out.Close(), p.err.Close()
	}()
	ts.Defer(func() {
		// SIGKILL also ends a process that was stopped with SIGSTOP.
		_ = p.command.Process.Kill()
		<-p.done
	})
	return p
}

// wait waits for the end of the process and returns the exit code, or false if
// the process still runs after the given time.
func (p *process) wait(within time.Duration) (string, bool) {
	select {
	case <-p.done:
		return strconv.Itoa(p.command.ProcessState.ExitCode()), true
	case <-time.After(within):
		return "none", false
	}
}

// startCommand runs zinniapond in the background. The script command is: start
// NAME ARGUMENT... The output is in NAME.out and NAME.err. For a stand-in it sets
// NAME_ADDRESS to the address that the stand-in prints.
func startCommand(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	p := startProcess(ts, name, args[1:])
	stateOf(ts).processes[name] = p
	if args[1] != "standin" {
		return
	}
	eventually(ts, 10*time.Second, "address of "+name, func() bool {
		text := strings.TrimSpace(string(readFile(ts, p.out.Name())))
		ts.Setenv(strings.ToUpper(name)+"_ADDRESS", text)
		return text != ""
	})
}

// eventually checks a condition every 20 ms, and fails the script if it does not
// hold within the given time.
func eventually(ts *testscript.TestScript, within time.Duration, what string, holds func() bool) {
	deadline := time.Now().Add(within)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		if time.Now().After(deadline) {
			ts.Fatalf("not within %s: %s", within, what)
		}
		<-tick.C
	}
}

// signalProcess sends a signal to a process. The script command is: signal NAME
// KILL|STOP|CONT|TERM|INT.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	known := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "INT": syscall.SIGINT,
	}
	p := stateOf(ts).processes[args[0]]
	s, ok := known[args[1]]
	if p == nil || !ok {
		ts.Fatalf("no process %s or signal %s", args[0], args[1])
	}
	ts.Check(p.command.Process.Signal(s))
}

// waitForExit waits for the end of a process and checks its exit code. The script
// command is: stopped NAME WITHIN CODE. The code of a killed process is -1.
func waitForExit(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	p := stateOf(ts).processes[args[0]]
	got, _ := p.wait(within)
	if got != args[2] {
		ts.Fatalf("%s: exit code %s within %s, want %s\n%s", args[0], got, within, args[2], readFile(ts, ts.MkAbs(args[0]+".out")))
	}
}

// controlLink opens a proxy to a target and disturbs it. The script command link
// NAME TARGET opens one and sets NAME_ADDRESS to its address. For an open proxy,
// link NAME cut closes its connections, silence drops their further bytes, half
// closes them from the target's side only, and close ends the proxy.
func controlLink(ts *testscript.TestScript, _ bool, args []string) {
	st := stateOf(ts)
	l := st.links[args[0]]
	if l == nil {
		target, err := netip.ParseAddrPort(args[1])
		ts.Check(err)
		l = proxy.NewAt(st.test, ports.Reserve(st.test, 1).Address(0), target)
		st.links[args[0]] = l
		ts.Setenv(strings.ToUpper(args[0])+"_ADDRESS", l.Address().String())
		return
	}
	change, ok := map[string]func(){"cut": l.CloseConnections, "silence": l.DropBytes, "half": l.HalfClose, "close": l.Close}[args[1]]
	if !ok {
		ts.Fatalf("unknown change of a link: %s", args[1])
	}
	change()
}

// waitForLogLine waits for a line in the log of a process. The script command is:
// logged NAME WITHIN REGEXP.
func waitForLogLine(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	pattern := regexp.MustCompile(args[2])
	eventually(ts, within, args[2]+" in the log of "+args[0], func() bool {
		return pattern.Match(readFile(ts, ts.MkAbs(args[0]+".out")))
	})
}

// waitForRepair waits until the replicas of a host count again in all 16 shards
// and its new disk is among the voters. The script command is: repaired PEER
// HOST..., where the logs of the given hosts are searched.
func waitForRepair(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(`replica holds the whole log and votes: shard=(\d+) peer=` + args[0])
	// The change that adds the new disk is the one that matches: the lost disk is
	// removed from the voters before.
	joined := regexp.MustCompile(`changing voters: .*\{` + args[0] + ` [0-9a-f-]{36}\}`)
	eventually(ts, 40*time.Second, "repair of the replicas of "+args[0], func() bool {
		shards := make(map[string]bool)
		voters := false
		for _, h := range args[1:] {
			text := readFile(ts, ts.MkAbs(h+".out"))
			for _, found := range pattern.FindAllSubmatch(text, -1) {
				shards[string(found[1])] = true
			}
			voters = voters || joined.Match(text)
		}
		return len(shards) == 16 && voters
	})
}
