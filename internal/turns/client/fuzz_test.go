package client

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/moves"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// model is the oracle beside a fleet of disks: what was acknowledged, and what
// was handed out.
type model struct {
	t         *rapid.T
	fleet     *fleet
	tolerated int
	now       time.Time
	turns     []zinniapond.TurnID
	spent     zinniapond.Tokens // granted, less what was settled for less
	count     int
	open      []zinniapond.Spend
	reports   map[zinniapond.DiskID]zinniapond.DiskHeard
	walked    map[zinniapond.DiskID]zinniapond.Index
	// wiped has the disks that were wiped and are still in the set.
	wiped map[zinniapond.DiskID]bool
}

const fuzzBudget = 1000

func (m *model) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 50*time.Millisecond)
}

// client is one of many hosts: none has anything in memory.
func (m *model) client() *Client { return m.fleet.client(m.tolerated) }

func (m *model) tolerance() zinniapond.KeeperSettings {
	return zinniapond.KeeperSettings{Machines: m.tolerated, CatchUp: 2 * time.Second}
}

func (m *model) name() string {
	m.count++
	return fmt.Sprint("n", m.count)
}

// keep keeps a turn that continues another or begins a chain.
func (m *model) keep() {
	ctx, cancel := m.context()
	defer cancel()
	turn := zinniapond.Turn{ID: zinniapond.TurnID(m.name()), Program: "p"}
	if len(m.turns) > 0 && rapid.Bool().Draw(m.t, "continues") {
		previous := rapid.SampledFrom(m.turns).Draw(m.t, "previous")
		chain, err := m.client().Chain(ctx, now, previous)
		if err != nil {
			m.check(previous, err)
			return
		}
		for _, t := range chain {
			turn.Chain = append(turn.Chain, t.ID)
		}
	}
	if m.client().Keep(ctx, now, turn, zinniapond.Spend{}) == nil {
		m.turns = append(m.turns, turn.ID)
	}
}

func (m *model) check(id zinniapond.TurnID, err error) {
	if errors.Is(err, zinniapond.ErrNotFound) {
		m.t.Fatalf("turn %s was acknowledged and is said not to exist: %v", id, err)
	}
}

// read reads an acknowledged turn: it may be out of reach, but never unknown.
func (m *model) read() {
	if len(m.turns) == 0 {
		return
	}
	ctx, cancel := m.context()
	defer cancel()
	id := rapid.SampledFrom(m.turns).Draw(m.t, "id")
	_, err := m.client().Chain(ctx, now, id)
	m.check(id, err)
}

// readAll reads all acknowledged turns while all hosts are up: none may be
// missing.
func (m *model) readAll() {
	for _, d := range m.fleet.hosts {
		if d.down {
			return
		}
	}
	for _, id := range m.turns {
		ctx, cancel := m.context()
		if _, err := m.client().Chain(ctx, now, id); err != nil && !errors.Is(err, zinniapond.ErrNoQuorum) {
			m.t.Fatalf("turn %s was acknowledged and cannot be read: %v", id, err)
		}
		cancel()
	}
}

func (m *model) reserve() {
	ctx, cancel := m.context()
	defer cancel()
	amount := zinniapond.Tokens(rapid.IntRange(1, 400).Draw(m.t, "amount"))
	s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(m.name()), Reserved: amount}
	if _, err := m.client().Reserve(ctx, now, s, fuzzBudget); err != nil {
		return
	}
	m.open = append(m.open, s)
	m.spent += amount
	if m.spent > fuzzBudget {
		m.t.Fatalf("%d of %d tokens were granted", m.spent, fuzzBudget)
	}
}

// settle returns a part of a reservation.
func (m *model) settle() {
	if len(m.open) == 0 {
		return
	}
	ctx, cancel := m.context()
	defer cancel()
	s := m.open[0]
	m.open = m.open[1:]
	s.Used = s.Reserved / 2
	// A settlement that failed may have reached some disks.
	_ = m.client().Settle(ctx, now, s)
	m.spent -= s.Reserved - s.Used
}

