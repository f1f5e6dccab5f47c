package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, those of the users' smallest one.
const (
	graceS         = 8
	configApplyMs  = 2000
	catchUpS       = 4.7
	connectivityMs = 3000
	// leadTime is the time from the start of the hosts to the start of traffic.
	leadTime = 10 * time.Second
)

// cantRun ends the process with the code for a case that could not run.
type cantRun struct{ error }

func check(err error) {
	if err != nil {
		panic(cantRun{err})
	}
}

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the project.
type host struct {
	name, role, template, ip, zone, folder string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	runs int
}

// cluster has the processes of one small deployment.
type cluster struct {
	binary, repository, folder string
	peersPort, streamsPort     int
	servePort, readyPort       int
	list                       *replicaList
	record                     *recorder
	memoryMb                   int
	tolerance                  int
	revoke                     bool
	hosts                      []*host
	octets                     string // first three of the loopback addresses
}

// freePort returns a port that is free on a loopback address.
func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newCluster(repository string, record *recorder, cores, stores, fronts int) *cluster {
	folder, err := os.MkdirTemp("", "review-3-")
	check(err)
	c := &cluster{
		repository: repository, binary: filepath.Join(repository, "target", "zinniapond"), folder: folder, record: record, memoryMb: 280, tolerance: 1,
		peersPort: freePort(), streamsPort: freePort(), servePort: freePort(), readyPort: freePort(),
		octets: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250)),
	}
	c.list = newReplicaList(record)
	number := 0
	add := func(role, template string, count int) {
		for i := range count {
			number++
			h := &host{
				name: fmt.Sprintf("%s-%d", role, i+1), role: role, template: template, ip: fmt.Sprintf("%s.%d", c.octets, number),
				zone: fmt.Sprintf("zone-%d", i%3+1),
			}
			h.folder = filepath.Join(folder, h.name)
			c.hosts = append(c.hosts, h)
		}
	}
	add("core", "core.ini", cores)
	add("storage", "storage.ini", stores)
	add("front", "front.ini", fronts)
	return c
}

func (c *cluster) ofRole(role string) []*host {
	var list []*host
	for _, h := range c.hosts {
		if h.role == role {
			list = append(list, h)
		}
	}
	return list
}

// settings fills in the template of the deploy file.
func (c *cluster) settings(h *host) string {
	text, err := os.ReadFile(filepath.Join(c.repository, "deploy", h.template))
	check(err)
	var seeds []string
	for _, s := range c.ofRole("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, c.seedPort()))
	}
	values := map[string]string{
		"nodeName": h.name, "zone": h.zone, "dataDirectory": "", "bounds.graceS": fmt.Sprint(graceS), "ip": h.ip,
		"internalPortRange.0": fmt.Sprint(c.peersPort), "internalPortRange.1": fmt.Sprint(c.streamsPort),
		"listenAddresses.front": fmt.Sprintf("%s:%d", h.ip, c.servePort), "listenAddresses.ready": fmt.Sprintf("%s:%d", h.ip, c.readyPort),
		"listenAddresses.control":        fmt.Sprintf("%s:%d", h.ip, c.servePort),
		"{{#seeds}}{{.}}{{,}}{{/seeds}}": strings.Join(seeds, ","),
		"isFirstStart":                   fmt.Sprint(h.runs == 0),
		"faultTolerance.machines":        fmt.Sprint(c.tolerance), "faultTolerance.zones": "0",
		"bounds.catchUpS": fmt.Sprint(catchUpS), "bounds.configApplyMs": fmt.Sprint(configApplyMs),
		"cloudApi.address": c.list.address, "limits.memoryMb": fmt.Sprint(c.memoryMb),
		"{{#bounds.revokeEverywhere}}revocation = {{bounds.revokeMs}}ms{{/bounds.revokeEverywhere}}": "",
		"{{#bounds.quotaWindowS}}window = {{.}}s{{/bounds.quotaWindowS}}":                            "",
		"{{#bounds.quotaOverage}}overage = {{.}}{{/bounds.quotaOverage}}":                            "",
		"{{#bounds.quotaSlack}}slack = {{.}}{{/bounds.quotaSlack}}":                                  "",
	}
	if h.role != "front" {
		values["dataDirectory"] = h.folder
	}
	if c.revoke {
		values["{{#bounds.revokeEverywhere}}revocation = {{bounds.revokeMs}}ms{{/bounds.revokeEverywhere}}"] = "revocation = 5000ms"
		values["{{#bounds.quotaWindowS}}window = {{.}}s{{/bounds.quotaWindowS}}"] = "window = 5s"
		values["{{#bounds.quotaOverage}}overage = {{.}}{{/bounds.quotaOverage}}"] = "overage = 0.1"
		values["{{#bounds.quotaSlack}}slack = {{.}}{{/bounds.quotaSlack}}"] = "slack = 20"
	}
	filled := string(text)
	for name, value := range values {
		if strings.HasPrefix(name, "{{#") {
			filled = strings.ReplaceAll(filled, name, value)
		}
	}
	for name, value := range values {
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
	}
	if strings.Contains(filled, "{{") {
		panic(cantRun{fmt.Errorf("template %s has placeholders that the case does not know: %s", h.template, filled)})
	}
	return filled
}

