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
	"zinniapond.example/zinniapond/internal/turns/quorum"
	"zinniapond.example/zinniapond/internal/turns/states"
)

// model is the test oracle of a fleet of disks: it records the acknowledged turns
// and the granted tokens.
type model struct {
	t                *rapid.T
	fleet            *fleet
	toleratedLosses  int
	now              time.Time
	turns            []zinniapond.TurnID
	granted          zinniapond.Tokens // reserved tokens that were granted, less the unused ones that were settled
	nameCount        int
	openReservations []zinniapond.Spend
	reports          map[zinniapond.DiskID]zinniapond.DiskReport
	walked           map[zinniapond.DiskID]zinniapond.Index
	// wipedMembers has the disks that were wiped and are still in the set of disks.
	wipedMembers map[zinniapond.DiskID]bool
}

const tokenBudget = 1000

func (m *model) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 50*time.Millisecond)
}

// client returns a new client with an empty cache, like one of many hosts.
func (m *model) client() *Client { return m.fleet.client(m.toleratedLosses) }

func (m *model) settings() zinniapond.KeeperSettings {
	return zinniapond.KeeperSettings{MaxLostMachines: m.toleratedLosses, CatchUpTime: 2 * time.Second}
}

func (m *model) newName() string {
	m.nameCount++
	return fmt.Sprint("n", m.nameCount)
}

// keep writes a turn that either continues an acknowledged turn or begins a chain.
func (m *model) keep() {
	ctx, cancel := m.context()
	defer cancel()
	turn := zinniapond.Turn{ID: zinniapond.TurnID(m.newName()), Program: "p"}
	if len(m.turns) > 0 && rapid.Bool().Draw(m.t, "continues") {
		previous := rapid.SampledFrom(m.turns).Draw(m.t, "previous")
		chain, err := m.client().ReadChain(ctx, now, previous)
		if err != nil {
			m.checkNotLost(previous, err)
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

func (m *model) checkNotLost(id zinniapond.TurnID, err error) {
	if errors.Is(err, zinniapond.ErrNotFound) {
		m.t.Fatalf("turn %s was acknowledged and is reported as not found: %v", id, err)
	}
}

// read reads an acknowledged turn. The read may fail without a quorum, but must not
// report that the turn does not exist.
func (m *model) read() {
	if len(m.turns) == 0 {
		return
	}
	ctx, cancel := m.context()
	defer cancel()
	id := rapid.SampledFrom(m.turns).Draw(m.t, "id")
	_, err := m.client().ReadChain(ctx, now, id)
	m.checkNotLost(id, err)
}

// readAll reads all acknowledged turns if all hosts are up. The only error allowed
// is a missing quorum.
func (m *model) readAll() {
	for _, d := range m.fleet.hosts {
		if d.down {
			return
		}
	}
	for _, id := range m.turns {
		ctx, cancel := m.context()
		if _, err := m.client().ReadChain(ctx, now, id); err != nil && !errors.Is(err, zinniapond.ErrNoQuorum) {
			m.t.Fatalf("turn %s was acknowledged and cannot be read: %v", id, err)
		}
		cancel()
	}
}

func (m *model) reserve() {
	ctx, cancel := m.context()
	defer cancel()
	amount := zinniapond.Tokens(rapid.IntRange(1, 400).Draw(m.t, "amount"))
	s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(m.newName()), Reserved: amount}
	if _, err := m.client().Reserve(ctx, now, s, tokenBudget); err != nil {
		return
	}
	m.openReservations = append(m.openReservations, s)
	m.granted += amount
	if m.granted > tokenBudget {
		m.t.Fatalf("%d of %d tokens were granted", m.granted, tokenBudget)
	}
}

// settle settles the oldest open reservation with half of its tokens used.
func (m *model) settle() {
	if len(m.openReservations) == 0 {
		return
	}
	ctx, cancel := m.context()
	defer cancel()
	s := m.openReservations[0]
	m.openReservations = m.openReservations[1:]
	s.Used = s.Reserved / 2
	// A settlement that failed may have reached some disks.
	_ = m.client().Settle(ctx, now, s)
	m.granted -= s.Reserved - s.Used
}

// stop takes a host down and keeps its disk. Any number of hosts may be down.
func (m *model) stop() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.host().down = true
}

// start brings a host up with the disk that it had.
func (m *model) start() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.host().down = false
}

