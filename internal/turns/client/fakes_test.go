package client

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
)

// fleet is a set of in-memory disks. It implements the network and the directory of
// the client.
type fleet struct {
	mu           sync.Mutex
	view         zinniapond.ControlView
	hosts        map[netip.AddrPort]*fakeDisk
	hostCount    int // number of hosts ever added
	requestCount int // number of requests received
}

// fakeDisk is the current disk of one host.
type fakeDisk struct {
	id     zinniapond.DiskID
	zone   zinniapond.DataCentre
	down   bool
	turns  map[zinniapond.TurnID]zinniapond.Turn
	spends map[zinniapond.ProgramID]map[zinniapond.AttemptID]zinniapond.Spend
}

func newDisk(id zinniapond.DiskID) *fakeDisk {
	return &fakeDisk{
		id: id, turns: make(map[zinniapond.TurnID]zinniapond.Turn),
		spends: make(map[zinniapond.ProgramID]map[zinniapond.AttemptID]zinniapond.Spend),
	}
}

var errDown = errors.New("host is down")

func newFleet(disks ...zinniapond.DiskID) *fleet {
	f := &fleet{hosts: make(map[netip.AddrPort]*fakeDisk)}
	f.view = zinniapond.ControlView{Index: 1, DisksIndex: 1, Disks: make(map[zinniapond.DiskID]zinniapond.Disk)}
	for _, id := range disks {
		a := f.add(id)
		f.view.Disks[id] = zinniapond.Disk{
			ID: id, Address: a, DataCentre: f.hosts[a].zone, State: zinniapond.DiskFull, CountsSince: 1, StateSince: 1,
		}
	}
	return f
}

// add adds a host with an empty disk that is not in the set of disks.
func (f *fleet) add(id zinniapond.DiskID) netip.AddrPort {
	f.hostCount++
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(f.hostCount >> 8), byte(f.hostCount)}), 7000)
	d := newDisk(id)
	d.zone = zinniapond.DataCentre("dc-" + id)
	f.hosts[a] = d
	return a
}

func (f *fleet) client(tolerated int) *Client {
	return &Client{
		Settings: zinniapond.KeeperSettings{MaxLostMachines: tolerated}, DataCentre: "dc-a", Peers: f, Directory: f,
		Logger: hclog.NewNullLogger(),
	}
}

// at returns the current disk of the host whose first disk has the given id.
func (f *fleet) at(id zinniapond.DiskID) *fakeDisk { return f.hosts[f.view.Disks[id].Address] }

// calls returns the number of requests that the disks have received.
func (f *fleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requestCount
}

// stop takes hosts down. Requests of earlier operations may still be running.
func (f *fleet) stop(ids ...zinniapond.DiskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.at(id).down = true
	}
}

// wipe gives a host an empty disk with another id.
func (f *fleet) wipe(id zinniapond.DiskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[f.view.Disks[id].Address] = newDisk(id + "-new")
}

func (f *fleet) View() *zinniapond.ControlView {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.view
	return &view
}
func (f *fleet) Catalog() *zinniapond.Catalog { return nil }
func (f *fleet) LeaseValid(time.Time) bool    { return true }
func (f *fleet) ConfirmedAt() time.Time       { return time.Time{} }
func (f *fleet) Changed() <-chan struct{}     { return nil }

// Call implements zinniapond.Peers.
func (f *fleet) Call(ctx context.Context, peer netip.AddrPort, _ string, request, answer any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestCount++
	d := f.hosts[peer]
	if d == nil || d.down || ctx.Err() != nil {
		return errDown
	}
	switch q := request.(type) {
	case zinniapond.KeepRequest:
		d.keep(f.view.DisksIndex, q, answer.(*zinniapond.KeepReply))
	case zinniapond.FindRequest:
		d.find(f.view.DisksIndex, q, answer.(*zinniapond.FindReply))
	}
	return nil
}

func (d *fakeDisk) keep(index zinniapond.Index, q zinniapond.KeepRequest, a *zinniapond.KeepReply) {
	a.Disk, a.DisksIndex = d.id, index
	if q.DisksIndex > 0 && q.DisksIndex < index {
		return
	}
	a.Kept = true
	for _, t := range q.Turns {
		d.turns[t.ID] = t
	}
	for _, s := range q.Spends {
		if d.spends[s.Program] == nil {
			d.spends[s.Program] = make(map[zinniapond.AttemptID]zinniapond.Spend)
		}
		if known, ok := d.spends[s.Program][s.Turn]; !ok || s.Supersedes(known) {
			d.spends[s.Program][s.Turn] = s
		}
	}
	for _, s := range d.spends[q.SpendsOf] {
		a.Spends = append(a.Spends, s)
	}
}

func (d *fakeDisk) find(index zinniapond.Index, q zinniapond.FindRequest, a *zinniapond.FindReply) {
	a.Disk, a.DisksIndex = d.id, index
	for _, id := range q.IDs {
		t, ok := d.turns[id]
		switch {
		case ok && q.WithContent:
			a.Turns = append(a.Turns, t)
		case ok:
			a.Found = append(a.Found, zinniapond.TurnLink{ID: id, Chain: t.Chain})
		}
	}
	for _, s := range d.spends[q.SpendsOf] {
		a.Spends = append(a.Spends, s)
	}
}
