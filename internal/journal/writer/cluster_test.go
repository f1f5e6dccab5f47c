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

var errLinkCut = errors.New("link is cut")

// cluster has stores on simulated hosts, the control state and the links
// between hosts. It implements Peers (through link), Directory and Control.
type cluster struct {
	t      testing.TB
	folder string

	mu       sync.Mutex
	stores   map[zinniapond.HostName]*disk
	view     zinniapond.ControlView
	changed  chan struct{}
	cutLinks map[[2]zinniapond.HostName]bool
	// interceptCall delays a call, or drops it by returning an error; may be nil.
	interceptCall func(host zinniapond.HostName, method string) error
	// singleAppend makes stores commit each append in a transaction of its own.
	singleAppend bool
	writers      []*Writer
	// beforePropose is called before a command is applied; may be nil. The first
	// droppedProposals commands fail without being applied.
	beforePropose    func()
	droppedProposals int
	// keepSynced makes stores record the synced file content, which a simulated
	// crash restores.
	keepSynced bool
}

// disk is a store with its folder and the content of its file at the last sync.
type disk struct {
	folder     string
	store      *store.Store
	stop       context.CancelFunc
	done       chan error
	syncedData []byte
}

func newCluster(t testing.TB, hosts ...zinniapond.HostName) *cluster {
	c := &cluster{
		t: t, keepSynced: true, folder: t.TempDir(), stores: make(map[zinniapond.HostName]*disk),
		changed: make(chan struct{}), cutLinks: make(map[[2]zinniapond.HostName]bool),
	}
	c.view = zinniapond.ControlView{
		Shards: 1, Members: make(map[zinniapond.HostName]zinniapond.Member),
		Assignments: make(map[zinniapond.ShardID]zinniapond.Assignment),
	}
	for i, h := range hosts {
		c.view.Members[h] = zinniapond.Member{
			Name: h, State: zinniapond.MemberActive,
			PeersAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		}
		c.stores[h] = &disk{folder: filepath.Join(c.folder, string(h))}
		c.startStore(h)
	}
	return c
}

func (c *cluster) startStore(host zinniapond.HostName) {
	d := c.stores[host]
	s := &store.Store{
		Folder: d.folder, Retention: time.Hour, Logger: hclog.NewNullLogger(), Clock: time.Now, SyncEachAppend: c.singleAppend,
	}
	if c.keepSynced {
		s.AfterSync = func() {
			data, err := os.ReadFile(filepath.Join(d.folder, "journal.db"))
			if err == nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				d.syncedData = data
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

// stopStore stops a store. With crash set the file goes back to its content at the
// last sync.
func (c *cluster) stopStore(host zinniapond.HostName, crash bool) {
	c.mu.Lock()
	d := c.stores[host]
	s, synced := d.store, d.syncedData
	d.store = nil
	c.mu.Unlock()
	if s == nil {
		return
	}
	d.stop()
	assert.NoError(c.t, <-d.done)
	if crash && synced != nil {
		// Content that was synced after the simulated crash began is discarded.
		d.syncedData = synced
		assert.NoError(c.t, os.WriteFile(filepath.Join(d.folder, "journal.db"), synced, 0o600))
	}
}

// wipeDisk removes the data of a stopped store.
func (c *cluster) wipeDisk(host zinniapond.HostName) {
	c.stores[host].syncedData = nil
	assert.NoError(c.t, os.RemoveAll(c.stores[host].folder))
}

func (c *cluster) stop() {
	for _, w := range c.writers {
		w.stop()
	}
	for h := range c.stores {
		c.stopStore(h, false)
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
	c.publishAssignment(a)
	return a
}

// publishAssignment makes an assignment part of the view. It is called with the
// lock held.
func (c *cluster) publishAssignment(a zinniapond.Assignment) {
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
func (c *cluster) LeaseValid(time.Time) bool    { return true }
func (c *cluster) ConfirmedAt() time.Time       { return time.Now() }

func (c *cluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *cluster) Propose(_ context.Context, _ time.Time, command zinniapond.Command) (zinniapond.CommandResult, error) {
	if c.beforePropose != nil {
		c.beforePropose()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.droppedProposals > 0 {
		c.droppedProposals--
		return zinniapond.CommandResult{}, errLinkCut
	}
	a := command.Assignments[0]
	if a.Epoch != c.view.Assignments[0].Epoch+1 {
		return zinniapond.CommandResult{Reason: "epoch"}, nil
	}
	c.publishAssignment(a)
	return zinniapond.CommandResult{Accepted: true}, nil
}

// link calls the stores as one host does over the network.
type link struct {
	c    *cluster
	from zinniapond.HostName
}

func (l link) Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error {
	l.c.mu.Lock()
	var s *store.Store
	var host zinniapond.HostName
	for h, m := range l.c.view.Members {
		if m.PeersAddress == peer {
			host = h
			s = l.c.stores[h].store
		}
	}
	requestCut, replyCut := l.c.cutLinks[[2]zinniapond.HostName{l.from, host}], l.c.cutLinks[[2]zinniapond.HostName{host, l.from}]
	l.c.mu.Unlock()
	if s == nil || requestCut {
		return errLinkCut
	}
	var err error
	if l.c.interceptCall != nil {
		if err = l.c.interceptCall(host, method); err != nil {
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
	if replyCut {
		return errLinkCut // the reply is lost
	}
	return errors.Join(err, ctx.Err())
}

// newWriter returns a new writer on the given host, as after a process start.
func (c *cluster) newWriter(host zinniapond.HostName, wait time.Duration) *Writer {
	w := &Writer{
		Host: host, Replicas: 3, Peers: link{c: c, from: host}, Directory: c, Control: c,
		Logger: hclog.NewNullLogger(), Clock: time.Now, Timeout: wait,
	}
	w.rootContext()
	c.writers = append(c.writers, w)
	return w
}

// startReplacement starts the replacement of a lost store by the host next.
func (c *cluster) startReplacement(lost, next zinniapond.HostName) {
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
	a.JoiningReplica = next
	c.publishAssignment(a)
}

// limitLinks cuts the links of a host except those to the given hosts.
func (c *cluster) limitLinks(from zinniapond.HostName, hosts ...zinniapond.HostName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.stores {
		c.cutLinks[[2]zinniapond.HostName{from, h}] = !slices.Contains(hosts, h)
		c.cutLinks[[2]zinniapond.HostName{h, from}] = !slices.Contains(hosts, h)
	}
}

func newRecord(kind zinniapond.RecordKind, program string, number int) zinniapond.Record {
	r := zinniapond.Record{Kind: kind, Program: zinniapond.ProgramID(program), At: time.Unix(int64(number), 1)}
	r.Reason = program + "/" + strconv.Itoa(number)
	return r
}

// collectReasons returns a function for Recover and History, and the reasons of the
// records that were passed to it.
func collectReasons() (func(zinniapond.Record) error, *[]string) {
	var seen []string
	return func(r zinniapond.Record) error {
		seen = append(seen, r.Reason)
		return nil
	}, &seen
}

func (c *cluster) history(t testing.TB, w *Writer, program string) []string {
	t.Helper()
	each, seen := collectReasons()
	assert.NoError(t, w.History(context.Background(), time.Now(), 0, zinniapond.ProgramID(program), each))
	return slices.Clone(*seen)
}
