// Package volume measures the bytes that control hosts send and receive, by kind of
// message, in a model of a cluster: the real code of the control log, the replica list
// and the sums of loads, in virtual time and without sockets.
package volume

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/listed"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/fleet/limits"
	"zinniapond.example/zinniapond/internal/fleet/loads"
	"zinniapond.example/zinniapond/internal/front/report"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/quorum/voter"
	"zinniapond.example/zinniapond/internal/quorum/watch"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	controlHosts = 5
	// listInterval is the time between two changes of the platform's list.
	listInterval = 250 * time.Millisecond
	// openRequests is the number of requests that a front has running.
	openRequests = 24
)

// platform is the platform's list of replicas, which changes several times a second.
type platform struct {
	mu       sync.Mutex
	random   *rand.Rand
	replicas []zinniapond.Backend
	started  int // number of replicas that have been started
	stopped  bool
}

func newPlatform(count int) *platform {
	p := &platform{random: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		p.replicas = append(p.replicas, zinniapond.Backend{})
		p.start(i)
	}
	return p
}

// start puts a new replica in the place of another one.
func (p *platform) start(i int) {
	p.started++
	p.replicas[i] = zinniapond.Backend{
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8488),
		Kind:    zinniapond.KindEngine, Pool: zinniapond.PoolName(fmt.Sprintf("model-%d", i%8)), DataCentre: zinniapond.DataCentre(fmt.Sprintf("zone-%d", i%3)),
		State: zinniapond.BackendLive, ID: fmt.Sprintf("i-%010x", p.started), Slots: 8,
	}
}

// change changes the state of one replica in 240, at least of one.
func (p *platform) change() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	for range max(len(p.replicas)/240, 1) {
		if i := p.random.IntN(len(p.replicas)); p.replicas[i].State == zinniapond.BackendLive {
			p.replicas[i].State = zinniapond.BackendLeaving
		} else {
			p.start(i)
		}
	}
}

// stop ends the changes.
func (p *platform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// List implements zinniapond.Lister.
func (p *platform) List(context.Context) ([]zinniapond.Backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]zinniapond.Backend(nil), p.replicas...), nil
}

// host is a host with a view of the control log and a copy of the replica list.
type host struct {
	watcher *watch.Watcher
	roster  *listed.Roster
}

type controlHost struct {
	host
	address netip.AddrPort
	voter   *voter.Voter
	loads   *loads.Loads
}

// cluster is a set of control hosts and fronts in one bubble of virtual time.
type cluster struct {
	t        *testing.T
	network  *network
	platform *platform
	settings zinniapond.Settings
	control  []*controlHost
	fronts   []*host
	logger   hclog.Logger
	ctx      context.Context
	group    sync.WaitGroup
}

// withCluster runs work with a cluster whose hosts all have the replica list.
func withCluster(t *testing.T, hostCount, replicaCount int, work func(c *cluster)) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, platform: newPlatform(replicaCount), logger: hclog.NewNullLogger(), network: &network{
			control: make(map[netip.AddrPort]*controlHost), silent: make(map[netip.AddrPort]bool), volumes: make(map[netip.AddrPort]map[string]int),
		}}
		defer func() {
			stop()
			c.group.Wait()
			c.network.calls.Wait()
		}()
		c.settings = zinniapond.Settings{Cluster: "test", DataCentre: "one"}
		c.settings.Platform.RefreshInterval = time.Second
		c.settings.Control = zinniapond.ControlSettings{
			Bootstrap: true, UsesSeeds: true, Shards: 8, Replicas: 3, SnapshotRecords: 512,
			LeaseDuration: 2500 * time.Millisecond, SessionTimeout: 4 * time.Second,
			LeaderTimeout: 600 * time.Millisecond, ElectionDelay: 300 * time.Millisecond,
		}
		for i := range controlHosts {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
			c.settings.Control.Voters = append(c.settings.Control.Voters, zinniapond.Voter{Name: zinniapond.HostName(a.String()), PeersAddress: a})
		}
		for i, v := range c.settings.Control.Voters {
			c.startControlHost(v.PeersAddress, filepath.Join(folder, fmt.Sprint(i)))
		}
		for i := range hostCount - controlHosts {
			c.startFront(i)
		}
		c.await("the replica list at all hosts", c.haveList)
		c.run(c.changeList)
		work(c)
	})
}

