package keeper

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// hosts is a set of keepers that call each other, with one shared control view.
type hosts struct {
	t       *testing.T
	mu      sync.Mutex
	view    zinniapond.ControlView
	changed chan struct{}
	keepers map[netip.AddrPort]*Keeper
	// elapsed is added to the time of the keepers' clocks.
	elapsed atomic.Int64
	// unreachable has the hosts that no call reaches.
	unreachable map[netip.AddrPort]bool
	// renewed and renewedBytes are the ids of turns in renewals and notices that reached a
	// keeper, and the encoded bytes of these requests and their replies.
	renewed, renewedBytes atomic.Int64
	// delay is the time that each request to a keeper takes.
	delay atomic.Int64
	// inFlight are the bytes of turns in requests to keepers, and maxInFlight the most so far.
	inFlight, maxInFlight atomic.Int64
}

func (h *hosts) now() time.Time { return time.Now().Add(time.Duration(h.elapsed.Load())) }

// setReachable makes calls to a keeper succeed or fail.
func (h *hosts) setReachable(k *Keeper, reachable bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unreachable[k.Settings.PeersListenAddress] = !reachable
}

func newHosts(t *testing.T) *hosts {
	return &hosts{
		t: t, changed: make(chan struct{}), keepers: make(map[netip.AddrPort]*Keeper), unreachable: make(map[netip.AddrPort]bool),
		view: zinniapond.ControlView{Index: 1, Disks: make(map[zinniapond.DiskID]zinniapond.Disk)},
	}
}

func (h *hosts) View() *zinniapond.ControlView {
	h.mu.Lock()
	defer h.mu.Unlock()
	view := h.view
	return &view
}
func (h *hosts) Catalog() *zinniapond.Catalog { return nil }
func (h *hosts) LeaseValid(time.Time) bool    { return true }
func (h *hosts) ConfirmedAt() time.Time       { return time.Time{} }
func (h *hosts) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Propose applies a change of a disk at once. A joining disk becomes full at once,
// as there are no earlier records in this fixture that it would have to wait for.
func (h *hosts) Propose(_ context.Context, _ time.Time, c zinniapond.Command) (zinniapond.CommandResult, error) {
	d := c.Disk.Disk
	if d.State == zinniapond.DiskJoining {
		d.State = zinniapond.DiskFull
	}
	h.set(d)
	return zinniapond.CommandResult{Accepted: true}, nil
}

func (h *hosts) set(d zinniapond.Disk) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.Index++
	h.view.DisksIndex = h.view.Index
	d.StateSince = h.view.Index
	disks := map[zinniapond.DiskID]zinniapond.Disk{d.ID: d}
	for id, have := range h.view.Disks {
		if id != d.ID {
			disks[id] = have
		}
	}
	h.view.Disks = disks
	close(h.changed)
	h.changed = make(chan struct{})
}

var errGone = errors.New("host is gone")

func (h *hosts) Call(_ context.Context, to netip.AddrPort, method string, request, answer any) error {
	h.mu.Lock()
	k, unreachable := h.keepers[to], h.unreachable[to]
	h.mu.Unlock()
	if k == nil || unreachable {
		return errGone
	}
	if q, ok := request.(zinniapond.KeepRequest); ok {
		defer h.countInFlight(q)()
	}
	time.Sleep(time.Duration(h.delay.Load()))
	switch q := request.(type) {
	case zinniapond.KeepRequest:
		err := k.Keep(q, answer.(*zinniapond.KeepReply))
		if n := len(q.Renew) + len(q.Retained); n > 0 {
			h.renewed.Add(int64(n))
			for _, v := range []any{q, answer} {
				data, err := cbor.Marshal(v)
				assert.NoError(h.t, err)
				h.renewedBytes.Add(int64(len(data)))
			}
		}
		return err
	case zinniapond.FindRequest:
		return k.Find(q, answer.(*zinniapond.FindReply))
	case zinniapond.DiskStatusRequest:
		return k.Digest(q, answer.(*zinniapond.DigestReply))
	case zinniapond.MissingSpendsRequest:
		return k.Lacks(q, answer.(*zinniapond.MissingSpendsReply))
	}
	h.t.Errorf("unknown call %s", method)
	return errGone
}

