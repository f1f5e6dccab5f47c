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

// fate is what is known of an append.
type fate int

const (
	uncertain fate = iota
	kept           // acknowledged, or seen in a history
	gone           // was absent from the journal of a later owner
)

type attempt struct {
	text   string
	writer *Writer
	fate   fate
}

type owner struct {
	*Writer
	epoch   zinniapond.Epoch
	deposed bool // a later owner has recovered the shard
}

// model is the oracle: per program the appends in the order in which they were
// made, each with its fate. It drives a cluster of three stores.
type model struct {
	c       *cluster
	t       *rapid.T
	mu      sync.Mutex
	tried   map[string][]*attempt
	ended   map[string]bool
	current *owner
	olds    []*owner
	count   int
}

var (
	fuzzHosts  = []zinniapond.HostName{"a", "b", "c", "d"} // the last is spare at first
	fuzzOwners = []zinniapond.HostName{"o", "p"}
)

const fuzzWait = 80 * time.Millisecond

func (m *model) host(label string) zinniapond.HostName {
	return rapid.SampledFrom(fuzzHosts).Draw(m.t, label)
}

// try appends one record and notes what the answer tells.
func (m *model) try(o *owner, program string, kind zinniapond.RecordKind) {
	m.mu.Lock()
	m.count++
	r := record(kind, program, m.count)
	a := &attempt{text: r.Reason, writer: o.Writer}
	m.tried[program] = append(m.tried[program], a)
	m.mu.Unlock()
	err := o.Append(ctx, time.Now(), 0, o.epoch, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil && o.deposed:
		m.t.Fatalf("append %s of a deposed owner was acknowledged", a.text)
	case err == nil:
		// A later append that succeeds settles the uncertain ones before it.
		for _, b := range m.tried[program] {
			if b.writer == o.Writer && b.fate == uncertain {
				b.fate = kept
			}
		}
	case o.deposed:
		a.fate = gone
	}
}

// program draws a program that has not ended.
func (m *model) program(label string) string {
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
	p := m.program("program")
	if len(m.tried[p]) == 0 {
		kind = zinniapond.RecordOpen
	}
	m.try(m.current, p, kind)
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
			m.try(m.current, p, zinniapond.RecordIntent)
			m.try(m.current, p, zinniapond.RecordResult)
		})
	}
	group.Wait()
}

// stale lets an owner that was replaced go on, as after a pause.
func (m *model) stale() {
	if len(m.olds) == 0 {
		m.t.Skip("no earlier owner")
	}
	o := rapid.SampledFrom(m.olds).Draw(m.t, "old")
	m.try(o, "stale", zinniapond.RecordIntent)
}

// takeover alternates between hosts, so that a link of the new owner's may be
// cut while the old one's works.
func (m *model) takeover() {
	m.recover(m.c.assign(fuzzOwners[m.c.View().Assignments[0].Epoch%2]))
}

// restart recovers the shard under the same assignment in a new process.
func (m *model) restart() {
	if a := m.c.View().Assignments[0]; a.Epoch > 0 {
		m.recover(a)
	}
}

func (m *model) recover(a zinniapond.Assignment) bool {
	if m.current != nil {
		m.olds = append(m.olds, m.current)
		m.current = nil
	}
	for _, o := range m.olds {
		if o.Host == a.Owner {
			o.stop() // a host runs one process at a time
		}
	}
	next := &owner{Writer: m.c.writer(a.Owner, fuzzWait), epoch: a.Epoch}
	replay := make(map[string][]string)
	err := next.Recover(ctx, time.Now(), a, func(r zinniapond.Record) error {
		replay[string(r.Program)] = append(replay[string(r.Program)], r.Reason)
		return nil
	})
	if err != nil {
		next.stop()
		return false
	}
	for _, o := range m.olds {
		o.deposed = true
	}
	m.current = next
	go func() { _ = next.Run(next.context()) }()
	for p := range m.tried {
		got, err := m.read(p)
		if err != nil {
			return true // a link or store failed; check comes again
		}
		m.compare(p, got)
		if !slices.Equal(replay[p], got) && (replay[p] != nil || !m.ended[p]) {
			m.t.Fatalf("replay of %s has %v, history %v", p, replay[p], got)
		}
	}
	return true
}

func (m *model) read(program string) ([]string, error) {
	each, seen := collect()
	err := m.current.History(ctx, time.Now(), 0, zinniapond.ProgramID(program), each)
	return *seen, err
}

