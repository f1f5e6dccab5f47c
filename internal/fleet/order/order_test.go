package order

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	startTime        = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fencingEngine    = zinniapond.Backend{Address: netip.MustParseAddrPort("127.0.0.1:1"), Kind: zinniapond.KindEngine, ChecksFence: true}
	nonFencingEngine = zinniapond.Backend{Address: netip.MustParseAddrPort("127.0.0.1:2"), Kind: zinniapond.KindEngine}
)

func viewWithFence(fence zinniapond.Index) *zinniapond.ControlView {
	v := &zinniapond.ControlView{Orders: make(map[netip.AddrPort]zinniapond.Order)}
	for _, b := range []zinniapond.Backend{fencingEngine, nonFencingEngine} {
		v.Orders[b.Address] = zinniapond.Order{Backend: b.Address, Kind: zinniapond.OrderLoad, Model: "m", Fence: fence}
	}
	return v
}

func targets(orders []zinniapond.Order) []netip.AddrPort {
	var all []netip.AddrPort
	for _, o := range orders {
		all = append(all, o.Backend)
	}
	return all
}

func TestDue(t *testing.T) {
	const lease = 2 * time.Second
	servers := []zinniapond.Backend{fencingEngine, nonFencingEngine}
	assertDue := func(t *testing.T, now, leading time.Time, confirmed map[netip.AddrPort]zinniapond.Index, want ...netip.AddrPort) {
		t.Helper()
		assert.Equal(t, targets(dueOrders(now, leading, lease, viewWithFence(7), servers, confirmed)), want)
	}
	t.Run("guards against orders of a host that does not lead", func(t *testing.T) {
		assertDue(t, startTime, time.Time{}, nil)
	})
	t.Run("guards against two leaders ordering an engine that ignores fences", func(t *testing.T) {
		assertDue(t, startTime.Add(lease-1), startTime, nil, fencingEngine.Address)
		assertDue(t, startTime.Add(lease), startTime, nil, fencingEngine.Address, nonFencingEngine.Address)
	})
	t.Run("guards against repeating what an engine has carried out", func(t *testing.T) {
		done := map[netip.AddrPort]zinniapond.Index{fencingEngine.Address: 7, nonFencingEngine.Address: 6}
		assertDue(t, startTime.Add(lease), startTime, done, nonFencingEngine.Address)
	})
}

// engine is a backend client whose engine reports the same model after each order.
type engine struct {
	zinniapond.BackendClient
	model zinniapond.PoolName
	sent  int
}

func (e *engine) SendOrder(context.Context, zinniapond.Order) (zinniapond.PoolName, error) {
	e.sent++
	return e.model, nil
}

type fixedState struct {
	zinniapond.Directory
	zinniapond.Roster
	view *zinniapond.ControlView
}

func (f fixedState) View() *zinniapond.ControlView { return f.view }
func (fixedState) LeaseValid(time.Time) bool       { return true }
func (fixedState) Backends() []zinniapond.Backend  { return []zinniapond.Backend{fencingEngine} }
func (fixedState) Changed() <-chan struct{}        { return nil }

func TestDeliver(t *testing.T) {
	newDispatcher := func(e *engine) *Dispatcher {
		f := fixedState{view: viewWithFence(7)}
		f.view.Leader = "host-1"
		return &Dispatcher{
			Settings: &zinniapond.Settings{Host: "host-1"}, Directory: f, Roster: f, Client: e,
			Clock: func() time.Time { return startTime }, Logger: hclog.NewNullLogger(),
		}
	}
	t.Run("guards against trusting an engine that did not comply", func(t *testing.T) {
		e := &engine{model: "other"}
		d := newDispatcher(e)
		d.updateLeadership(startTime)
		d.deliverOrders(context.Background())
		d.deliverOrders(context.Background())
		assert.Equal(t, e.sent, 2)
	})
	t.Run("guards against endless orders to an engine that complied", func(t *testing.T) {
		e := &engine{model: "m"}
		d := newDispatcher(e)
		d.updateLeadership(startTime)
		d.deliverOrders(context.Background())
		d.deliverOrders(context.Background())
		assert.Equal(t, e.sent, 1)
	})
	t.Run("guards against trusting what an engine did under a former leader", func(t *testing.T) {
		e := &engine{model: "m"}
		d := newDispatcher(e)
		d.updateLeadership(startTime)
		d.deliverOrders(context.Background())
		d.leadingSince = time.Time{}
		d.updateLeadership(startTime)
		d.deliverOrders(context.Background())
		assert.Equal(t, e.sent, 2)
	})
}
