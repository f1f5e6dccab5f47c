package listed

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// site is a host with the platform's list and the control state that a test sets.
type site struct {
	*Roster
	view        zinniapond.ControlView
	confirmedAt time.Time
	platform    []zinniapond.Backend
	reads       int
	proposed    []zinniapond.Command
}

func (s *site) View() *zinniapond.ControlView { return &s.view }
func (s *site) Catalog() *zinniapond.Catalog  { return nil }
func (s *site) LeaseValid(time.Time) bool     { return true }
func (s *site) ConfirmedAt() time.Time        { return s.confirmedAt }
func (s *site) Changed() <-chan struct{}      { return nil }

func (s *site) List(context.Context) ([]zinniapond.Backend, error) {
	s.reads++
	return s.platform, nil
}

func (s *site) Propose(_ context.Context, _ time.Time, c zinniapond.Command) (zinniapond.CommandResult, error) {
	s.proposed = append(s.proposed, c)
	return zinniapond.CommandResult{Accepted: true}, nil
}

func newSite(roles ...zinniapond.Role) *site {
	s := &site{confirmedAt: start, platform: []zinniapond.Backend{replica}}
	s.view = zinniapond.ControlView{Leader: "host", BackendsIndex: 7}
	s.Roster = &Roster{
		Settings: &zinniapond.Settings{
			Host: "host", Roles: roles, Control: zinniapond.ControlSettings{LeaseDuration: 2500 * time.Millisecond},
			Platform: zinniapond.PlatformSettings{RefreshInterval: time.Second},
		},
		Lister: s, Directory: s, Control: s, Logger: hclog.NewNullLogger(), Clock: func() time.Time { return start },
	}
	s.initState()
	return s
}

func assertProposed(t *testing.T, s *site, count int) {
	t.Helper()
	s.readIfResponsible(t.Context())
	assert.Equal(t, len(s.proposed), count)
}

// replacedBy returns the index of the list that a command replaces.
func replacedBy(c zinniapond.Command) zinniapond.Index {
	if c.BackendsEdit != nil {
		return c.BackendsEdit.Base
	}
	return c.BackendsIndex
}

func TestLeader(t *testing.T) {
	t.Run("guards against a list that replaces one that its reader did not know", func(t *testing.T) {
		s := newSite(zinniapond.RoleControl)
		assertProposed(t, s, 1)
		assert.Equal(t, replacedBy(s.proposed[0]), zinniapond.Index(7))
	})
	t.Run("guards against a reader that has led before it was suspended", func(t *testing.T) {
		s := newSite(zinniapond.RoleControl)
		s.confirmedAt = start.Add(-3 * time.Second)
		assertProposed(t, s, 0)
		assert.Equal(t, s.reads, 0)
	})
}

func TestDirectReads(t *testing.T) {
	t.Run("guards against a list that was read directly and stays once the control state is confirmed again", func(t *testing.T) {
		s := newSite()
		other := replica
		other.ID, other.Address = "i-2", netip.MustParseAddrPort("10.0.0.2:80")
		s.view.Backends = []zinniapond.Backend{replica}
		s.platform, s.confirmedAt = []zinniapond.Backend{other}, start.Add(-time.Minute)
		s.readIfResponsible(t.Context())
		assert.Equal(t, s.Backends()[0].ID, "i-2")
		s.confirmedAt = start
		s.readIfResponsible(t.Context())
		assert.Equal(t, s.Backends()[0].ID, "i-1")
	})
	t.Run("guards against losing the list while the control log has none", func(t *testing.T) {
		s := newSite()
		s.view.BackendsIndex, s.confirmedAt = 0, start.Add(-time.Minute)
		s.readIfResponsible(t.Context())
		s.confirmedAt = start
		s.readIfResponsible(t.Context())
		assert.Equal(t, len(s.Backends()), 1)
	})
}