func (c *cluster) run(work func(context.Context) error) {
	c.group.Go(func() {
		if err := work(c.ctx); err != nil {
			c.t.Error(err)
		}
	})
}

func (c *cluster) changeList(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.platform.change()
		}
	}
}

func (c *cluster) startHost(s *zinniapond.Settings) host {
	p := endpoint{c.network, s.PeersListenAddress}
	w := &watch.Watcher{Settings: s, Peers: p, Clock: time.Now, Logger: c.logger}
	r := &listed.Roster{Settings: s, Lister: c.platform, Directory: w, Control: w, Logger: c.logger, Clock: time.Now}
	c.run(w.Run)
	c.run(r.Run)
	return host{w, r}
}

func (c *cluster) startControlHost(address netip.AddrPort, folder string) {
	s := c.settings
	s.Host, s.DataFolder, s.PeersListenAddress = zinniapond.HostName("control-"+address.String()), folder, address
	s.Roles = []zinniapond.Role{zinniapond.RoleControl, zinniapond.RoleOperators}
	p := endpoint{c.network, address}
	h := &controlHost{address: address, host: c.startHost(&s)}
	h.voter = &voter.Voter{Settings: &s, Peers: p, Clock: time.Now, Logger: c.logger}
	h.loads = &loads.Loads{Address: address, Peers: p, Logger: c.logger, Clock: time.Now, Limits: &limits.Book{Logger: c.logger}, Blame: &blame.Book{Logger: c.logger}}
	h.loads.ControlHosts = hosts.Chooser{Directory: h.watcher, Seeds: s.Control.Voters}
	c.network.mu.Lock()
	c.network.control[address] = h
	c.network.mu.Unlock()
	c.control = append(c.control, h)
	c.run(h.voter.Run)
	c.run(h.loads.Run)
}

func (c *cluster) startFront(i int) {
	s := c.settings
	s.Host, s.Roles = zinniapond.HostName(fmt.Sprintf("front-%d", i)), []zinniapond.Role{zinniapond.RoleFront}
	s.PeersListenAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 7000)
	h := c.startHost(&s)
	random := rand.New(rand.NewPCG(uint64(i), 3))
	x := &report.LoadExchange{
		Host: s.Host, Peers: endpoint{c.network, s.PeersListenAddress}, Logger: c.logger, Clock: time.Now,
		ControlHosts: hosts.Chooser{Directory: h.watcher, Seeds: s.Control.Voters},
		Limits:       &limits.Book{Logger: c.logger}, Blame: &blame.Book{Logger: c.logger},
		LocalLoads: func() []zinniapond.Load { return randomLoads(random, h.roster.Backends()) },
		ApplySums:  func(time.Time, []zinniapond.Load) {}, SetHostCount: func(int) {},
	}
	c.run(x.Run)
	c.fronts = append(c.fronts, &h)
}

// randomLoads spreads the open requests of a front over the replicas.
func randomLoads(random *rand.Rand, replicas []zinniapond.Backend) []zinniapond.Load {
	counts := make(map[netip.AddrPort]int)
	for range min(openRequests, len(replicas)) {
		counts[replicas[random.IntN(len(replicas))].Address]++
	}
	var list []zinniapond.Load
	for replica, count := range counts {
		list = append(list, zinniapond.Load{Replica: replica, Count: count})
	}
	return list
}

func (c *cluster) haveList() bool {
	for _, h := range c.fronts {
		if len(h.roster.Backends()) == 0 {
			return false
		}
	}
	return true
}

// haveSameList reports whether all hosts have the platform's present list.
func (c *cluster) haveSameList() bool {
	want, _ := c.platform.List(c.ctx)
	for _, h := range c.fronts {
		if !slices.Equal(h.roster.Backends(), want) {
			return false
		}
	}
	return true
}

// await waits in virtual time.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		assert.True(c.t, time.Since(start) < 30*time.Second, "not within 30 s: %s", what)
		time.Sleep(10 * time.Millisecond)
	}
}

// leader returns the control host that the fronts regard as the leader.
func (c *cluster) leader() *controlHost {
	name := c.fronts[0].watcher.View().Leader
	for _, h := range c.control {
		if h.address.String() == string(name) {
			return h
		}
	}
	return nil
}
