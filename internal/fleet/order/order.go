// Package order sends engines the orders in the control log: which model to hold.
// It works on the control leader.
package order

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// demandInterval is the time between two queries for the demand.
	demandInterval = 5 * time.Second
	// demandTimeout bounds a query to a host, orderTimeout an order to an engine.
	// The second is below the lease, so that an order of a former leader that is
	// still in flight has ended when the next leader begins.
	demandTimeout = time.Second
	orderTimeout  = 2 * time.Second
)

func init() {
	kernel.Register[zinniapond.RolePlugin]("control.orders", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	d := &Dispatcher{Settings: k.Settings, Clock: k.Clock, Logger: k.Logger.Named("orders"), DemandInterval: demandInterval}
	var err error
	if d.Directory, err = kernel.Find[zinniapond.Directory](k); err != nil {
		return nil, err
	}
	if d.Control, err = kernel.Find[zinniapond.Control](k); err != nil {
		return nil, err
	}
	if d.Peers, err = kernel.Find[zinniapond.Peers](k); err != nil {
		return nil, err
	}
	if d.Roster, err = kernel.Find[zinniapond.Roster](k); err != nil {
		return nil, err
	}
	if d.Placer, err = kernel.Find[zinniapond.Placer](k); err != nil {
		return nil, err
	}
	d.Client, err = kernel.FindNamed[zinniapond.BackendClient](k, string(zinniapond.KindEngine))
	return d, err
}

// Dispatcher decides on orders by demand, proposes them to the control log and
// delivers committed ones to the engines. Its exported fields are set before Run.
type Dispatcher struct {
	Settings       *zinniapond.Settings
	Directory      zinniapond.Directory
	Control        zinniapond.Control
	Peers          zinniapond.Peers
	Roster         zinniapond.Roster
	Placer         zinniapond.Placer
	Client         zinniapond.BackendClient
	Clock          func() time.Time
	Logger         hclog.Logger
	DemandInterval time.Duration

	leadingSince time.Time // when this host became leader; zero if it does not lead
	// confirmed has the fence of the last order that each engine has carried out
	// during this leadership.
	confirmed map[netip.AddrPort]zinniapond.Index
}

// Role returns the control role.
func (*Dispatcher) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run delivers orders at each change of the control state and proposes new ones at
// each interval, while this host leads, until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.DemandInterval)
	defer ticker.Stop()
	for {
		changed := d.Directory.Changed()
		d.updateLeadership(d.Clock())
		d.deliverOrders(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			if !d.leadingSince.IsZero() {
				d.proposeOrders(ctx)
			}
		}
	}
}

// updateLeadership records since when this host leads, or that it does not.
func (d *Dispatcher) updateLeadership(now time.Time) {
	isLeader := d.Directory.View().Leader == d.Settings.Host && d.Directory.LeaseValid(now)
	switch {
	case !isLeader:
		d.leadingSince = time.Time{}
	case d.leadingSince.IsZero():
		d.leadingSince = now
		d.confirmed = make(map[netip.AddrPort]zinniapond.Index)
	}
}

// dueOrders returns the orders that may be sent now: those that are not confirmed.
// An engine that does not check fencing numbers gets none before the lease of a
// former leader has ended.
func dueOrders(now, leadingSince time.Time, lease time.Duration, view *zinniapond.ControlView, servers []zinniapond.Backend, confirmed map[netip.AddrPort]zinniapond.Index) []zinniapond.Order {
	if leadingSince.IsZero() {
		return nil
	}
	var orders []zinniapond.Order
	for _, b := range servers {
		o, ok := view.Orders[b.Address]
		if !ok || confirmed[b.Address] >= o.Fence {
			continue
		}
		if !b.ChecksFence && now.Sub(leadingSince) < lease {
			continue
		}
		orders = append(orders, o)
	}
	return orders
}