// start runs a keeper on a folder until the end of the test, or until the
// returned function is called.
func (h *hosts) start(folder string, host byte) (*Keeper, func()) {
	h.t.Helper()
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
	k := &Keeper{
		Settings: &zinniapond.Settings{
			DataFolder: folder, PeersListenAddress: address, DataCentre: zinniapond.DataCentre(rune('a' + host)),
			Keeper: zinniapond.KeeperSettings{MaxLostMachines: 1},
		},
		Peers: h, Directory: h, Control: h, Logger: hclog.NewNullLogger(), Clock: h.now,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		assert.NoError(h.t, <-done)
		h.mu.Lock()
		delete(h.keepers, address)
		h.mu.Unlock()
	})
	h.t.Cleanup(stop)
	assert.Eventually(h.t, 5*time.Second, "keeper has joined", func() bool {
		return k.ready.Load() && h.View().Disks[k.log.ID()].State == zinniapond.DiskFull
	})
	h.mu.Lock()
	h.keepers[address] = k
	h.mu.Unlock()
	return k, stop
}

func (h *hosts) keep(k *Keeper, request zinniapond.KeepRequest) bool {
	h.t.Helper()
	var reply zinniapond.KeepReply
	assert.NoError(h.t, k.Keep(request, &reply))
	return reply.Kept
}

// has reports whether a keeper returns a turn with its content.
func (h *hosts) has(k *Keeper, id zinniapond.TurnID) bool {
	h.t.Helper()
	var reply zinniapond.FindReply
	assert.NoError(h.t, k.Find(zinniapond.FindRequest{IDs: []zinniapond.TurnID{id}, WithContent: true}, &reply))
	return len(reply.Turns) == 1 && string(reply.Turns[0].Input) == "in "+string(id)
}

func turn(id zinniapond.TurnID) zinniapond.Turn {
	return zinniapond.Turn{ID: id, Program: "p", Input: []byte("in " + id), Origin: "b", Retention: time.Minute}
}

func TestKeep(t *testing.T) {
	t.Run("guards against turns and spends lost over a restart", func(t *testing.T) {
		h, folder := newHosts(t), t.TempDir()
		k, stop := h.start(folder, 1)
		spend := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 5}
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn("one")}, Spends: []zinniapond.Spend{spend}}), "not kept")
		stop()
		k, _ = h.start(folder, 1)
		assert.True(t, h.has(k, "one"), "the turn is gone")
		var reply zinniapond.FindReply
		assert.NoError(t, k.Find(zinniapond.FindRequest{SpendsOf: "p"}, &reply))
		assert.Equal(t, len(reply.Spends), 1)
	})
	t.Run("guards against a write under a set of disks that has changed", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		old := h.View().DisksIndex
		h.start(t.TempDir(), 2)
		assert.True(t, !h.keep(k, zinniapond.KeepRequest{DisksIndex: old, Turns: []zinniapond.Turn{turn("one")}}), "kept under an old view")
		assert.True(t, h.keep(k, zinniapond.KeepRequest{DisksIndex: h.View().DisksIndex, Turns: []zinniapond.Turn{turn("one")}}), "not kept")
	})
	t.Run("guards against a settled turn that is reserved again by a late copy", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 50}
		settled := s
		settled.Settled, settled.Used = true, 10
		for _, spend := range []zinniapond.Spend{s, settled, s} {
			assert.True(t, h.keep(k, zinniapond.KeepRequest{Spends: []zinniapond.Spend{spend}}), "not kept")
		}
		var reply zinniapond.FindReply
		assert.NoError(t, k.Find(zinniapond.FindRequest{SpendsOf: "p"}, &reply))
		assert.Equal(t, reply.Spends[0].Cost(), zinniapond.Tokens(10))
	})
	t.Run("guards against answers to a host with an old view before the disks are known", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		h.mu.Lock()
		h.view = zinniapond.ControlView{}
		h.mu.Unlock()
		assert.ErrorIs(t, k.Keep(zinniapond.KeepRequest{DisksIndex: 5, Turns: []zinniapond.Turn{turn("one")}}, new(zinniapond.KeepReply)), errNotReady)
		assert.ErrorIs(t, k.Find(zinniapond.FindRequest{DisksIndex: 5, IDs: []zinniapond.TurnID{"one"}}, new(zinniapond.FindReply)), errNotReady)
	})
	t.Run("guards against new records on a leaving disk", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		d := h.View().Disks[k.log.ID()]
		d.State = zinniapond.DiskLeaving
		h.set(d)
		assert.True(t, !h.keep(k, zinniapond.KeepRequest{DisksIndex: h.View().DisksIndex, Turns: []zinniapond.Turn{turn("one")}}), "kept")
	})
}

