package writer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestMain gives the fuzz tests a fixed seed and a bounded size; flags on the
// command line come after these and override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15", "rapid.steps": "30"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// outcome is what the test knows about an append.
type outcome int

const (
	uncertain outcome = iota
	durable           // acknowledged, or seen in a history
	absent            // was absent from the journal of a later owner
)

type attempt struct {
	text    string
	writer  *Writer
	outcome outcome
}

type owner struct {
	*Writer
	epoch   zinniapond.Epoch
	deposed bool // a later owner has recovered the shard
}

// model is the test oracle: per program the appends in the order in which they were
// made, each with its outcome. It drives a cluster of three stores and a spare.
type model struct {
	c            *cluster
	t            *rapid.T
	mu           sync.Mutex
	attempts     map[string][]*attempt
	ended        map[string]bool
	current      *owner
	formerOwners []*owner
	recordCount  int
}

var (
	fuzzHosts  = []zinniapond.HostName{"a", "b", "c", "d"} // the last is spare at first
	fuzzOwners = []zinniapond.HostName{"o", "p"}
)

const (
	// fuzzWait bounds operations while links are cut and stores are stopped.
	fuzzWait = 80 * time.Millisecond
	// healedWait bounds them once all links and stores are back. A majority then answers
	// after the time of a sync, which was up to 0.9 s on a busy disk.
	healedWait = 10 * time.Second
)

func (m *model) drawHost(label string) zinniapond.HostName {
	return rapid.SampledFrom(fuzzHosts).Draw(m.t, label)
}

// appendRecord appends one record and notes the outcome.
func (m *model) appendRecord(o *owner, program string, kind zinniapond.RecordKind) {
	m.mu.Lock()
	m.recordCount++
	r := newRecord(kind, program, m.recordCount)
	a := &attempt{text: r.Reason, writer: o.Writer}
	m.attempts[program] = append(m.attempts[program], a)
	m.mu.Unlock()
	err := o.Append(ctx, time.Now(), 0, o.epoch, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil && o.deposed:
		m.t.Fatalf("append %s of a deposed owner was acknowledged", a.text)
	case err == nil:
		// An append that succeeds makes the earlier uncertain ones durable too.
		for _, b := range m.attempts[program] {
			if b.writer == o.Writer && b.outcome == uncertain {
				b.outcome = durable
			}
		}
	case o.deposed:
		a.outcome = absent
	}
}

// drawProgram returns a random program that has not ended.
func (m *model) drawProgram(label string) string {
	n := rapid.IntRange(0, 3).Draw(m.t, label)
	for {
		p := fmt.Sprintf("p%d", n)
		if !m.ended[p] {
			return p
		}
		n += 4
	}
}

func (m *model) append() {
	if m.current == nil {
		m.t.Skip("no owner")
	}
	kind := rapid.SampledFrom([]zinniapond.RecordKind{
		zinniapond.RecordIntent, zinniapond.RecordResult, zinniapond.RecordIntent, zinniapond.RecordEnd,
	}).Draw(m.t, "kind")
	p := m.drawProgram("program")
	if len(m.attempts[p]) == 0 {
		kind = zinniapond.RecordOpen
	}
	m.appendRecord(m.current, p, kind)
	if kind == zinniapond.RecordEnd {
		m.ended[p] = true
	}
}

// burst appends to several programs at once.
func (m *model) burst() {
	if m.current == nil {
		m.t.Skip("no owner")
	}
	var group sync.WaitGroup
	for n := range 4 {
		p := fmt.Sprintf("burst%d", n)
		group.Go(func() {
			m.appendRecord(m.current, p, zinniapond.RecordIntent)
			m.appendRecord(m.current, p, zinniapond.RecordResult)
		})
	}
	group.Wait()
}

// appendAsFormerOwner appends through an owner that was replaced, as a process does
// that resumes after a pause.
func (m *model) appendAsFormerOwner() {
	if len(m.formerOwners) == 0 {
		m.t.Skip("no earlier owner")
	}
	o := rapid.SampledFrom(m.formerOwners).Draw(m.t, "old")
	m.appendRecord(o, "stale", zinniapond.RecordIntent)
}

// takeover alternates between two hosts, so that a link of the new owner may be cut
// while that of the old owner works.
func (m *model) takeover() {
	m.recover(m.c.assign(fuzzOwners[m.c.View().Assignments[0].Epoch%2]), fuzzWait)
}

// restartOwner recovers the shard under the same assignment in a new process.
func (m *model) restartOwner() {
	if a := m.c.View().Assignments[0]; a.Epoch > 0 {
		m.recover(a, fuzzWait)
	}
}

func (m *model) recover(a zinniapond.Assignment, wait time.Duration) bool {
	if m.current != nil {
		m.formerOwners = append(m.formerOwners, m.current)
		m.current = nil
	}
	for _, o := range m.formerOwners {
		if o.Host == a.Owner {
			o.stop() // a host runs one process at a time
		}
	}
	next := &owner{Writer: m.c.newWriter(a.Owner, wait), epoch: a.Epoch}
	replay := make(map[string][]string)
	err := next.Recover(ctx, time.Now(), a, func(r zinniapond.Record) error {
		replay[string(r.Program)] = append(replay[string(r.Program)], r.Reason)
		return nil
	})
	if err != nil {
		next.stop()
		return false
	}
	for _, o := range m.formerOwners {
		o.deposed = true
	}
	m.current = next
	go func() { _ = next.Run(next.rootContext()) }()
	for p := range m.attempts {
		got, err := m.readHistory(p)
		if err != nil {
			return true // a link or store failed; a later action checks again
		}
		m.checkHistory(p, got)
		if !slices.Equal(replay[p], got) && (replay[p] != nil || !m.ended[p]) {
			m.t.Fatalf("replay of %s has %v, history %v", p, replay[p], got)
		}
	}
	return true
}

