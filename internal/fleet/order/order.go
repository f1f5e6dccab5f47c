// Package order gives engines the orders that the control log has: which model
// to hold. It works on the control leader.
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
	// every is the span between two looks at the demand.
	every = 5 * time.Second
	// askLimit bounds a question to a host, sendLimit an order to an engine.
	// The second is below the lease, so that an order of a former leader that
	// is still under way has ended when the next leader begins.
	askLimit  = time.Second
	sendLimit = 2 * time.Second
)

func init() {
	kernel.Register[zinniapond.RolePlugin]("control.orders", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	d := &Dispatcher{Settings: k.Settings, Clock: k.Clock, Logger: k.Logger.Named("orders"), Every: every}
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

// Dispatcher decides on orders by demand, puts them into the control log and
// delivers them. Its exported fields are set before Run.
type Dispatcher struct {
	Settings  *zinniapond.Settings
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Peers     zinniapond.Peers
	Roster    zinniapond.Roster
	Placer    zinniapond.Placer
	Client    zinniapond.BackendClient
	Clock     func() time.Time
	Logger    hclog.Logger
	Every     time.Duration

	leading time.Time // since when this host leads; zero if it does not
	// confirmed has the fence up to which each engine was seen to comply under
	// this leadership.
	confirmed map[netip.AddrPort]zinniapond.Index
}

// Role returns the role that the work belongs to.
func (*Dispatcher) Role() zinniapond.Role { return zinniapond.RoleControl }

// Run works until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.Every)
	defer ticker.Stop()
	for {
		changed := d.Directory.Changed()
		d.lead(d.Clock())
		d.deliver(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			if !d.leading.IsZero() {
				d.place(ctx)
			}
		}
	}
}

// lead notes when this host became leader or ceased to be.
func (d *Dispatcher) lead(now time.Time) {
	leads := d.Directory.View().Leader == d.Settings.Host && d.Directory.Fresh(now)
	switch {
	case !leads:
		d.leading = time.Time{}
	case d.leading.IsZero():
		d.leading = now
		d.confirmed = make(map[netip.AddrPort]zinniapond.Index)
	}
}

// due returns the orders that may be sent now. An engine that does not check
// fencing numbers gets none before the lease of a former leader has ended.
func due(now, leading time.Time, lease time.Duration, view *zinniapond.ControlView, servers []zinniapond.Backend, confirmed map[netip.AddrPort]zinniapond.Index) []zinniapond.Order {
	if leading.IsZero() {
		return nil
	}
	var orders []zinniapond.Order
	for _, b := range servers {
		o, ok := view.Orders[b.Address]
		if !ok || confirmed[b.Address] >= o.Fence {
			continue
		}
		if !b.Fences && now.Sub(leading) < lease {
			continue
		}
		orders = append(orders, o)
	}
	return orders
}

// deliver sends the orders that are due, and compares what each engine then
// holds with what it was told.
func (d *Dispatcher) deliver(ctx context.Context) {
	now := d.Clock()
	view := d.Directory.View()
	for _, o := range due(now, d.leading, d.Settings.Control.Lease, view, d.Roster.Backends(), d.confirmed) {
		if !d.Directory.Fresh(d.Clock()) {
			return
		}
		if err := d.send(ctx, o); err != nil {
			d.Logger.Warn("order failed, trying again", "backend", o.Backend, "model", o.Model, "fence", o.Fence, "error", err)
			continue
		}
		d.confirmed[o.Backend] = o.Fence
		d.Logger.Info("order carried out", "backend", o.Backend, "kind", o.Kind, "model", o.Model, "fence", o.Fence)
	}
}

func (d *Dispatcher) send(ctx context.Context, o zinniapond.Order) error {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	held, err := d.Client.Order(ctx, o)
	if err != nil {
		return err
	}
	if o.Kind == zinniapond.OrderLoad && held != o.Model {
		return zinniapond.Wrap("compare engine with order", o.Backend,
			fmt.Errorf("%w: it holds %q, not %q", zinniapond.ErrBackend, held, o.Model))
	}
	return nil
}

// place puts the orders that the demand asks for into the control log.
func (d *Dispatcher) place(ctx context.Context) {
	demand := d.demand(ctx)
	view := d.Directory.View()
	held := held(view, d.Roster.Backends())
	for _, o := range d.Placer.Place(d.Clock(), demand, held) {
		o.Fence = view.Orders[o.Backend].Fence // the order that this one follows
		ctx, cancel := context.WithTimeout(ctx, sendLimit)
		result, err := d.Control.Propose(ctx, d.Clock(), zinniapond.Command{Kind: zinniapond.CommandOrder, Order: &o})
		cancel()
		if err != nil || !result.Accepted {
			d.Logger.Warn("order not accepted", "backend", o.Backend, "model", o.Model, "reason", result.Reason, "error", err)
		}
	}
}

// held returns the model of each live engine: by its last order, or as listed.
func held(view *zinniapond.ControlView, servers []zinniapond.Backend) map[netip.AddrPort]zinniapond.PoolName {
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

// demand asks the active owners and adds their answers up. A host that does
// not answer counts as without demand.
func (d *Dispatcher) demand(ctx context.Context) []zinniapond.Demand {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var mu sync.Mutex
	sums := make(map[zinniapond.PoolName]*zinniapond.Demand)
	var group errgroup.Group
	for _, m := range d.Directory.View().Members {
		if m.State != zinniapond.MemberActive || !m.Has(zinniapond.RoleOwner) {
			continue
		}
		group.Go(func() error {
			var reply zinniapond.DemandReply
			q := zinniapond.DemandRequest{Sender: d.Settings.Host}
			if err := d.Peers.Call(ctx, m.Peers, "Owner.Demand", &q, &reply); err != nil {
				d.Logger.Debug("no demand known", "host", m.Name, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			add(sums, reply.Demand)
			return nil
		})
	}
	_ = group.Wait() // each call logs its error
	models := models(d.Directory.Catalog())
	var demand []zinniapond.Demand
	for _, s := range sums {
		if models[s.Model] { // the hosts count calls of plain services as well
			demand = append(demand, *s)
		}
	}
	return demand
}

// models returns the models that any plan may use.
func models(c *zinniapond.Catalog) map[zinniapond.PoolName]bool {
	all := make(map[zinniapond.PoolName]bool)
	for _, p := range c.Plans {
		for _, m := range p.Models {
			all[m] = true
		}
	}
	return all
}

func add(sums map[zinniapond.PoolName]*zinniapond.Demand, demand []zinniapond.Demand) {
	for _, x := range demand {
		s, ok := sums[x.Model]
		if !ok {
			s = &zinniapond.Demand{Model: x.Model}
			sums[x.Model] = s
		}
		s.Busy += x.Busy
		s.Waiting += x.Waiting
	}
}