// stop takes a host down; its disk stays. Any number may be down.
func (m *model) stop() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.host().down = true
}

// start brings a host back.
func (m *model) start() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.host().down = false
}

// reach draws anew which hosts are up.
func (m *model) reach() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, address := range m.addresses() {
		m.fleet.hosts[address].down = rapid.Bool().Draw(m.t, "down")
	}
}

// flip takes down the hosts that are up, and brings the others back.
func (m *model) flip() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, h := range m.fleet.hosts {
		h.down = !h.down
	}
}

// wipe gives a host an empty disk, as long as no more are wiped at once than the
// tolerance allows: a disk counts until the others made up for it.
func (m *model) wipe() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for id := range m.wiped {
		if _, ok := m.fleet.view.Disks[id]; !ok {
			delete(m.wiped, id)
		}
	}
	h := m.host()
	if len(m.wiped) >= m.tolerated {
		return
	}
	if _, member := m.fleet.view.Disks[h.id]; member {
		m.wiped[h.id] = true
	}
	zone := h.zone
	*h = *newDisk(zinniapond.DiskID(m.name()))
	h.zone = zone
}

// grow adds a host with an empty disk.
func (m *model) grow() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if len(m.fleet.hosts) < 8 {
		m.fleet.add(zinniapond.DiskID(m.name()))
	}
}

// retire begins to empty a disk, if enough are left without it.
func (m *model) retire() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	counts := 0
	for _, d := range m.fleet.view.Disks {
		if d.Counts() {
			counts++
		}
	}
	d, member := m.fleet.view.Disks[m.host().id]
	if !member || !d.Counts() || counts <= 2*m.tolerated+1 {
		return
	}
	d.State = zinniapond.DiskLeaving
	m.fleet.change(d)
}

// host draws a host.
func (m *model) host() *fakeDisk {
	return m.fleet.hosts[rapid.SampledFrom(m.addresses()).Draw(m.t, "host")]
}

// addresses returns the hosts' addresses in a fixed order, for reproduction.
func (m *model) addresses() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.fleet.hosts), netip.AddrPort.Compare)
}

// tend lets disks report, join and change their state as the control leader
// decides. A disk that is down stays silent for longer than the patience.
func (m *model) tend() {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m.now = m.now.Add(m.tolerance().Patience())
	for _, address := range m.addresses() {
		h := f.hosts[address]
		if h.down {
			continue
		}
		d, member := f.view.Disks[h.id]
		if !member {
			f.change(zinniapond.Disk{ID: h.id, Address: address, DataCentre: h.zone, State: zinniapond.DiskJoining})
			return
		}
		m.reports[d.ID] = zinniapond.DiskHeard{At: m.now, Reply: zinniapond.DiskReply{
			Disk: d.ID, Applied: f.view.Index, Walked: m.walked[d.ID],
		}}
	}
	decision := moves.Moves{View: &f.view, Tolerance: m.tolerance(), Forget: time.Hour, Reports: m.reports}
	for _, c := range decision.Due(m.now) {
		f.step()
		if c.Remove {
			delete(f.view.Disks, c.Disk.ID)
			if c.Before == zinniapond.DiskLeaving {
				delete(f.hosts, c.Disk.Address) // taken away with its disk
			}
			continue
		}
		f.place(c.Disk)
	}
}

// walk lets one disk see to the copies of its records.
func (m *model) walk() {
	f := m.fleet
	// Requests to slower disks go on after an operation has returned.
	f.mu.Lock()
	defer f.mu.Unlock()
	h := m.host()
	if self, member := f.view.Disks[h.id]; !member || self.State == zinniapond.DiskLost || h.down {
		return
	}
	if f.walk(h, m.tolerance()) {
		m.walked[h.id] = f.view.DisksIndex
	}
}

// change puts a disk into a new state.
func (f *fleet) change(d zinniapond.Disk) {
	f.step()
	f.place(d)
}