func (m *model) readHistory(program string) ([]string, error) {
	each, seen := collectReasons()
	err := m.current.History(ctx, time.Now(), 0, zinniapond.ProgramID(program), each)
	return *seen, err
}

// checkHistory checks a program's history against the appends that were tried.
func (m *model) checkHistory(program string, got []string) {
	rest := got
	for _, a := range m.attempts[program] {
		if len(rest) > 0 && rest[0] == a.text {
			if a.outcome == absent {
				m.t.Fatalf("append %s came back; history %v", a.text, got)
			}
			a.outcome, rest = durable, rest[1:]
			continue
		}
		if a.outcome == durable {
			m.t.Fatalf("append %s is lost; history %v", a.text, got)
		}
		if a.writer != m.current.Writer {
			a.outcome = absent
		}
	}
	if len(rest) > 0 {
		m.t.Fatalf("history of %s has foreign or misplaced records %v; history %v", program, rest, got)
	}
}

func (m *model) checkHistories() {
	if m.current == nil {
		return
	}
	for p := range m.attempts {
		if got, err := m.readHistory(p); err == nil {
			m.checkHistory(p, got)
		}
	}
}

// startReplacement begins the replacement of a replica by the spare host.
func (m *model) startReplacement() {
	a := m.c.View().Assignments[0]
	if m.current == nil || a.JoiningReplica != "" {
		m.t.Skip("no owner, or a host joins")
	}
	lost := rapid.SampledFrom(a.Replicas).Draw(m.t, "replaced")
	for _, h := range fuzzHosts {
		if !slices.Contains(a.Replicas, h) {
			m.c.startReplacement(lost, h)
		}
	}
}

// countIntact returns the number of replicas that hold records and vote.
func (m *model) countIntact() int {
	var n int
	for _, h := range m.c.View().Assignments[0].Replicas {
		d := m.c.stores[h]
		var reply zinniapond.ReadReply
		if d.store == nil {
			m.c.startStore(h)
			defer m.c.stopStore(h, false)
		}
		assert.NoError(m.c.t, d.store.Read(&zinniapond.ReadRequest{FromIndex: 1, MaxEntries: 1}, &reply))
		if reply.Voting && reply.LastIndex > 0 {
			n++
		}
	}
	return n
}

func (m *model) loseDisk() {
	if m.countIntact() < 2 {
		m.t.Skip("the last disk is not lost")
	}
	h := m.drawHost("lost")
	m.c.stopStore(h, true)
	m.c.wipeDisk(h)
	m.c.startStore(h)
}

func (m *model) crashStore() { m.c.stopStore(m.drawHost("crashed"), true) }

func (m *model) startStores() {
	for _, h := range fuzzHosts {
		if m.c.stores[h].store == nil {
			m.c.startStore(h)
		}
	}
}

func (m *model) setLinks(cut bool) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if !cut {
		clear(m.c.cutLinks)
		return
	}
	ends := []zinniapond.HostName{rapid.SampledFrom(fuzzOwners).Draw(m.t, "owner"), m.drawHost("cut")}
	if rapid.Bool().Draw(m.t, "answers") {
		slices.Reverse(ends)
	}
	m.c.cutLinks[[2]zinniapond.HostName(ends)] = true
}

// healAndVerify restores all links and stores. A recovery must then succeed with a
// majority of intact disks, and must not succeed with one.
func (m *model) healAndVerify() {
	m.setLinks(false)
	m.startStores()
	var n int
	for range 20 {
		n = m.countIntact()
		wait := fuzzWait
		if n >= 2 {
			wait = healedWait
		}
		if m.recover(m.c.assign("o"), wait) {
			break
		}
	}
	if n >= 2 && m.current == nil {
		m.t.Fatalf("no recovery with %d intact disks", n)
	}
	if n == 1 && m.current != nil {
		m.t.Fatalf("recovered with one intact disk of three")
	}
	m.checkHistories()
}

func TestFuzz(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, fuzzHosts...)
		m := &model{c: c, t: r, attempts: make(map[string][]*attempt), ended: make(map[string]bool)}
		defer c.stop()
		m.recover(c.assign("o", fuzzHosts[:3]...), fuzzWait)
		r.Repeat(map[string]func(*rapid.T){
			"append": func(*rapid.T) { m.append() }, "append2": func(*rapid.T) { m.append() },
			"burst": func(*rapid.T) { m.burst() }, "stale": func(*rapid.T) { m.appendAsFormerOwner() },
			"takeover": func(*rapid.T) { m.takeover() }, "restart": func(*rapid.T) { m.restartOwner() },
			"crash": func(*rapid.T) { m.crashStore() }, "start": func(*rapid.T) { m.startStores() },
			"lose": func(*rapid.T) { m.loseDisk() }, "replace": func(*rapid.T) { m.startReplacement() },
			"cut": func(*rapid.T) { m.setLinks(true) }, "heal": func(*rapid.T) { m.setLinks(false) },
			"": func(*rapid.T) { m.checkHistories() },
		})
		m.healAndVerify()
	})
}
