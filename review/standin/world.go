package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// The ports of a machine. The metrics port is fixed in the templates.
const (
	portPeers   = 7380
	portStreams = 7381
	portReady   = 8141
	portControl = 8144
	portFront   = 8149
	portMetrics = 9180
)

// Memory of the machines in MB, as on the sheet of rennbach-fass.
var memoryMb = map[string]int{"front": 134, "storage": 154, "core": 280}

var zones = []string{"rennbach-nord", "rennbach-sued", "waschhalle", "rathaus"}

// restartDelay is the time until a process that ended is started again.
const restartDelay = time.Second

// world is a small deployment with its stand-ins.
type world struct {
	*record
	repository string
	folder     string // temporary
	prefix     string // first two bytes of the addresses
	trouble    bool
	machines   []*machine
	provider   *provider

	mu       sync.Mutex
	stopping bool
}

// machine is one process of the deployment.
type machine struct {
	world       *world
	class, zone string
	name, ip    string
	index       int // among all machines

	mu         sync.Mutex
	cmd        *exec.Cmd
	started    bool
	ends       int // number of times that the process has ended
	overMemory int // number of times that it was killed for its memory
	peakMB     int
}

func newWorld(repository string, r *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, repository: repository, folder: folder}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 40+rand.IntN(180), 1+rand.IntN(250))
		if w.portsFree() {
			break
		}
		w.prefix = ""
	}
	if w.prefix == "" {
		return nil, errors.New("no free addresses")
	}
	w.provider, err = newProvider(w)
	return w, err
}

func (w *world) address(last int) string { return w.prefix + "." + strconv.Itoa(last) }

func (w *world) portsFree() bool {
	for last := 1; last < 40; last++ {
		for _, port := range []int{portPeers, portStreams, portReady, portControl, portFront, portMetrics} {
			l, err := net.Listen("tcp", net.JoinHostPort(w.address(last), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addMachines adds machines of a class, one zone after the other.
func (w *world) addMachines(class string, count int) {
	for number := range count {
		zone := zones[number%len(zones)]
		w.machines = append(w.machines, &machine{
			world: w, class: class, zone: zone, index: len(w.machines),
			name: fmt.Sprintf("%s-%s-%d", class, zone, number/len(zones)+1), ip: w.address(10 + len(w.machines)),
		})
	}
}

func (w *world) class(class string) []*machine {
	var list []*machine
	for _, m := range w.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

// startAll starts all processes and waits until the fronts are ready. The operator
// sends the first configuration until it is accepted.
func (w *world) startAll(configuration string) error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := w.configure(configuration, 20*time.Second); err != nil {
		return err
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range w.class("front") {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		w.add("%s is ready", m.name)
	}
	// The disks are in use once a first turn can be stored; the platform lets
	// ten seconds pass before the traffic.
	time.Sleep(4 * time.Second)
	return nil
}

func (m *machine) settings() (string, error) {
	template, err := os.ReadFile(filepath.Join(m.world.repository, "deploy", m.class+".ini"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, c := range m.world.class("core")[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, portControl))
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	values := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{zone}}", m.zone, "{{dataDirectory}}", m.dataFolder(), "{{ip}}", m.ip,
		"{{internalPortRange.0}}", strconv.Itoa(portPeers), "{{internalPortRange.1}}", strconv.Itoa(portStreams),
		"{{listenAddresses.front}}", at(portFront), "{{listenAddresses.ready}}", at(portReady), "{{listenAddresses.control}}", at(portControl),
		"{{#seeds}}{{.}}{{,}}{{/seeds}}", strings.Join(seeds, ","), "{{isFirstStart}}", strconv.FormatBool(!m.started),
		"{{faultTolerance.machines}}", "1", "{{faultTolerance.zones}}", "0",
		"{{bounds.catchUpS}}", "4.7", "{{bounds.configApplyMs}}", "2000", "{{bounds.graceS}}", "8",
		"{{cloudApi.address}}", m.world.provider.address, "{{limits.memoryMb}}", strconv.Itoa(memoryMb[m.class]),
	)
	text := values.Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("deploy/%s.ini has a placeholder that is not filled in", m.class)
	}
	return text, nil
}

func (m *machine) dataFolder() string { return filepath.Join(m.world.folder, m.name) }

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.world.folder, m.name+".ini")
	if err := errors.Join(os.WriteFile(path, []byte(text), 0o600), os.MkdirAll(m.dataFolder(), 0o700)); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/zinniapond", "node", "run")
	cmd.Dir, cmd.Env = m.world.repository, []string{"ZINNIAPOND_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.world.folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(cmd, m.index); err != nil {
		_ = log.Close()
		return err
	}
	m.cmd, m.started = cmd, true
	m.world.add("%s started, process %d, first start %t", m.name, cmd.Process.Pid, strings.Contains(text, "bootstrap = true"))
	ended := make(chan struct{})
	go m.watchMemory(cmd.Process, ended)
	go func() {
		err := cmd.Wait()
		close(ended)
		_ = log.Close()
		m.restart(err)
	}()
	return nil
}

// startOnOneCore starts a command that sees a single core, as the pages say of a
// machine. The new process inherits the processors of the thread that starts it.
func startOnOneCore(cmd *exec.Cmd, number int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one [16]uint64
	size := unsafe.Sizeof(before)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before))); e != 0 {
		return e
	}
	var allowed []int
	for cpu := range len(before) * 64 {
		if before[cpu/64]&(1<<(cpu%64)) != 0 {
			allowed = append(allowed, cpu)
		}
	}
	cpu := allowed[number%len(allowed)]
	one[cpu/64] = 1 << (cpu % 64)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one))); e != 0 {
		return e
	}
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before)))
	return cmd.Start()
}

