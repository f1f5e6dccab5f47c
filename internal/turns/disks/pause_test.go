package disks

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var errNoAnswer = errors.New("no answer")

// site is a control leader with full disks, on a clock that the test advances.
type site struct {
	*Manager
	view        zinniapond.ControlView
	confirmedAt time.Time

	mu       sync.Mutex
	clock    time.Time
	silent   map[netip.AddrPort]bool
	onCall   func() // called before each poll of a disk; may be nil
	proposed []zinniapond.DiskChange
}

func (s *site) View() *zinniapond.ControlView { return &s.view }
func (s *site) Catalog() *zinniapond.Catalog  { return nil }
func (s *site) LeaseValid(time.Time) bool     { return true }
func (s *site) ConfirmedAt() time.Time        { return s.confirmedAt }
func (s *site) Changed() <-chan struct{}      { return nil }

func (s *site) Call(_ context.Context, to netip.AddrPort, _ string, _, reply any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onCall != nil {
		s.onCall()
	}
	if s.silent[to] {
		return errNoAnswer
	}
	*reply.(*zinniapond.DiskStatusReply) = zinniapond.DiskStatusReply{Disk: zinniapond.DiskID(to.Addr().String())}
	return nil
}

func (s *site) Propose(_ context.Context, _ time.Time, c zinniapond.Command) (zinniapond.CommandResult, error) {
	s.proposed = append(s.proposed, *c.Disk)
	return zinniapond.CommandResult{Accepted: true}, nil
}

func (s *site) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock
}

func (s *site) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = s.clock.Add(d)
}

// round runs a round of a leader whose state was confirmed just before.
func (s *site) round() {
	s.confirmedAt = s.now()
	s.runRound(context.Background())
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

// newSite returns a site with four full disks that have been polled.
func newSite() *site {
	s := &site{clock: time.Unix(1000, 0), silent: map[netip.AddrPort]bool{}}
	s.view = zinniapond.ControlView{Index: 9, DisksIndex: 9, Leader: "leader", Disks: map[zinniapond.DiskID]zinniapond.Disk{}}
	for n := byte(1); n <= 4; n++ {
		id := zinniapond.DiskID(address(n).Addr().String())
		s.view.Disks[id] = zinniapond.Disk{ID: id, Address: address(n), State: zinniapond.DiskFull, StateSince: 5, CountsSince: 5}
	}
	s.Manager = &Manager{
		Settings: &zinniapond.Settings{
			Host: "leader", Control: zinniapond.ControlSettings{LeaseDuration: 2500 * time.Millisecond},
			Keeper: zinniapond.KeeperSettings{MaxLostMachines: 1, CatchUpTime: 5 * time.Second},
		},
		Peers: s, Directory: s, Control: s, Logger: hclog.NewNullLogger(), Clock: s.now,
	}
	s.round()
	return s
}

// assertLost fails unless the disks of the given hosts were proposed as lost.
func assertLost(t *testing.T, s *site, hosts ...byte) {
	t.Helper()
	var lost []netip.AddrPort
	for _, c := range s.proposed {
		assert.Equal(t, c.Disk.State, zinniapond.DiskLost)
		lost = append(lost, c.Disk.Address)
	}
	var want []netip.AddrPort
	for _, n := range hosts {
		want = append(want, address(n))
	}
	assert.Equal(t, lost, want)
}

const pause = 10 * time.Second

func TestPause(t *testing.T) {
	t.Run("guards against disks that count as lost because the leader was suspended while it polled them", func(t *testing.T) {
		s := newSite()
		s.advance(steadyInterval)
		s.silent = map[netip.AddrPort]bool{address(1): true, address(2): true, address(3): true, address(4): true}
		s.onCall = func() { s.clock, s.onCall = s.clock.Add(pause), nil } // the calls time out at once then
		s.round()
		assertLost(t, s)
	})
	t.Run("guards against disks that count as lost because the leader was suspended between two polls", func(t *testing.T) {
		s := newSite()
		s.silent = map[netip.AddrPort]bool{address(1): true, address(2): true, address(3): true, address(4): true}
		s.advance(pause) // the connections have broken
		s.round()
		assertLost(t, s)
	})
	t.Run("guards against changes by a process that has led before it was suspended", func(t *testing.T) {
		s := newSite()
		s.silent[address(1)] = true
		for range 20 {
			s.advance(steadyInterval)
			s.runRound(context.Background()) // its lease is not renewed
		}
		assertLost(t, s)
	})
	t.Run("guards against lost disks that are not noticed", func(t *testing.T) {
		s := newSite()
		s.silent[address(2)] = true
		timeout := s.Settings.Keeper.DetectionTimeout()
		for at := time.Duration(0); at <= timeout+steadyInterval && len(s.proposed) == 0; at += steadyInterval {
			s.advance(steadyInterval)
			s.round()
		}
		assertLost(t, s, 2)
	})
}
