package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Ports of the machines. Each machine has a loopback address of its own.
const (
	peersPort   = 7380
	streamsPort = 7381
	controlPort = 8144
	frontPort   = 8149
	readyPort   = 8141
	metricsPort = 9180
)

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

// machine is a machine of the system with one process.
type machine struct {
	name, role, ip, zone string
	folder               string // of its settings, log and disk
	memoryMB             int

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	started bool // once before
	ended   int  // ends of the process that this program has not caused
	stopped bool // this program ends the process
}

// cluster is the system under test.
type cluster struct {
	roles    map[string]role
	common   fields
	folder   string
	machines []*machine
	network  string // first two numbers of the loopback addresses
}

func newCluster(listAddress func(network string) string, cores, stores, fronts int) (*cluster, error) {
	roles, err := readRoles("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{roles: roles, folder: folder}
	for range 20 {
		c.network = fmt.Sprintf("127.%d", 30+rand.IntN(200))
		if isFree(c.network) {
			break
		}
	}
	add := func(role string, count, memoryMB int) {
		for i := range count {
			c.addMachine(role, i+1, zones[i%len(zones)], memoryMB)
		}
	}
	add("core", cores, 280)
	add("storage", stores, 154)
	add("front", fronts, 134)
	var seeds []string
	for _, m := range c.of("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	c.common = commonFields(listAddress(c.network), seeds)
	return c, nil
}

// isFree reports whether the ports of the first core machine are free in a network. Each
// case uses a network of its own.
func isFree(network string) bool {
	for _, port := range []int{peersPort, streamsPort, controlPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", network, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// addMachine adds a machine without starting its process.
func (c *cluster) addMachine(role string, number int, zone string, memoryMB int) *machine {
	group := map[string]int{"core": 1, "storage": 2, "front": 3}[role]
	name := fmt.Sprintf("%s-%d", role, number)
	m := &machine{
		name: name, role: role, ip: fmt.Sprintf("%s.%d.%d", c.network, group, number),
		zone: zone, memoryMB: memoryMB, folder: filepath.Join(c.folder, name),
	}
	c.machines = append(c.machines, m)
	return m
}

// remove takes a machine whose process has ended out of the cluster.
func (c *cluster) remove(m *machine) {
	c.machines = slices.DeleteFunc(c.machines, func(o *machine) bool { return o == m })
}

// of returns the machines with a role.
func (c *cluster) of(role string) (list []*machine) {
	for _, m := range c.machines {
		if m.role == role {
			list = append(list, m)
		}
	}
	return list
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the process of a machine with the settings in effect.
func (c *cluster) start(m *machine) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	r := c.roles[m.role]
	template, err := os.ReadFile(r.template)
	if err != nil {
		return err
	}
	text := render(string(template), c.common.with(fields{
		"nodeName": m.name, "zone": m.zone, "ip": m.ip, "isFirstStart": !m.started,
		"dataDirectory":         filepath.Join(m.folder, "data"),
		"listenAddresses.front": m.address(frontPort), "listenAddresses.ready": m.address(readyPort), "listenAddresses.control": m.address(controlPort),
		"limits.memoryMb": m.memoryMB,
	}))
	settings := filepath.Join(m.folder, "settings")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.run[0], r.run[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ZINNIAPOND_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.started, m.stopped = cmd, done, true, false
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		m.mu.Lock()
		if !m.stopped {
			m.ended++
			record("process of %s has ended by itself: %v", m.name, cmd.ProcessState)
		}
		m.mu.Unlock()
		close(done)
	}()
	return nil
}

// kill ends the process of a machine with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.stopped = true
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGTERM {
		m.stopped = true
	}
	_ = m.cmd.Process.Signal(s)
}

// wipe removes the disk of a machine whose process has ended.
func (m *machine) wipe() error { return os.RemoveAll(filepath.Join(m.folder, "data")) }

// startAll starts all machines.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := c.start(m); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all fronts are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, m := range c.of("front") {
		for {
			response, err := http.Get("http://" + m.address(readyPort) + "/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// end ends all processes and removes the folder.
func (c *cluster) end() {
	for _, m := range c.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		record("folder %s", c.folder)
	}
}