// deliverOrders sends the orders that are due, and compares the model that each
// engine then reports with the order.
func (d *Dispatcher) deliverOrders(ctx context.Context) {
	now := d.Clock()
	view := d.Directory.View()
	for _, o := range dueOrders(now, d.leadingSince, d.Settings.Control.LeaseDuration, view, d.Roster.Backends(), d.confirmed) {
		if !d.Directory.LeaseValid(d.Clock()) {
			return
		}
		if err := d.sendOrder(ctx, o); err != nil {
			d.Logger.Warn("order failed; retrying", "backend", o.Backend, "model", o.Model, "fence", o.Fence, "error", err)
			continue
		}
		d.confirmed[o.Backend] = o.Fence
		d.Logger.Info("order carried out", "backend", o.Backend, "kind", o.Kind, "model", o.Model, "fence", o.Fence)
	}
}

func (d *Dispatcher) sendOrder(ctx context.Context, o zinniapond.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	held, err := d.Client.SendOrder(ctx, o)
	if err != nil {
		return err
	}
	if o.Kind == zinniapond.OrderLoad && held != o.Model {
		return zinniapond.Wrap("compare engine with order", o.Backend,
			fmt.Errorf("%w: it holds %q, not %q", zinniapond.ErrBackendFailed, held, o.Model))
	}
	return nil
}

// proposeOrders proposes the orders that the demand calls for to the control log.
func (d *Dispatcher) proposeOrders(ctx context.Context) {
	demand := d.collectDemand(ctx)
	view := d.Directory.View()
	held := modelsByEngine(view, d.Roster.Backends())
	for _, o := range d.Placer.Place(d.Clock(), demand, held) {
		o.Fence = view.Orders[o.Backend].Fence // of the order that this one replaces
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		result, err := d.Control.Propose(ctx, d.Clock(), zinniapond.Command{Kind: zinniapond.CommandOrder, Order: &o})
		cancel()
		if err != nil || !result.Accepted {
			d.Logger.Warn("order not accepted", "backend", o.Backend, "model", o.Model, "reason", result.Reason, "error", err)
		}
	}
}

// modelsByEngine returns the model of each live engine: of its last load order, or
// as the roster lists it.
func modelsByEngine(view *zinniapond.ControlView, servers []zinniapond.Backend) map[netip.AddrPort]zinniapond.PoolName {
	models := make(map[netip.AddrPort]zinniapond.PoolName)
	for _, b := range servers {
		if b.Kind != zinniapond.KindEngine || b.State != zinniapond.BackendLive {
			continue
		}
		models[b.Address] = b.Pool
		if o, ok := view.Orders[b.Address]; ok && o.Kind == zinniapond.OrderLoad {
			models[b.Address] = o.Model
		}
	}
	return models
}

// collectDemand queries the active owners and adds up their answers. A host that
// does not answer counts as without demand.
func (d *Dispatcher) collectDemand(ctx context.Context) []zinniapond.Demand {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var mu sync.Mutex
	sums := make(map[zinniapond.PoolName]*zinniapond.Demand)
	var group errgroup.Group
	for _, m := range d.Directory.View().Members {
		if m.State != zinniapond.MemberActive || !m.HasRole(zinniapond.RoleOwner) {
			continue
		}
		group.Go(func() error {
			var reply zinniapond.DemandReply
			q := zinniapond.DemandRequest{Sender: d.Settings.Host}
			if err := d.Peers.Call(ctx, m.PeersAddress, "Owner.Demand", &q, &reply); err != nil {
				d.Logger.Debug("host does not report its demand", "host", m.Name, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			addDemand(sums, reply.Demand)
			return nil
		})
	}
	_ = group.Wait() // each call logs its error
	models := planModels(d.Directory.Catalog())
	var demand []zinniapond.Demand
	for _, s := range sums {
		if models[s.Model] { // the hosts report calls of plain services as well
			demand = append(demand, *s)
		}
	}
	return demand
}

// planModels returns the set of models that any plan may use.
func planModels(c *zinniapond.Catalog) map[zinniapond.PoolName]bool {
	all := make(map[zinniapond.PoolName]bool)
	for _, p := range c.Plans {
		for _, m := range p.Models {
			all[m] = true
		}
	}
	return all
}

func addDemand(sums map[zinniapond.PoolName]*zinniapond.Demand, demand []zinniapond.Demand) {
	for _, x := range demand {
		s, ok := sums[x.Model]
		if !ok {
			s = &zinniapond.Demand{Model: x.Model}
			sums[x.Model] = s
		}
		s.BusyReplicas += x.BusyReplicas
		s.WaitingCalls += x.WaitingCalls
	}
}
