// Package vars exports the state of a host that operators read at GET /debug/vars.
package vars

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// Name is the name under which the overview is exported.
const Name = "overview"

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (*Overview, error) {
		o := &Overview{Host: k.Settings.Host, KeyLease: k.Settings.Access.KeyLease(), Clock: k.Now}
		if err := kernel.FindInto(k, &o.Directory); err != nil {
			return nil, err
		}
		o.Publish()
		return o, nil
	})
}

// Overview collects the parts of a host's overview from its sources. Its exported fields
// are set before use.
type Overview struct {
	Host      zinniapond.HostName
	KeyLease  time.Duration
	Directory zinniapond.Directory
	Clock     func() time.Time

	mu      sync.Mutex
	sources []zinniapond.OverviewSource
}

// Add adds a source.
func (o *Overview) Add(source zinniapond.OverviewSource) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sources = append(o.sources, source)
}

// State returns the overview of this host.
func (o *Overview) State(now time.Time) zinniapond.HostOverview {
	o.mu.Lock()
	sources := o.sources[:len(o.sources):len(o.sources)]
	o.mu.Unlock()
	state := zinniapond.HostOverview{
		Host: o.Host, At: now, Configuration: o.configuration(now),
		Limits: zinniapond.LimitOverview{AtLimit: []zinniapond.PlanName{}},
		Queues: []zinniapond.QueueOverview{}, RampUps: []zinniapond.RampUp{},
	}
	for _, s := range sources {
		s.AddOverview(now, &state)
	}
	return state
}

func (o *Overview) configuration(now time.Time) zinniapond.ConfigurationOverview {
	c := zinniapond.ConfigurationOverview{ConfirmedAge: -1, KeyLease: zinniapond.Milliseconds(o.KeyLease)}
	confirmedAt := o.Directory.ConfirmedAt()
	age := now.Sub(confirmedAt)
	if !confirmedAt.IsZero() {
		c.ConfirmedAge = zinniapond.Milliseconds(max(age, 0))
	}
	c.KeyLeaseValid = o.KeyLease == 0 || age < o.KeyLease
	if routing := o.Directory.View().Routing; routing != nil {
		c.Version, c.Plans = routing.Version, len(routing.Plans)
	}
	return c
}

// String returns the overview as JSON and makes Overview an expvar.Var.
func (o *Overview) String() string {
	text, err := json.Marshal(o.State(o.Clock()))
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Publish exports the overview at /debug/vars. It does nothing if another host of the
// process has done so: expvar has one name space for each process.
func (o *Overview) Publish() {
	if expvar.Get(Name) == nil {
		expvar.Publish(Name, o)
	}
}
