package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryInterval is the time between two looks at the memory of the processes.
const memoryInterval = 20 * time.Millisecond

// residentMB returns the resident memory of a process in units of 10^6 bytes.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(text, []byte("VmRSS:"))
	if !ok {
		return 0
	}
	kilobytes, _ := strconv.ParseFloat(string(bytes.Fields(rest)[0]), 64)
	return kilobytes * 1024 / 1e6
}

// memoryWatch does what the platform does with processes that use more memory than their
// machine has: it kills them, and starts them again after a short delay.
type memoryWatch struct {
	cluster *cluster
	enforce bool
	most    map[string]float64
	kills   map[string]int
	stop    atomic.Bool
	done    chan struct{}
}

func watchMemory(c *cluster, enforce bool) *memoryWatch {
	w := &memoryWatch{cluster: c, enforce: enforce, most: make(map[string]float64), kills: make(map[string]int), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for !w.stop.Load() {
			for _, m := range c.machines {
				w.check(m)
			}
			time.Sleep(memoryInterval)
		}
	}()
	return w
}

func (w *memoryWatch) check(m *machine) {
	m.mu.Lock()
	cmd, stopped := m.cmd, m.stopped
	m.mu.Unlock()
	if cmd == nil || stopped {
		return
	}
	used := residentMB(cmd.Process.Pid)
	w.most[m.name] = max(w.most[m.name], used)
	if !w.enforce || used <= float64(m.memoryMB) {
		return
	}
	record("%s uses %.1f MB of %d MB and is killed", m.name, used, m.memoryMB)
	w.kills[m.name]++
	m.mu.Lock()
	m.stopped = true
	_ = cmd.Process.Signal(syscall.SIGKILL)
	done := m.done
	m.mu.Unlock()
	go func() {
		<-done
		time.Sleep(500 * time.Millisecond)
		if !w.stop.Load() {
			_ = w.cluster.start(m)
		}
	}()
}

// end ends the watch and records the most memory of each machine.
func (w *memoryWatch) end() {
	w.stop.Store(true)
	<-w.done
	time.Sleep(600 * time.Millisecond)
	for _, m := range w.cluster.machines {
		record("memory of %s: at most %.1f MB of %d MB, killed %d times", m.name, w.most[m.name], m.memoryMB, w.kills[m.name])
	}
}
