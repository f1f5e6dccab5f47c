package report

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// leader is a fake of the directory and of the connection to the control leader.
type leader struct {
	name  zinniapond.HostName
	asked []netip.AddrPort
	reply zinniapond.LoadsReply
	err   error
}

func (l *leader) View() *zinniapond.ControlView { return &zinniapond.ControlView{Leader: l.name} }
func (l *leader) Catalog() *zinniapond.Catalog  { return nil }
func (l *leader) LeaseValid(time.Time) bool     { return true }
func (l *leader) ConfirmedAt() time.Time        { return time.Time{} }
func (l *leader) Changed() <-chan struct{}      { return nil }

func (l *leader) Call(_ context.Context, to netip.AddrPort, _ string, _, reply any) error {
	l.asked = append(l.asked, to)
	*reply.(*zinniapond.LoadsReply) = l.reply
	return l.err
}

func TestExchange(t *testing.T) {
	var learned []zinniapond.Load
	newLoadExchange := func(l *leader) *LoadExchange {
		learned = nil
		return &LoadExchange{
			Host: "h", Peers: l, Directory: l, Logger: hclog.NewNullLogger(), Clock: time.Now,
			LocalLoads: func() []zinniapond.Load { return nil },
			ApplySums:  func(_ time.Time, loads []zinniapond.Load) { learned = loads },
		}
	}
	sums := []zinniapond.Load{{Replica: netip.MustParseAddrPort("10.0.0.9:80"), Count: 4}}
	t.Run("guards against an interval other than the leader's", func(t *testing.T) {
		l := &leader{name: "10.0.0.1:7000", reply: zinniapond.LoadsReply{Loads: sums, ReportInterval: time.Second}}
		assert.Equal(t, newLoadExchange(l).exchange(context.Background()), time.Second)
		assert.Equal(t, learned, sums)
		assert.Equal(t, l.asked[0].String(), "10.0.0.1:7000")
	})
	t.Run("guards against taking a failed exchange for idle replicas", func(t *testing.T) {
		l := &leader{name: "10.0.0.1:7000", reply: zinniapond.LoadsReply{Loads: sums}, err: errors.New("gone")}
		assert.Equal(t, newLoadExchange(l).exchange(context.Background()), defaultInterval)
		assert.Equal(t, len(learned), 0)
	})
	t.Run("guards against calls while there is no leader", func(t *testing.T) {
		l := &leader{}
		assert.Equal(t, newLoadExchange(l).exchange(context.Background()), defaultInterval)
		assert.Equal(t, len(l.asked), 0)
	})
}