// compare checks a program's history against the appends that were tried.
func (m *model) compare(program string, got []string) {
	rest := got
	for _, a := range m.tried[program] {
		if len(rest) > 0 && rest[0] == a.text {
			if a.fate == gone {
				m.t.Fatalf("append %s came back; history %v", a.text, got)
			}
			a.fate, rest = kept, rest[1:]
			continue
		}
		if a.fate == kept {
			m.t.Fatalf("append %s is lost; history %v", a.text, got)
		}
		if a.writer != m.current.Writer {
			a.fate = gone
		}
	}
	if len(rest) > 0 {
		m.t.Fatalf("history of %s has foreign or misplaced records %v; history %v", program, rest, got)
	}
}

func (m *model) check() {
	if m.current == nil {
		return
	}
	for p := range m.tried {
		if got, err := m.read(p); err == nil {
			m.compare(p, got)
		}
	}
}

// replace begins the replacement of a replica by the spare host.
func (m *model) replace() {
	a := m.c.View().Assignments[0]
	if m.current == nil || a.Joining != "" {
		m.t.Skip("no owner, or a host joins")
	}
	lost := rapid.SampledFrom(a.Replicas).Draw(m.t, "replaced")
	for _, h := range fuzzHosts {
		if !slices.Contains(a.Replicas, h) {
			m.c.join(lost, h)
		}
	}
}

// intact counts the replicas that have a disk and count towards a majority.
func (m *model) intact() int {
	var n int
	for _, h := range m.c.View().Assignments[0].Replicas {
		d := m.c.stores[h]
		var reply zinniapond.ReadReply
		if d.store == nil {
			m.c.start(h)
			defer m.c.halt(h, false)
		}
		assert.NoError(m.c.t, d.store.Read(&zinniapond.ReadRequest{From: 1, Most: 1}, &reply))
		if reply.Voting && reply.Last > 0 {
			n++
		}
	}
	return n
}

func (m *model) lose() {
	if m.intact() < 2 {
		m.t.Skip("the last disk is not lost")
	}
	h := m.host("lost")
	m.c.halt(h, true)
	m.c.wipe(h)
	m.c.start(h)
}

func (m *model) crash() { m.c.halt(m.host("crashed"), true) }

func (m *model) start() {
	for _, h := range fuzzHosts {
		if m.c.stores[h].store == nil {
			m.c.start(h)
		}
	}
}

func (m *model) link(cut bool) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if !cut {
		clear(m.c.cut)
		return
	}
	ends := []zinniapond.HostName{rapid.SampledFrom(fuzzOwners).Draw(m.t, "owner"), m.host("cut")}
	if rapid.Bool().Draw(m.t, "answers") {
		slices.Reverse(ends)
	}
	m.c.cut[[2]zinniapond.HostName(ends)] = true
}

// end heals everything. A majority of intact disks must then serve, and the
// system must refuse to serve with fewer.
func (m *model) end() {
	m.link(false)
	m.start()
	var n int
	for range 20 {
		n = m.intact()
		if m.recover(m.c.assign("o")) {
			break
		}
	}
	if n >= 2 && m.current == nil {
		m.t.Fatalf("no recovery with %d intact disks", n)
	}
	if n == 1 && m.current != nil {
		m.t.Fatalf("recovered with one intact disk of three")
	}
	m.check()
}

func TestFuzz(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newCluster(t, fuzzHosts...)
		m := &model{c: c, t: r, tried: make(map[string][]*attempt), ended: make(map[string]bool)}
		defer c.stop()
		m.recover(c.assign("o", fuzzHosts[:3]...))
		r.Repeat(map[string]func(*rapid.T){
			"append": func(*rapid.T) { m.append() }, "append2": func(*rapid.T) { m.append() },
			"burst": func(*rapid.T) { m.burst() }, "stale": func(*rapid.T) { m.stale() },
			"takeover": func(*rapid.T) { m.takeover() }, "restart": func(*rapid.T) { m.restart() },
			"crash": func(*rapid.T) { m.crash() }, "start": func(*rapid.T) { m.start() },
			"lose": func(*rapid.T) { m.lose() }, "replace": func(*rapid.T) { m.replace() },
			"cut": func(*rapid.T) { m.link(true) }, "heal": func(*rapid.T) { m.link(false) },
			"": func(*rapid.T) { m.check() },
		})
		m.end()
	})
}
