package writer

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/journal/store"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var errCut = errors.New("link is cut")

// cluster has stores on simulated hosts, the control state and the links
// between hosts. It implements Peers (through link), Directory and Control.
type cluster struct {
	t      testing.TB
	folder string

	mu      sync.Mutex
	stores  map[zinniapond.HostName]*disk
	view    zinniapond.ControlView
	changed chan struct{}
	cut     map[[2]zinniapond.HostName]bool
	// delay holds calls back or drops them; may be nil.
	delay func(host zinniapond.HostName, method string) error
	// single makes stores sync each append alone.
	single  bool
	writers []*Writer
	// propose is called before a command is taken; may be nil. The answers to
	// the first refuse commands are lost before they are taken.
	propose func()
	refuse  int
	// keep makes stores remember what a crash would leave.
	keep bool
}

// disk is a store with its file and what of it is synced.
type disk struct {
	folder string
	store  *store.Store
	stop   context.CancelFunc
	done   chan error
	synced []byte
}

func newCluster(t testing.TB, hosts ...zinniapond.HostName) *cluster {
	c := &cluster{
		t: t, keep: true, folder: t.TempDir(), stores: make(map[zinniapond.HostName]*disk),
		changed: make(chan struct{}), cut: make(map[[2]zinniapond.HostName]bool),
	}
	c.view = zinniapond.ControlView{
		Shards: 1, Members: make(map[zinniapond.HostName]zinniapond.Member),
		Assignments: make(map[zinniapond.ShardID]zinniapond.Assignment),
	}
	for i, h := range hosts {
		c.view.Members[h] = zinniapond.Member{
			Name: h, State: zinniapond.MemberActive,
			Peers: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		}
		c.stores[h] = &disk{folder: filepath.Join(c.folder, string(h))}
		c.start(h)
	}
	return c
}

func (c *cluster) start(host zinniapond.HostName) {
	d := c.stores[host]
	s := &store.Store{
		Folder: d.folder, Retention: time.Hour, Logger: hclog.NewNullLogger(), Clock: time.Now, Single: c.single,
	}
	if c.keep {
		s.Synced = func() {
			data, err := os.ReadFile(filepath.Join(d.folder, "journal.db"))
			if err == nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				d.synced = data
			}
		}
	}
	assert.NoError(c.t, s.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	d.store, d.stop, d.done = s, cancel, done
}

// halt stops a store. With crash the file goes back to what was synced.
func (c *cluster) halt(host zinniapond.HostName, crash bool) {
	c.mu.Lock()
	d := c.stores[host]
	s, synced := d.store, d.synced
	d.store = nil
	c.mu.Unlock()
	if s == nil {
		return
	}
	d.stop()
	assert.NoError(c.t, <-d.done)
	if crash && synced != nil {
		// What was synced after the crash began is lost with it.
		d.synced = synced
		assert.NoError(c.t, os.WriteFile(filepath.Join(d.folder, "journal.db"), synced, 0o600))
	}
}

// wipe loses the disk of a halted host.
func (c *cluster) wipe(host zinniapond.HostName) {
	c.stores[host].synced = nil
	assert.NoError(c.t, os.RemoveAll(c.stores[host].folder))
}

func (c *cluster) stop() {
	for _, w := range c.writers {
		w.stop()
	}
	for h := range c.stores {
		c.halt(h, false)
	}
}

func (c *cluster) assign(owner zinniapond.HostName, replicas ...zinniapond.HostName) zinniapond.Assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.view.Assignments[0]
	a.Owner, a.Epoch = owner, a.Epoch+1
	if len(replicas) > 0 {
		a.Replicas = replicas
	}
	c.set(a)
	return a
}

// set publishes an assignment, with the lock held.
func (c *cluster) set(a zinniapond.Assignment) {
	next := c.view
	next.Assignments = map[zinniapond.ShardID]zinniapond.Assignment{0: a}
	c.view = next
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cluster) View() *zinniapond.ControlView {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	return &v
}