// place stores a disk under the present view.
func (f *fleet) place(d zinniapond.Disk) {
	d.Since, d.First = f.view.DisksIndex, f.view.Disks[d.ID].First
	if d.Counts() && d.First == 0 {
		d.First = d.Since
	}
	f.view.Disks[d.ID] = d
}

// step begins a new view. Readers share the disks of the one before.
func (f *fleet) step() {
	f.view.Disks = maps.Clone(f.view.Disks)
	f.view.Index++
	f.view.DisksIndex = f.view.Index
}

// walk gives the records of one disk to others where too few have them. It
// returns false if one of them does not answer.
func (f *fleet) walk(from *fakeDisk, tolerance zinniapond.KeeperSettings) bool {
	set := ranks.New(&f.view, tolerance)
	there := make(map[zinniapond.DiskID]*fakeDisk)
	for _, d := range set.Disks {
		h := f.hosts[d.Address]
		if d.Counts() && (h == nil || h.down || h.id != d.ID) {
			return false
		}
		there[d.ID] = h
	}
	whole := true
	for id, t := range from.turns {
		lack, enough := set.Short(set.Order(id, t.Origin), func(d zinniapond.DiskID) bool {
			_, ok := there[d].turns[id]
			return ok
		})
		for _, d := range lack {
			there[d.ID].turns[id] = t
		}
		whole = whole && enough
	}
	for program, spends := range from.spends {
		for turn, s := range spends {
			f.spread(set, there, program, turn, s)
		}
	}
	return whole
}

// spread gives a spend to all disks if too few have it.
func (f *fleet) spread(set ranks.Set, there map[zinniapond.DiskID]*fakeDisk, program zinniapond.ProgramID, turn zinniapond.AttemptID, s zinniapond.Spend) {
	var on []zinniapond.Disk
	for _, d := range set.Disks {
		if _, ok := there[d.ID].spends[program][turn]; d.Counts() && ok {
			on = append(on, d)
		}
	}
	if set.Written(on) {
		return
	}
	for _, d := range set.Disks {
		if d.Counts() {
			there[d.ID].keep(0, zinniapond.KeepRequest{Spends: []zinniapond.Spend{s}}, new(zinniapond.KeepReply))
		}
	}
}

// TestOracle guards against an acknowledged turn that is said not to exist or is
// gone, and against a budget that is passed, under any series of stops, wiped
// disks, returns and new disks. Hosts see to their copies one by one, in any
// order.
func TestOracle(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		t.Run(fmt.Sprint(tolerated, " disks may be lost"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				ids := []zinniapond.DiskID{"a", "b", "c", "d", "e", "f"}[:2*tolerated+2]
				m := &model{
					t: t, fleet: newFleet(ids...), tolerated: tolerated, now: now,
					reports: make(map[zinniapond.DiskID]zinniapond.DiskHeard),
					walked:  make(map[zinniapond.DiskID]zinniapond.Index), wiped: make(map[zinniapond.DiskID]bool),
				}
				t.Repeat(map[string]func(*rapid.T){
					"keep":    func(*rapid.T) { m.keep() },
					"read":    func(*rapid.T) { m.read() },
					"readAll": func(*rapid.T) { m.readAll() },
					"reserve": func(*rapid.T) { m.reserve() },
					"settle":  func(*rapid.T) { m.settle() },
					"stop":    func(*rapid.T) { m.stop() },
					"start":   func(*rapid.T) { m.start() },
					"reach":   func(*rapid.T) { m.reach() },
					"flip":    func(*rapid.T) { m.flip() },
					"wipe":    func(*rapid.T) { m.wipe() },
					"retire":  func(*rapid.T) { m.retire() },
					"grow":    func(*rapid.T) { m.grow() },
					"tend":    func(*rapid.T) { m.tend() },
					"tend2":   func(*rapid.T) { m.tend() },
					"walk":    func(*rapid.T) { m.walk() },
					"walk2":   func(*rapid.T) { m.walk() },
				})
			})
		})
	}
}
