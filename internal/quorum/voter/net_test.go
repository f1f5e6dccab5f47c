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

var errPartitioned = errors.New("connection refused")

// network carries calls between the hosts of one test, and counts them.
type network struct {
	mu          sync.Mutex
	voters      map[netip.AddrPort]*Voter
	partitioned map[zinniapond.HostName]bool
	handovers   chan zinniapond.HandoverRequest
	calls       map[string]int
	bytes       map[string]int
}

// peers implements zinniapond.Peers for one host of the network.
type peers struct {
	network *network
	host    zinniapond.HostName
}

func copyEncoded(from, to any) (int, error) {
	data, err := cbor.Marshal(from)
	if err != nil {
		return 0, err
	}
	return len(data), cbor.Unmarshal(data, to)
}

func (p peers) Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error {
	done := make(chan error, 1)
	go func() { done <- p.call(peer, method, request, reply) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p peers) call(peer netip.AddrPort, method string, request, reply any) error {
	p.network.mu.Lock()
	v := p.network.voters[peer]
	blocked := p.network.partitioned[p.host]
	if v != nil && p.network.partitioned[v.Settings.Host] {
		blocked = true
	}
	p.network.calls[method]++
	p.network.mu.Unlock()
	if method == "Owner.Handover" {
		p.network.handovers <- request.(zinniapond.HandoverRequest)
		return nil
	}
	if v == nil || blocked {
		return errPartitioned
	}
	size, err := p.deliver(v, method, request, reply)
	p.network.mu.Lock()
	p.network.bytes[method] += size
	p.network.mu.Unlock()
	return err
}

// deliver calls a method with encoded and decoded copies of the request and the
// reply, as a connection would, and returns the bytes of both.
func (p peers) deliver(v *Voter, method string, request, reply any) (int, error) {
	var result any
	var err error
	var requestBytes int
	switch method {
	case "Control.Fetch":
		var q zinniapond.FetchRequest
		if requestBytes, err = copyEncoded(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.FetchReply)
		result, err = a, v.Fetch(q, a)
	case "Control.Vote":
		var q zinniapond.VoteRequest
		if requestBytes, err = copyEncoded(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.VoteReply)
		result, err = a, v.Vote(q, a)
	case "Control.Propose":
		var q zinniapond.ProposeRequest
		if requestBytes, err = copyEncoded(request, &q); err != nil {
			return 0, err
		}
		a := new(zinniapond.ProposeReply)
		result, err = a, v.Propose(q, a)
	default:
		return 0, fmt.Errorf("no method %s", method)
	}
	if err != nil {
		return 0, err
	}
	p.network.mu.Lock()
	blocked := p.network.partitioned[p.host] || p.network.partitioned[v.Settings.Host]
	p.network.mu.Unlock()
	if blocked {
		return 0, errPartitioned
	}
	replyBytes, err := copyEncoded(result, reply)
	return requestBytes + replyBytes, err
}

// cluster is a set of hosts in one process.
type cluster struct {
	t        testing.TB
	network  *network
	settings zinniapond.Settings
	hosts    map[zinniapond.HostName]*host
}

type host struct {
	voter       *Voter // nil on a host without the control role
	watcher     *watch.Watcher
	data        string
	stopWatcher func() // stops the watcher
	stopVoter   func() // stops the voter, if any
}

func newCluster(t testing.TB, voters int) *cluster {
	c := &cluster{t: t, hosts: make(map[zinniapond.HostName]*host), network: &network{
		voters: make(map[netip.AddrPort]*Voter), partitioned: make(map[zinniapond.HostName]bool),
		handovers: make(chan zinniapond.HandoverRequest, 1024), calls: make(map[string]int), bytes: make(map[string]int),
	}}
	c.settings = zinniapond.Settings{
		Cluster: "test", DataCentre: "one",
		Roles: []zinniapond.Role{zinniapond.RoleOwner, zinniapond.RoleStore},
		Control: zinniapond.ControlSettings{
			Bootstrap: true, Shards: 8, Replicas: 3, SnapshotRecords: 512,
			LeaseDuration: 2500 * time.Millisecond, SessionTimeout: 4 * time.Second,
			LeaderTimeout: 600 * time.Millisecond, ElectionDelay: 300 * time.Millisecond,
		},
	}
	for n := range voters {
		c.settings.Control.Voters = append(c.settings.Control.Voters, zinniapond.Voter{
			Name: zinniapond.HostName(fmt.Sprintf("v%d", n)), PeersAddress: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+n)),
		})
	}
	for _, v := range c.settings.Control.Voters {
		c.startHost(v.Name, t.TempDir())
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.stopWatcher()
		}
		for _, h := range c.hosts {
			h.stopVoter()
		}
	})
	return c
}

// startHost starts a host. With a data folder, it is a voter too.
func (c *cluster) startHost(name zinniapond.HostName, data string) *host {
	s := c.settings
	s.Host, s.DataFolder = name, data
	logger := hclog.NewNullLogger()
	if testing.Verbose() {
		logger = hclog.New(&hclog.LoggerOptions{Name: string(name), Level: hclog.Info})
	}
	p := peers{network: c.network, host: name}
	h := &host{data: data, watcher: &watch.Watcher{Settings: &s, Peers: p, Clock: time.Now, Logger: logger}}
	c.hosts[name] = h
	h.stopWatcher, h.stopVoter = runInBackground(c.t, h.watcher.Run), func() {}
	if data != "" {
		c.startVoter(name, data)
	}
	return h
}

// startVoter starts the voter of a host on the given data folder.
func (c *cluster) startVoter(name zinniapond.HostName, data string) {
	h := c.hosts[name]
	s := c.settings
	s.Host, s.DataFolder = name, data
	for _, v := range s.Control.Voters {
		if v.Name == name {
			s.PeersListenAddress = v.PeersAddress
		}
	}
	h.data = data
	h.voter = &Voter{Settings: &s, Peers: peers{network: c.network, host: name}, Clock: time.Now, Logger: h.watcher.Logger}
	c.network.mu.Lock()
	c.network.voters[s.PeersListenAddress] = h.voter
	c.network.mu.Unlock()
	stop := runInBackground(c.t, h.voter.Run)
	h.stopVoter = func() {
		c.network.mu.Lock()
		delete(c.network.voters, s.PeersListenAddress)
		c.network.mu.Unlock()
		stop()
	}
}

// runInBackground starts work and returns a function that ends it. Calls of the
// function after the first one do nothing.
func runInBackground(t testing.TB, work func(context.Context) error) func() {
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

func (c *cluster) findLeader() zinniapond.HostName {
	c.network.mu.Lock()
	voters := maps.Clone(c.network.voters)
	c.network.mu.Unlock()
	for name, h := range c.hosts {
		if h.voter == nil || voters[h.voter.Settings.PeersListenAddress] != h.voter {
			continue
		}
		h.voter.mu.Lock()
		leads := h.voter.node != nil && h.voter.node.Core.IsLeader(time.Now()) && h.voter.node.Core.HasCommittedOwnTerm()
		h.voter.mu.Unlock()
		if leads {
			return name
		}
	}
	return ""
}
