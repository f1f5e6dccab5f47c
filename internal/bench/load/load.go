// Package load runs experiments: the policies of several simulated hosts,
// called through their interfaces, schedule generated programs on stand-in
// engines in simulated time.
package load

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/standin/engine"
)

// drainPeriod is the time after the last arrival in which running programs can
// end.
const drainPeriod = 30 * time.Minute

// Experiment is one run of one workload with one choice of plug-ins. Equal
// experiments give equal figures.
type Experiment struct {
	Name           string
	Workload       string // rennbach or tengerweb
	Seed           uint64
	Hosts          int
	Engines        int
	Length         time.Duration
	LoadFactor     float64 // multiplies all arrival rates
	Peak           bool    // demand is higher in the middle third
	Queue          string
	Router         string
	SlowEngines    int  // engines that are ten times slower from a tenth of the run on
	InjectFaults   bool // one engine hangs, one leaves, one alternates between fast and slow
	ShortCallsOnly bool // only programs with short calls run
	// Each of these turns one mechanism off.
	NoHedge, NoLimit, NoLeases bool
}

// node is one simulated backend server.
type node struct {
	*engine.Server
	run             *run
	scheduleVersion uint64
}

// run is the state of one experiment.
type run struct {
	*Experiment
	timeline
	workload   workload
	engines    []*node
	services   []*node
	nodes      map[netip.AddrPort]*node
	hosts      []*host
	executions map[zinniapond.ProgramID]*execution
	attempts   map[zinniapond.AttemptID]*attempt
	endedAt    map[zinniapond.ProgramID]time.Time
	figures
}

// Run runs the experiment and returns its figures by name.
func (e *Experiment) Run() (map[string]float64, error) {
	r := &run{
		Experiment: e,
		nodes:      make(map[netip.AddrPort]*node),
		executions: make(map[zinniapond.ProgramID]*execution),
		attempts:   make(map[zinniapond.AttemptID]*attempt),
		endedAt:    make(map[zinniapond.ProgramID]time.Time),
		figures:    newFigures(),
	}
	for _, w := range workloads {
		if w.name == e.Workload {
			r.workload = w
		}
	}
	if r.workload.name == "" {
		return nil, fmt.Errorf("run experiment %s: no workload named %q", e.Name, e.Workload)
	}
	for i := range e.Engines {
		r.engines = append(r.engines, r.newNode(i, &engine.Server{EventLossRate: 0.01, Lag: 1200 * time.Millisecond, CacheTokens: 250_000}))
	}
	for i := range r.workload.serviceCount {
		// A plain service answers in about 40 ms and takes 12 calls at once.
		r.services = append(r.services, r.newNode(1000+i, &engine.Server{Slots: 12, PrefillRate: 20_000, DecodeRate: 120, CacheTokens: blockTokens}))
	}
	for i := range e.Hosts {
		h, err := r.newHost(i)
		if err != nil {
			return nil, fmt.Errorf("run experiment %s: %w", e.Name, err)
		}
		r.hosts = append(r.hosts, h)
	}
	r.scheduleWork()
	r.runUntil(startTime.Add(e.Length + drainPeriod))
	return r.summarise(), nil
}

func (r *run) newNode(number int, s *engine.Server) *node {
	s.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 8000)
	s.Seed = r.Seed + uint64(number)
	n := &node{Server: s, run: r}
	r.nodes[s.Address] = n
	n.SetFaults(startTime, 1, false, false)
	return n
}

// scheduleWork schedules the arrivals, the faults and the periodic work.
func (r *run) scheduleWork() {
	scripts := generateScripts(r.workload, r.Seed, r.Length, r.LoadFactor, r.Peak, r.ShortCallsOnly)
	r.totalDemand, r.firstClassDemand = r.computeDemand(scripts)
	for _, s := range scripts {
		r.schedule(startTime.Add(s.arrival), func(now time.Time) { r.startProgram(now, s, nil) })
	}
	for i := range min(r.SlowEngines, len(r.engines)) {
		r.schedule(startTime.Add(r.Length/10), func(now time.Time) { r.engines[i].setFaults(now, 10, false, false) })
	}
	if r.InjectFaults {
		r.scheduleFaults()
	}
	for i, h := range r.hosts {
		// The hosts do their periodic work at different instants.
		offset := time.Duration(i) * 137 * time.Millisecond
		r.scheduleEvery(offset, time.Second, h.releaseExpired)
		r.scheduleEvery(offset, 5*time.Second, h.readReports)
	}
	r.scheduleEvery(0, 10*time.Second, r.sampleHeldCache)
	r.scheduleEvery(0, time.Second, r.sampleWaiting)
}

func (r *run) scheduleFaults() {
	scheduleChange := func(i int, start float64, slow float64, leaving, hang bool) {
		at := startTime.Add(time.Duration(start * float64(r.Length)))
		r.schedule(at, func(now time.Time) { r.engines[i].setFaults(now, slow, leaving, hang) })
	}
	scheduleChange(0, 0.2, 1, false, true)
	scheduleChange(0, 0.5, 1, false, false)
	scheduleChange(1, 0.3, 1, true, false)
	for i := range 10 {
		start := 0.3 + float64(i)/20
		scheduleChange(2, start, 10, false, false)
		scheduleChange(2, start+0.025, 1, false, false)
	}
}

func (r *run) scheduleEvery(offset, interval time.Duration, action func(time.Time)) {
	end := startTime.Add(r.Length + drainPeriod)
	var runAndRepeat func(time.Time)
	runAndRepeat = func(now time.Time) {
		action(now)
		if next := now.Add(interval); next.Before(end) {
			r.schedule(next, runAndRepeat)
		}
	}
	r.schedule(startTime.Add(offset), runAndRepeat)
}

func (r *run) hostOf(id zinniapond.ProgramID) *host {
	return r.hosts[xxhash.Sum64String(string(id))%uint64(len(r.hosts))]
}

// releaseCache releases a program's cache on a server. It does not check
// whether a call of the program runs there.
func (r *run) releaseCache(now time.Time, server netip.AddrPort, id zinniapond.ProgramID) {
	n := r.nodes[server]
	n.advanceTo(now)
	n.Release(now, id)
}

// setFaults changes the speed and the faults of the server and schedules its
// next event anew.
func (n *node) setFaults(now time.Time, slow float64, leaving, hang bool) {
	n.advanceTo(now)
	n.SetFaults(now, slow, leaving, hang)
	n.scheduleAdvance()
}

// advanceTo advances the server to now and notifies the attempts of their first
// tokens and ends.
func (n *node) advanceTo(now time.Time) {
	type progress struct {
		attempt zinniapond.AttemptID
		usage   zinniapond.Usage
		answer  string
	}
	var all []progress
	n.Advance(now, func(_ time.Time, attempt zinniapond.AttemptID, usage zinniapond.Usage, answer string) {
		all = append(all, progress{attempt, usage, answer})
	})
	for _, u := range all {
		if a := n.run.attempts[u.attempt]; a != nil {
			a.handleAnswer(now, u.usage, u.answer)
		}
	}
}

// scheduleAdvance schedules the advance to the server's next event and makes
// any earlier schedule void.
func (n *node) scheduleAdvance() {
	n.scheduleVersion++
	version := n.scheduleVersion
	at, ok := n.NextEvent()
	if !ok {
		return
	}
	n.run.schedule(at, func(now time.Time) {
		if n.scheduleVersion == version {
			n.advanceTo(now)
			n.scheduleAdvance()
		}
	})
}
