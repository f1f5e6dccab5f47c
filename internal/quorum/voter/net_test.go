package voter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/quorum/watch"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var errCut = errors.New("connection refused")

// fabric carries calls between the hosts of one test.
type fabric struct {
	mu     sync.Mutex
	voters map[netip.AddrPort]*Voter
	cut    map[zinniapond.HostName]bool
	moves  chan zinniapond.HandoverRequest
	calls  map[string]int
	bytes  map[string]int
}

// port is one host's side of the fabric.
type port struct {
	fabric *fabric
	host   zinniapond.HostName
}

func copied(from, to any) (int, error) {
	data, err := cbor.Marshal(from)
	if err != nil {
		return 0, err
	}
	return len(data), cbor.Unmarshal(data, to)
}

func (p port) Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error {
	done := make(chan error, 1)
	go func() { done <- p.call(peer, method, request, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p port) call(peer netip.AddrPort, method string, request, reply any) error {
	p.fabric.mu.Lock()
	v := p.fabric.voters[peer]
	blocked := p.fabric.cut[p.host]
	if v != nil && p.fabric.cut[v.Settings.Host] {
		blocked = true
	}
	p.fabric.calls[method]++
	p.fabric.mu.Unlock()
	if method == "Owner.Handover" {
		p.fabric.moves <- request.(zinniapond.HandoverRequest)
		return nil
	}
	if v == nil || blocked {
		return errCut
	}
	size, err := p.deliver(v, method, request, reply)
	p.fabric.mu.Lock()
	p.fabric.bytes[method] += size
	p.fabric.mu.Unlock()
	return err
}

// deliver passes copies, as a connection would.
func (p port) deliver(v *Voter, method string, request, reply any) (int, error) {
	var answer any
	var err error
	var asked int
	switch method {
	case "Control.Fetch":
		var q zinniapond.FetchRequest
		if asked, err = copied(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.FetchReply)
		answer, err = a, v.Fetch(q, a)
	case "Control.Vote":
		var q zinniapond.VoteRequest
		if asked, err = copied(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.VoteReply)
		answer, err = a, v.Vote(q, a)
	case "Control.Propose":
		var q zinniapond.ProposeRequest
		if asked, err = copied(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.ProposeReply)
		answer, err = a, v.Propose(q, a)
	default:
		return 0, fmt.Errorf("no method %s", method)
	}
	if err != nil {
		return 0, err
	}
	p.fabric.mu.Lock()
	blocked := p.fabric.cut[p.host] || p.fabric.cut[v.Settings.Host]
	p.fabric.mu.Unlock()
	if blocked {
		return 0, errCut
	}
	answered, err := copied(answer, reply)
	return asked + answered, err
}

// cluster is a set of hosts in one process.
type cluster struct {
	t        testing.TB
	fabric   *fabric
	settings zinniapond.Settings
	hosts    map[zinniapond.HostName]*host
}

type host struct {
	voter   *Voter // nil on a host without the control role
	watcher *watch.Watcher
	data    string
	leave   func() // stops the watcher
	crash   func() // stops the voter, if any
}

func newCluster(t testing.TB, voters int) *cluster {
	c := &cluster{t: t, hosts: make(map[zinniapond.HostName]*host), fabric: &fabric{
		voters: make(map[netip.AddrPort]*Voter), cut: make(map[zinniapond.HostName]bool),
		moves: make(chan zinniapond.HandoverRequest, 1024), calls: make(map[string]int), bytes: make(map[string]int),
	}}
	c.settings = zinniapond.Settings{
		Cluster: "test", DataCentre: "one",
		Roles: []zinniapond.Role{zinniapond.RoleOwner, zinniapond.RoleStore},
		Control: zinniapond.ControlSettings{
			Bootstrap: true, Shards: 8, Replicas: 3, Snapshot: 512,
			Lease: 2500 * time.Millisecond, Session: 4 * time.Second,
			Fetch: 600 * time.Millisecond, Election: 300 * time.Millisecond,
		},
	}
	for n := range voters {
		c.settings.Control.Voters = append(c.settings.Control.Voters, zinniapond.Voter{
			Name: zinniapond.HostName(fmt.Sprintf("v%d", n)), Peers: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+n)),
		})
	}
	for _, v := range c.settings.Control.Voters {
		c.add(v.Name, t.TempDir())
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.leave()
		}
		for _, h := range c.hosts {
			h.crash()
		}
	})
	return c
}

// add starts a host; with a data folder it is a voter too.
func (c *cluster) add(name zinniapond.HostName, data string) *host {
	s := c.settings
	s.Host, s.Data = name, data
	logger := hclog.NewNullLogger()
	if testing.Verbose() {
		logger = hclog.New(&hclog.LoggerOptions{Name: string(name), Level: hclog.Info})
	}
	p := port{fabric: c.fabric, host: name}
	h := &host{data: data, watcher: &watch.Watcher{Settings: &s, Peers: p, Clock: time.Now, Logger: logger}}
	c.hosts[name] = h
	h.leave, h.crash = run(c.t, h.watcher.Run), func() {}
	if data != "" {
		c.vote(name, data)
	}
	return h
}

// vote starts the voter of a host.
func (c *cluster) vote(name zinniapond.HostName, data string) {
	h := c.hosts[name]
	s := c.settings
	s.Host, s.Data = name, data
	for _, v := range s.Control.Voters {
		if v.Name == name {
			s.Peers = v.Peers
		}
	}
	h.data = data
	h.voter = &Voter{Settings: &s, Peers: port{fabric: c.fabric, host: name}, Clock: time.Now, Logger: h.watcher.Logger}
	c.fabric.mu.Lock()
	c.fabric.voters[s.Peers] = h.voter
	c.fabric.mu.Unlock()
	stop := run(c.t, h.voter.Run)
	h.crash = func() {
		c.fabric.mu.Lock()
		delete(c.fabric.voters, s.Peers)
		c.fabric.mu.Unlock()
		stop()
	}
}

// run starts work and returns a function that ends it, once.
func run(t testing.TB, work func(context.Context) error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	var once sync.Once
	return func() {
		once.Do(func() {
			cancel()
			assert.NoError(t, <-done)
		})
	}
}

func (c *cluster) leader() zinniapond.HostName {
	c.fabric.mu.Lock()
	voters := maps.Clone(c.fabric.voters)
	c.fabric.mu.Unlock()
	for name, h := range c.hosts {
		if h.voter == nil || voters[h.voter.Settings.Peers] != h.voter {
			continue
		}
		h.voter.mu.Lock()
		leads := h.voter.node != nil && h.voter.node.Core.Leading(time.Now()) && h.voter.node.Core.Current()
		h.voter.mu.Unlock()
		if leads {
			return name
		}
	}
	return ""
}