// restart starts a process that has ended again, as the provider does.
func (m *machine) restart(cause error) {
	m.mu.Lock()
	m.cmd = nil
	m.ends++
	m.mu.Unlock()
	if m.world.isStopping() {
		return
	}
	m.world.add("%s ended: %v", m.name, cause)
	time.Sleep(restartDelay)
	if m.world.isStopping() {
		return
	}
	if err := m.start(); err != nil {
		m.world.add("%s does not start: %v", m.name, err)
	}
}

// watchMemory kills a process that uses more memory than its machine has, as the
// provider does. Only the process's own pages count here, in MiB, without mapped files
// and without bytes that it has not read yet: less than the pages count.
func (m *machine) watchMemory(p *os.Process, ended <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/statm", p.Pid)
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		text, err := os.ReadFile(path)
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 3 {
			continue
		}
		resident, _ := strconv.Atoi(fields[1])
		shared, _ := strconv.Atoi(fields[2])
		used := (resident - shared) * os.Getpagesize() >> 20
		m.mu.Lock()
		m.peakMB = max(m.peakMB, used)
		m.mu.Unlock()
		if used > memoryMb[m.class] {
			m.mu.Lock()
			m.overMemory++
			m.mu.Unlock()
			m.world.add("%s uses %d MiB of %d MB; the provider kills it", m.name, used, memoryMb[m.class])
			_ = p.Kill()
			return
		}
	}
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.world.add("signal %q to %s", s, m.name)
		_ = m.cmd.Process.Signal(s)
	}
}

func (w *world) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// stop ends all processes and removes the temporary folder. The logs of the processes
// stay if KEEP is set.
func (w *world) stop() {
	w.mu.Lock()
	w.stopping = true
	w.mu.Unlock()
	for _, m := range w.machines {
		m.mu.Lock()
		cmd := m.cmd
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for _, m := range w.machines {
		for time.Now().Before(deadline) {
			m.mu.Lock()
			ended := m.cmd == nil
			m.mu.Unlock()
			if ended {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept", w.folder)
	}
}