// redrawReachable draws for each host whether it is up.
func (m *model) redrawReachable() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, address := range m.addresses() {
		m.fleet.hosts[address].down = rapid.Bool().Draw(m.t, "down")
	}
}

// invertReachable takes down the hosts that are up, and brings the others up.
func (m *model) invertReachable() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, h := range m.fleet.hosts {
		h.down = !h.down
	}
}

// wipe replaces the disk of a host by an empty one, unless as many disks are wiped
// as the tolerance allows. A wiped disk is counted until it is removed from the set,
// when the other disks have restored the copies that it had.
func (m *model) wipe() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for id := range m.wipedMembers {
		if _, ok := m.fleet.view.Disks[id]; !ok {
			delete(m.wipedMembers, id)
		}
	}
	h := m.host()
	if len(m.wipedMembers) >= m.toleratedLosses {
		return
	}
	if _, member := m.fleet.view.Disks[h.id]; member {
		m.wipedMembers[h.id] = true
	}
	zone := h.zone
	*h = *newDisk(zinniapond.DiskID(m.newName()))
	h.zone = zone
}

// addHost adds a host with an empty disk.
func (m *model) addHost() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if len(m.fleet.hosts) < 8 {
		m.fleet.add(zinniapond.DiskID(m.newName()))
	}
}

// retire sets a disk to the state leaving, if enough disks remain without it.
func (m *model) retire() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	countingDisks := 0
	for _, d := range m.fleet.view.Disks {
		if d.CountsForWrites() {
			countingDisks++
		}
	}
	d, member := m.fleet.view.Disks[m.host().id]
	if !member || !d.CountsForWrites() || countingDisks <= 2*m.toleratedLosses+1 {
		return
	}
	d.State = zinniapond.DiskLeaving
	m.fleet.change(d)
}

// host draws a host.
func (m *model) host() *fakeDisk {
	return m.fleet.hosts[rapid.SampledFrom(m.addresses()).Draw(m.t, "host")]
}

// addresses returns the addresses of the hosts in a fixed order, so that a seed
// reproduces a run.
func (m *model) addresses() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m.fleet.hosts), netip.AddrPort.Compare)
}

// runLeaderRound lets disks report, join and change their state as the control
// leader decides. The clock advances by the failure detection timeout, so a disk
// that is down counts as unreachable.
func (m *model) runLeaderRound() {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m.now = m.now.Add(m.settings().DetectionTimeout())
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
		m.reports[d.ID] = zinniapond.DiskReport{ReceivedAt: m.now, Reply: zinniapond.DiskStatusReply{
			Disk: d.ID, AppliedIndex: f.view.Index, VerifiedDisksIndex: m.walked[d.ID],
		}}
	}
	decision := states.Transitions{View: &f.view, Tolerance: m.settings(), RecordLifetime: time.Hour, Reports: m.reports}
	for _, c := range decision.Changes(m.now) {
		f.advanceView()
		if c.Remove {
			delete(f.view.Disks, c.Disk.ID)
			if c.ExpectedState == zinniapond.DiskLeaving {
				delete(f.hosts, c.Disk.Address) // the host is removed with its disk
			}
			continue
		}
		f.storeDisk(c.Disk)
	}
}

// walk lets one disk restore missing copies of its records on other disks.
func (m *model) walk() {
	f := m.fleet
	// Requests to slower disks continue after an operation has returned.
	f.mu.Lock()
	defer f.mu.Unlock()
	h := m.host()
	if self, member := f.view.Disks[h.id]; !member || self.State == zinniapond.DiskLost || h.down {
		return
	}
	if f.walk(h, m.settings()) {
		m.walked[h.id] = f.view.DisksIndex
	}
}

// change stores a disk with its new state in a new view.
func (f *fleet) change(d zinniapond.Disk) {
	f.advanceView()
	f.storeDisk(d)
}

// storeDisk stores a disk in the current view.
func (f *fleet) storeDisk(d zinniapond.Disk) {
	d.StateSince, d.CountsSince = f.view.DisksIndex, f.view.Disks[d.ID].CountsSince
	if d.CountsForWrites() && d.CountsSince == 0 {
		d.CountsSince = d.StateSince
	}
	f.view.Disks[d.ID] = d
}

