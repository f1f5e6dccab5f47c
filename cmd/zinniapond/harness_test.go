package main

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"zinniapond.example/zinniapond/internal/test/proxy"
)

type fieldKey struct{}

// field has the processes and links of one script.
type field struct {
	processes map[string]*process
	links     map[string]*proxy.Proxy
	asks      map[string]chan reply
	taps      map[string][]*proxy.Proxy // before each host's ports for other hosts
	sources   map[string]netip.Addr     // address of each host
	test      testing.TB
}

func newField(e *testscript.Env) *field {
	f := &field{
		processes: make(map[string]*process), links: make(map[string]*proxy.Proxy), asks: make(map[string]chan reply),
		taps: make(map[string][]*proxy.Proxy), sources: make(map[string]netip.Addr),
	}
	f.test, _ = e.T().(testing.TB)
	return f
}

func fieldOf(ts *testscript.TestScript) *field { return ts.Value(fieldKey{}).(*field) }

const operatorKey = "operators key of the tests"

// The ports of the hosts are below the range from which the kernel takes the
// source ports of connections (32768 to 60999 here): the port of a host that is
// down could otherwise be in use by a connection when the host comes back.
const (
	firstPort = 18200
	lastPort  = 32700
)

// nextPort is where the search for the next free port begins. Scripts run in
// parallel; other test processes begin elsewhere.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()*97) % (lastPort - firstPort)) }

// freePorts returns addresses with ports that are free and given once.
func freePorts(ts *testscript.TestScript, count int) []string {
	var list []string
	for len(list) < count {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		ts.Check(l.Close())
		list = append(list, l.Addr().String())
	}
	return list
}

// cluster writes the settings of hosts: cluster [-replicas N] [-extra TEXT]
// HOST... For each it sets NAME_CALLERS, NAME_OPERATORS, NAME_PEERS and
// NAME_STREAMS. Every host has all roles. TEXT is added to each file.
func cluster(ts *testscript.TestScript, _ bool, args []string) {
	flags := flag.NewFlagSet("cluster", flag.ContinueOnError)
	drain := flags.String("drain", "5s", "")
	extra := flags.String("extra", "", "")
	body := flags.Int("body", 8<<20, "")
	taps := flags.Bool("taps", false, "")
	ts.Check(flags.Parse(args))
	hosts := flags.Args()
	ports := freePorts(ts, 4*len(hosts))
	announced := slices.Clone(ports)
	if *taps {
		for i, h := range hosts {
			fieldOf(ts).tapHost(i, h, ports, announced)
		}
	}
	var voters []string
	for i, h := range hosts {
		voters = append(voters, h+"@"+announced[4*i+2])
	}
	ts.Check(os.WriteFile(ts.MkAbs("secret"), []byte("secret of the script tests"), 0o600))
	if _, err := os.Stat(ts.MkAbs("platform.json")); err != nil {
		platform(ts, false, []string{"1"})
	}
	ts.Setenv("ZINNIAPOND_KEY", operatorKey)
	for i, h := range hosts {
		text := fmt.Sprintf("[node]\nname = %s\ncluster = test\ndata-centre = dc%d\ndata = data-%s\nroles = entry, owner, store, control\ndrain = %s\n", h, i+1, h, *drain)
		text += "[listen]\n"
		for n, name := range []string{"callers", "operators", "peers", "streams"} {
			text += fmt.Sprintf("%s = %s\n", name, ports[4*i+n])
			ts.Setenv(strings.ToUpper(h+"_"+name), ports[4*i+n])
		}
		if *taps {
			text += fmt.Sprintf("announce-peers = %s\nannounce-streams = %s\n", announced[4*i+2], announced[4*i+3])
		}
		text += fmt.Sprintf("[control]\nvoters = %s\nbootstrap = true\nshards = 16\n", strings.Join(voters, ", "))
		text += "[platform]\nlist = platform.json\nrefresh = 100ms\n"
		text += fmt.Sprintf("[security]\nsecret = secret\noperator-hash = sha256:%x\n%s", sha256.Sum256([]byte(operatorKey)), *extra)
		text += fmt.Sprintf("[limits]\nbody = %d\n", *body)
		ts.Check(os.WriteFile(ts.MkAbs(h+".ini"), []byte(text), 0o600))
	}
}

// tapHost gives a host an address of its own and puts pass-throughs before its
// ports for other hosts, so that isolate can cut it off.
func (f *field) tapHost(i int, host string, ports, announced []string) {
	own := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
	f.sources[host] = own
	for n := 2; n < 4; n++ {
		target := netip.AddrPortFrom(own, netip.MustParseAddrPort(ports[4*i+n]).Port())
		ports[4*i+n] = target.String()
		l := proxy.New(f.test, target)
		f.taps[host] = append(f.taps[host], l)
		announced[4*i+n] = l.Address().String()
	}
}