// seedPort returns the port at which hosts reach the control role of the seeds. The bench
// names the address for operators; the product derives its own port from it.
func (c *cluster) seedPort() int { return c.servePort }

func (c *cluster) start(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return
	}
	path := filepath.Join(c.folder, h.name+".ini")
	check(os.WriteFile(path, []byte(c.settings(h)), 0o600))
	check(os.MkdirAll(h.folder, 0o700))
	log, err := os.OpenFile(filepath.Join(c.folder, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(c.binary, "node", "run")
	cmd.Dir = c.repository
	cmd.Env = append(os.Environ(), "ZINNIAPOND_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	h.cmd, h.done = cmd, make(chan struct{})
	h.runs++
	done := h.done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		h.mu.Lock()
		if h.cmd == cmd {
			h.cmd = nil
		}
		h.mu.Unlock()
		close(done)
	}()
}

func (c *cluster) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		c.record.line("signal %s to %s", s, h.name)
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends a host with SIGKILL.
func (c *cluster) kill(h *host) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	c.record.line("kill %s", h.name)
	_ = cmd.Process.Kill()
	<-done
}

// isRunning reports whether the process of a host runs.
func (h *host) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil
}

func (c *cluster) stopAll() {
	for _, h := range c.hosts {
		h.mu.Lock()
		cmd, done := h.cmd, h.done
		h.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

// startAll starts all hosts within 0.3 s and sends the configuration until it is accepted.
func (c *cluster) startAll(configuration string) {
	for _, h := range c.hosts {
		c.start(h)
	}
	begun := time.Now()
	until := begun.Add(40 * time.Second)
	for c.putConfiguration(configuration) != http.StatusOK {
		if time.Now().After(until) {
			panic(cantRun{errors.New("the configuration was not accepted in 40 s")})
		}
		time.Sleep(200 * time.Millisecond)
	}
	for {
		ready := 0
		for _, h := range c.ofRole("front") {
			if c.isReady(h) {
				ready++
			}
		}
		if ready == len(c.ofRole("front")) && time.Since(begun) >= leadTime {
			c.record.line("all fronts are ready; traffic begins")
			return
		}
		if time.Now().After(until) {
			panic(cantRun{errors.New("the fronts were not ready in 40 s")})
		}
		time.Sleep(100 * time.Millisecond)
	}
}

var operatorClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// putConfiguration sends a configuration to the control hosts in turn until one answers.
func (c *cluster) putConfiguration(text string) int {
	status := 0
	for _, h := range c.ofRole("core") {
		q, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/configuration", h.ip, c.servePort), strings.NewReader(text))
		check(err)
		q.Header.Set("Content-Type", "application/json")
		a, err := operatorClient.Do(q)
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(a.Body)
		_ = a.Body.Close()
		status = a.StatusCode
		c.record.line("PUT /configuration at %s: %d %.200s", h.name, status, bytes.TrimSpace(body))
		if status == http.StatusOK {
			return status
		}
	}
	return status
}

func (c *cluster) isReady(h *host) bool {
	a, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, c.readyPort))
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func toJSON(v any) string {
	text, err := json.Marshal(v)
	check(err)
	return string(text)
}