func TestWalk(t *testing.T) {
	keepOne := func(t *testing.T, h *hosts, k *Keeper) {
		t.Helper()
		spend := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 5}
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn("one")}, Spends: []zinniapond.Spend{spend}}), "not kept")
	}
	reported := func(t *testing.T, h *hosts, k *Keeper) {
		t.Helper()
		assert.Eventually(t, 5*time.Second, "the walk is reported", func() bool {
			var reply zinniapond.DiskStatusReply
			assert.NoError(t, k.Report(zinniapond.DiskStatusRequest{}, &reply))
			return reply.VerifiedDisksIndex == h.View().DisksIndex
		})
	}
	t.Run("guards against records with too few copies after a disk was lost", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		keepOne(t, h, k)
		other, _ := h.start(t.TempDir(), 2)
		h.set(zinniapond.Disk{ID: "gone", State: zinniapond.DiskLost})
		assert.Eventually(t, 5*time.Second, "the records are copied", func() bool {
			return h.has(other, "one") && len(other.accountOf("p").listSpends()) == 1
		})
		reported(t, h, k)
	})
	t.Run("guards against unneeded copies to a disk that joins", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		keepOne(t, h, k)
		other, _ := h.start(t.TempDir(), 2)
		reported(t, h, k)
		assert.True(t, !h.has(other, "one"), "the record was copied")
	})
	t.Run("guards against spends that are copied though enough disks have them", func(t *testing.T) {
		h := newHosts(t)
		one, _ := h.start(t.TempDir(), 1)
		two, _ := h.start(t.TempDir(), 2)
		three, _ := h.start(t.TempDir(), 3)
		spend := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 5}
		for _, k := range []*Keeper{one, two} {
			assert.True(t, h.keep(k, zinniapond.KeepRequest{Spends: []zinniapond.Spend{spend}}), "not kept")
		}
		h.set(zinniapond.Disk{ID: "gone", State: zinniapond.DiskLost})
		reported(t, h, one)
		reported(t, h, two)
		assert.Equal(t, len(three.accountOf("p").listSpends()), 0)
	})
	t.Run("guards against reporting the copies as verified while there are too few disks for them", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		keepOne(t, h, k)
		before := k.verifiedView.Load()
		h.set(zinniapond.Disk{ID: "gone", State: zinniapond.DiskLost})
		time.Sleep(2 * replicationRetryDelay)
		assert.Equal(t, k.verifiedView.Load(), before)
	})
}

func TestSweep(t *testing.T) {
	t.Run("guards against a turn that is dropped while a later one needs it", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn("one"), turn("two")}}), "not kept")
		later := time.Now().Add(time.Minute)
		k.Clock = func() time.Time { return later }
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Renew: []zinniapond.TurnID{"one"}, Retention: time.Minute}), "not touched")
		assert.NoError(t, k.dropExpired(later.Add(30*time.Second)))
		assert.True(t, h.has(k, "one"), "the turn that is needed is gone")
		assert.True(t, !h.has(k, "two"), "the expired turn is kept")
	})
}