func (c *cluster) Catalog() *zinniapond.Catalog { return new(zinniapond.Catalog) }
func (c *cluster) Fresh(time.Time) bool         { return true }
func (c *cluster) Confirmed() time.Time         { return time.Now() }

func (c *cluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *cluster) Propose(_ context.Context, _ time.Time, command zinniapond.Command) (zinniapond.CommandResult, error) {
	if c.propose != nil {
		c.propose()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse > 0 {
		c.refuse--
		return zinniapond.CommandResult{}, errCut
	}
	a := command.Assignments[0]
	if a.Epoch != c.view.Assignments[0].Epoch+1 {
		return zinniapond.CommandResult{Reason: "epoch"}, nil
	}
	c.set(a)
	return zinniapond.CommandResult{Accepted: true}, nil
}

// link is the network as one host sees it.
type link struct {
	c    *cluster
	from zinniapond.HostName
}

func (l link) Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error {
	l.c.mu.Lock()
	var s *store.Store
	var host zinniapond.HostName
	for h, m := range l.c.view.Members {
		if m.Peers == peer {
			host = h
			s = l.c.stores[h].store
		}
	}
	there, back := l.c.cut[[2]zinniapond.HostName{l.from, host}], l.c.cut[[2]zinniapond.HostName{host, l.from}]
	l.c.mu.Unlock()
	if s == nil || there {
		return errCut
	}
	var err error
	if l.c.delay != nil {
		if err = l.c.delay(host, method); err != nil {
			return err
		}
	}
	switch method {
	case "Journal.Append":
		err = s.Append(request.(*zinniapond.AppendRequest), reply.(*zinniapond.AppendReply))
	case "Journal.Seal":
		err = s.Seal(request.(*zinniapond.SealRequest), reply.(*zinniapond.SealReply))
	case "Journal.Read":
		err = s.Read(request.(*zinniapond.ReadRequest), reply.(*zinniapond.ReadReply))
	}
	if back {
		return errCut // the answer is lost
	}
	return errors.Join(err, ctx.Err())
}

// writer returns a new writer on the given host, as after a start.
func (c *cluster) writer(host zinniapond.HostName, wait time.Duration) *Writer {
	w := &Writer{
		Host: host, Replicas: 3, Peers: link{c: c, from: host}, Directory: c, Control: c,
		Logger: hclog.NewNullLogger(), Clock: time.Now, Wait: wait,
	}
	w.context()
	c.writers = append(c.writers, w)
	return w
}

// join starts the replacement of a lost store.
func (c *cluster) join(lost, next zinniapond.HostName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Members = maps.Clone(c.view.Members)
	for h, m := range c.view.Members {
		m.State = zinniapond.MemberActive
		if h == lost {
			m.State = zinniapond.MemberFenced
		}
		c.view.Members[h] = m
	}
	a := c.view.Assignments[0]
	a.Epoch++
	a.Joining = next
	c.set(a)
}

// reach leaves a host only the links to the given ones.
func (c *cluster) reach(from zinniapond.HostName, hosts ...zinniapond.HostName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.stores {
		c.cut[[2]zinniapond.HostName{from, h}] = !slices.Contains(hosts, h)
		c.cut[[2]zinniapond.HostName{h, from}] = !slices.Contains(hosts, h)
	}
}

func record(kind zinniapond.RecordKind, program string, number int) zinniapond.Record {
	r := zinniapond.Record{Kind: kind, Program: zinniapond.ProgramID(program), At: time.Unix(int64(number), 1)}
	r.Reason = program + "/" + strconv.Itoa(number)
	return r
}

// collect returns a function for Recover and History, and what it has seen.
func collect() (func(zinniapond.Record) error, *[]string) {
	var seen []string
	return func(r zinniapond.Record) error {
		seen = append(seen, r.Reason)
		return nil
	}, &seen
}

func (c *cluster) history(t testing.TB, w *Writer, program string) []string {
	t.Helper()
	each, seen := collect()
	assert.NoError(t, w.History(context.Background(), time.Now(), 0, zinniapond.ProgramID(program), each))
	return slices.Clone(*seen)
}