// isolate cuts a host off from all others without a sign: isolate HOST. heal
// ends it.
func isolate(ts *testscript.TestScript, _ bool, args []string) {
	f := fieldOf(ts)
	own := f.sources[args[0]]
	for host, taps := range f.taps {
		for _, l := range taps {
			l.Bar(func(source netip.Addr) bool { return (host == args[0]) != (source == own) })
		}
	}
}

func heal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, taps := range fieldOf(ts).taps {
		for _, l := range taps {
			l.Bar(nil)
		}
	}
}

// platform writes the platform's list of backend servers: platform SEQUENCE
// [KIND POOL ADDRESS]...
func platform(ts *testscript.TestScript, _ bool, args []string) {
	var list []string
	for rest := args[1:]; len(rest) >= 3; rest = rest[3:] {
		list = append(list, fmt.Sprintf(`{"address": %q, "kind": %q, "pool": %q, "dataCentre": "dc1", "state": "live", "fences": true}`, rest[2], rest[0], rest[1]))
	}
	text := fmt.Sprintf(`{"sequence": %s, "backends": [%s]}`, args[0], strings.Join(list, ", "))
	// A reader never sees a part of the list.
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
		_ = p.command.Wait() // the state is read by wait
		_, _ = p.out.Close(), p.err.Close()
	}()
	ts.Defer(func() {
		// SIGKILL also ends a stopped process.
		_ = p.command.Process.Kill()
		<-p.done
	})
	return p
}

// wait returns the exit code, or false if the process runs on.
func (p *process) wait(within time.Duration) (string, bool) {
	select {
	case <-p.done:
		return strconv.Itoa(p.command.ProcessState.ExitCode()), true
	case <-time.After(within):
		return "none", false
	}
}

// start runs zinniapond in the background: start NAME ARGUMENT... Its output is
// in NAME.out and NAME.err. A stand-in's address becomes NAME_ADDRESS.
func start(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	p := startProcess(ts, name, args[1:])
	fieldOf(ts).processes[name] = p
	if args[1] != "standin" {
		return
	}
	eventually(ts, 10*time.Second, "address of "+name, func() bool {
		text := strings.TrimSpace(string(readFile(ts, p.out.Name())))
		ts.Setenv(strings.ToUpper(name)+"_ADDRESS", text)
		return text != ""
	})
}

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

// signal sends a signal to a process: signal NAME KILL|STOP|CONT|TERM|INT.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	known := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "INT": syscall.SIGINT,
	}
	p := fieldOf(ts).processes[args[0]]
	s, ok := known[args[1]]
	if p == nil || !ok {
		ts.Fatalf("no process %s or signal %s", args[0], args[1])
	}
	ts.Check(p.command.Process.Signal(s))
}

// stopped waits for the end of a process: stopped NAME WITHIN CODE. The code of
// a killed process is -1.
func stopped(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	p := fieldOf(ts).processes[args[0]]
	got, _ := p.wait(within)
	if got != args[2] {
		ts.Fatalf("%s: exit code %s within %s, want %s\n%s", args[0], got, within, args[2], readFile(ts, ts.MkAbs(args[0]+".out")))
	}
}

// link is a pass-through: link NAME TARGET opens one at NAME_ADDRESS, link NAME
// cut, silence, half or close changes it.
func link(ts *testscript.TestScript, _ bool, args []string) {
	f := fieldOf(ts)
	l := f.links[args[0]]
	if l == nil {
		target, err := netip.ParseAddrPort(args[1])
		ts.Check(err)
		l = proxy.New(f.test, target)
		f.links[args[0]] = l
		ts.Setenv(strings.ToUpper(args[0])+"_ADDRESS", l.Address().String())
		return
	}
	change, ok := map[string]func(){"cut": l.Cut, "silence": l.Silence, "half": l.HalfClose, "close": l.Close}[args[1]]
	if !ok {
		ts.Fatalf("link cannot %s", args[1])
	}
	change()
}

// logged waits for a line in the log of a process: logged NAME WITHIN REGEXP.
func logged(ts *testscript.TestScript, _ bool, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	pattern := regexp.MustCompile(args[2])
	eventually(ts, within, args[2]+" in the log of "+args[0], func() bool {
		return pattern.Match(readFile(ts, ts.MkAbs(args[0]+".out")))
	})
}

// repaired waits until the replicas of a host count again in all 16 shards and
// its new disk is among the voters: repaired PEER HOST... where the
// hosts are those whose logs tell.
func repaired(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(`counts: shard=(\d+) peer=` + args[0])
	// The lost disk leaves the voters before the new one joins them.
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