// advanceView begins a new view. It clones the map of disks, as readers share the
// one of the previous view.
func (f *fleet) advanceView() {
	f.view.Disks = maps.Clone(f.view.Disks)
	f.view.Index++
	f.view.DisksIndex = f.view.Index
}

// walk copies the records of one disk to other disks where too few disks have them.
// It returns false if a disk whose copies count does not answer, or if there are
// too few disks for the copies of a turn.
func (f *fleet) walk(from *fakeDisk, tolerance zinniapond.KeeperSettings) bool {
	set := quorum.New(&f.view, tolerance)
	hostByDisk := make(map[zinniapond.DiskID]*fakeDisk)
	for _, d := range set.Disks {
		h := f.hosts[d.Address]
		if d.CountsForWrites() && (h == nil || h.down || h.id != d.ID) {
			return false
		}
		hostByDisk[d.ID] = h
	}
	enoughDisks := true
	for id, t := range from.turns {
		lack, enough := set.MissingCopies(set.PreferenceOrder(id, t.Origin), func(d zinniapond.DiskID) bool {
			_, ok := hostByDisk[d].turns[id]
			return ok
		})
		for _, d := range lack {
			hostByDisk[d.ID].turns[id] = t
		}
		enoughDisks = enoughDisks && enough
	}
	for program, spends := range from.spends {
		for turn, s := range spends {
			f.copySpend(set, hostByDisk, program, turn, s)
		}
	}
	return enoughDisks
}

// copySpend copies a spend to all disks if too few disks have it.
func (f *fleet) copySpend(set quorum.Set, hostByDisk map[zinniapond.DiskID]*fakeDisk, program zinniapond.ProgramID, turn zinniapond.AttemptID, s zinniapond.Spend) {
	var holders []zinniapond.Disk
	for _, d := range set.Disks {
		if _, ok := hostByDisk[d.ID].spends[program][turn]; d.CountsForWrites() && ok {
			holders = append(holders, d)
		}
	}
	if set.IsWriteQuorum(holders) {
		return
	}
	for _, d := range set.Disks {
		if d.CountsForWrites() {
			hostByDisk[d.ID].keep(0, zinniapond.KeepRequest{Spends: []zinniapond.Spend{s}}, new(zinniapond.KeepReply))
		}
	}
}

// TestOracle guards against an acknowledged turn that is lost or reported as not
// found, and against grants over the budget, under any sequence of host stops,
// restarts, wiped disks, retired disks and new disks. Disks restore missing copies
// one at a time, in any order.
func TestOracle(t *testing.T) {
	for _, tolerated := range []int{1, 2} {
		t.Run(fmt.Sprint(tolerated, " disks may be lost"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				ids := []zinniapond.DiskID{"a", "b", "c", "d", "e", "f"}[:2*tolerated+2]
				m := &model{
					t: t, fleet: newFleet(ids...), toleratedLosses: tolerated, now: now,
					reports: make(map[zinniapond.DiskID]zinniapond.DiskReport),
					walked:  make(map[zinniapond.DiskID]zinniapond.Index), wipedMembers: make(map[zinniapond.DiskID]bool),
				}
				t.Repeat(map[string]func(*rapid.T){
					"keep":    func(*rapid.T) { m.keep() },
					"read":    func(*rapid.T) { m.read() },
					"readAll": func(*rapid.T) { m.readAll() },
					"reserve": func(*rapid.T) { m.reserve() },
					"settle":  func(*rapid.T) { m.settle() },
					"stop":    func(*rapid.T) { m.stop() },
					"start":   func(*rapid.T) { m.start() },
					"reach":   func(*rapid.T) { m.redrawReachable() },
					"flip":    func(*rapid.T) { m.invertReachable() },
					"wipe":    func(*rapid.T) { m.wipe() },
					"retire":  func(*rapid.T) { m.retire() },
					"grow":    func(*rapid.T) { m.addHost() },
					"tend":    func(*rapid.T) { m.runLeaderRound() },
					"tend2":   func(*rapid.T) { m.runLeaderRound() },
					"walk":    func(*rapid.T) { m.walk() },
					"walk2":   func(*rapid.T) { m.walk() },
				})
			})
		})
	}
}
