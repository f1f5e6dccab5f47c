package client

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// model is the oracle beside a fleet of disks: what was acknowledged, and what
// was handed out.
type model struct {
	t     *rapid.T
	fleet *fleet
	turns []zinniapond.TurnID
	spent zinniapond.Tokens // granted, less what was settled for less
	count int
	open  []zinniapond.Spend
}

const (
	fuzzDisks  = 4
	fuzzBudget = 1000
)

func (m *model) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 50*time.Millisecond)
}

// client is one of many hosts: none has anything in memory.
func (m *model) client() *Client { return m.fleet.client(1) }

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

func (m *model) reserve() {
	ctx, cancel := m.context()
	defer cancel()
	amount := zinniapond.Tokens(rapid.IntRange(1, 400).Draw(m.t, "amount"))
	s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(m.name()), Reserved: amount}
	if m.client().Reserve(ctx, now, s, fuzzBudget) != nil {
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

// lose takes one disk down or wipes it, if all others are full and up: more is
// not to be borne.
func (m *model) lose() {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, d := range m.fleet.view.Disks {
		if d.State != zinniapond.DiskFull || m.fleet.hosts[d.Address].down || m.fleet.hosts[d.Address].id != d.ID {
			return
		}
	}
	ids := sorted(m.fleet.view.Disks)
	id := rapid.SampledFrom(ids).Draw(m.t, "disk")
	if rapid.Bool().Draw(m.t, "wiped") {
		m.fleet.hosts[m.fleet.view.Disks[id].Address] = newDisk(zinniapond.DiskID(m.name()))
	} else {
		m.fleet.at(id).down = true
	}
}

func sorted(disks map[zinniapond.DiskID]zinniapond.Disk) []zinniapond.DiskID {
	var ids []zinniapond.DiskID
	for id := range disks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// tend does one step of the repair, in the order that the tender keeps.
func (m *model) tend() {
	f := m.fleet
	// Requests to slower disks go on after an operation has returned.
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range sorted(f.view.Disks) {
		d := f.view.Disks[id]
		host := f.hosts[d.Address]
		switch {
		case host.id != id && d.State != zinniapond.DiskLost:
			d.State = zinniapond.DiskLost
		case host.id != id:
			if _, joined := f.view.Disks[host.id]; !joined {
				f.change(zinniapond.Disk{ID: host.id, Address: d.Address, DataCentre: d.DataCentre, State: zinniapond.DiskFilling})
				return
			}
			f.walk()
			f.step()
			delete(f.view.Disks, id)
			return
		case host.down:
			host.down = false
			return
		case d.State == zinniapond.DiskFilling:
			f.walk()
			d.State = zinniapond.DiskFull
		default:
			continue
		}
		f.change(d)
		return
	}
}

// change puts a disk into a new state.
func (f *fleet) change(d zinniapond.Disk) {
	f.step()
	d.Since = f.view.DisksIndex
	f.view.Disks[d.ID] = d
}

// step begins a new view. Readers share the disks of the one before.
func (f *fleet) step() {
	f.view.Disks = maps.Clone(f.view.Disks)
	f.view.Index++
	f.view.DisksIndex = f.view.Index
}

// walk gives the records of all disks to those that should have them.
func (f *fleet) walk() {
	set := ranks.New(&f.view, zinniapond.KeeperSettings{Machines: 1})
	for _, from := range f.hosts {
		for id, t := range from.turns {
			for _, d := range set.Copies(set.Order(id, t.Origin)) {
				if to := f.hosts[d.Address]; to.id == d.ID {
					to.turns[id] = t
				}
			}
		}
		for _, spends := range from.spends {
			for _, to := range f.hosts {
				for _, s := range spends {
					to.keep(0, zinniapond.KeepRequest{Spends: []zinniapond.Spend{s}}, new(zinniapond.KeepReply))
				}
			}
		}
	}
}

// TestOracle guards against an acknowledged turn that is said not to exist, and
// against a budget that is passed, under any series of losses and repairs that
// stays within the tolerance.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []zinniapond.DiskID{"a", "b", "c", "d"}[:fuzzDisks]
		m := &model{t: t, fleet: newFleet(ids...)}
		t.Repeat(map[string]func(*rapid.T){
			"keep":    func(*rapid.T) { m.keep() },
			"read":    func(*rapid.T) { m.read() },
			"reserve": func(*rapid.T) { m.reserve() },
			"settle":  func(*rapid.T) { m.settle() },
			"lose":    func(*rapid.T) { m.lose() },
			"tend":    func(*rapid.T) { m.tend() },
		})
	})
}
