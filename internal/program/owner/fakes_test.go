package owner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/program/pool"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// journal keeps records in memory and refuses appends under an epoch older than
// the one it was sealed at last.
type journal struct {
	mu          sync.Mutex
	sealed      zinniapond.Epoch
	records     []zinniapond.Record
	appendError error
	resultGate  chan struct{} // appends of results wait until it is closed; nil if they do not wait
}

func (j *journal) Recover(_ context.Context, _ time.Time, a zinniapond.Assignment, each func(zinniapond.Record) error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sealed = a.Epoch
	for _, r := range j.records {
		if err := each(r); err != nil {
			return err
		}
	}
	return nil
}

func (j *journal) Append(_ context.Context, _ time.Time, _ zinniapond.ShardID, epoch zinniapond.Epoch, records ...zinniapond.Record) error {
	if j.resultGate != nil && records[0].Kind == zinniapond.RecordResult {
		<-j.resultGate
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if epoch < j.sealed {
		return zinniapond.ErrFenced
	}
	if j.appendError != nil {
		return j.appendError
	}
	j.records = append(j.records, records...)
	return nil
}

func (j *journal) History(_ context.Context, _ time.Time, _ zinniapond.ShardID, program zinniapond.ProgramID, each func(zinniapond.Record) error) error {
	j.mu.Lock()
	records := append([]zinniapond.Record(nil), j.records...)
	j.mu.Unlock()
	for _, r := range records {
		if r.Program == program {
			if err := each(r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (j *journal) hasRecord(kind zinniapond.RecordKind, call zinniapond.CallID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.records {
		if r.Kind != kind {
			continue
		}
		if r.Call != nil && r.Call.ID == call || r.Answer != nil && r.Answer.Call == call {
			return true
		}
	}
	return false
}

// directory is a control state with one shard, whose owner assign sets.
type directory struct {
	mu      sync.Mutex
	view    zinniapond.ControlView
	stale   bool
	changed chan struct{}
}

func (d *directory) View() *zinniapond.ControlView {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view
	return &v
}

func (d *directory) Catalog() *zinniapond.Catalog {
	return &zinniapond.Catalog{Plans: map[zinniapond.PlanName]zinniapond.Plan{"gold": {Name: "gold", MaxCalls: 5}}}
}

func (d *directory) LeaseValid(time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stale
}

func (d *directory) ConfirmedAt() time.Time { return time.Time{} }

func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *directory) assign(owner zinniapond.HostName, epoch zinniapond.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Shards = 1
	d.view.Assignments = map[zinniapond.ShardID]zinniapond.Assignment{0: {Owner: owner, Epoch: epoch}}
	close(d.changed)
	d.changed = make(chan struct{})
}

// client runs each call with the function handle.
type client struct {
	mu     sync.Mutex
	sends  int
	handle func(ctx context.Context, send int, server netip.AddrPort, sink zinniapond.Sink) (zinniapond.Answer, error)
}

func (c *client) Do(ctx context.Context, _ zinniapond.AttemptID, server zinniapond.Backend, _ zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	c.mu.Lock()
	c.sends++
	n := c.sends
	c.mu.Unlock()
	return c.handle(ctx, n, server.Address, sink)
}

func (c *client) sendCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends
}

func (*client) ReleaseCache(context.Context, netip.AddrPort, zinniapond.ProgramID) error { return nil }

func (*client) FetchLoadReport(context.Context, netip.AddrPort) (zinniapond.LoadReport, error) {
	return zinniapond.LoadReport{}, nil
}

func (*client) FetchCacheEvents(context.Context, netip.AddrPort, uint64) ([]zinniapond.CacheEvent, error) {
	return nil, nil
}

func (*client) SendOrder(context.Context, zinniapond.Order) (zinniapond.PoolName, error) {
	return "", nil
}

// stubs implements the queue, router, limiter, retrier, cache leases, budget
// and roster: calls are queued in order of arrival, the first server that was
// not tried is chosen, and all requests except hedges are allowed.
type stubs struct {
	mu      sync.Mutex
	waiting []zinniapond.QueuedCall
	servers []zinniapond.Backend
	marked  []netip.AddrPort
	changed chan struct{}
}

func (s *stubs) Push(_ time.Time, w zinniapond.QueuedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, w)
}

func (s *stubs) Pop(_ time.Time, admit func(zinniapond.QueuedCall) bool) (zinniapond.QueuedCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 || !admit(s.waiting[0]) {
		return zinniapond.QueuedCall{}, false
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	return w, true
}

func (s *stubs) Remove(call zinniapond.CallID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w.Call == call {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (*stubs) Expire(time.Time) []zinniapond.QueuedCall { return nil }
func (*stubs) Charge(time.Time, zinniapond.PlanName, zinniapond.ProgramID, int, zinniapond.Tokens) {
}
func (*stubs) Forget(zinniapond.ProgramID) {}

func (s *stubs) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

func (*stubs) Update(time.Time, []zinniapond.Backend) {}

func (s *stubs) Pick(_ time.Time, need zinniapond.PickInfo, _ func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	for _, b := range s.servers {
		excluded := false
		for _, e := range need.Exclude {
			excluded = excluded || e == b.Address
		}
		if !excluded {
			return zinniapond.Choice{Backend: b.Address}, true
		}
	}
	return zinniapond.Choice{}, false
}

func (*stubs) AttemptStarted(time.Time, netip.AddrPort, zinniapond.PickInfo) {}
func (*stubs) AttemptFinished(time.Time, netip.AddrPort, zinniapond.PickInfo, zinniapond.Observation) {
}
func (*stubs) UpdateLoad(time.Time, zinniapond.LoadReport)               {}
func (*stubs) ApplyCacheEvent(time.Time, zinniapond.CacheEvent)          {}
func (*stubs) EstimateDuration(zinniapond.PickInfo) time.Duration        { return 0 }
func (*stubs) Acquire(time.Time, netip.AddrPort) bool                    { return true }
func (*stubs) CanAcquire(time.Time, netip.AddrPort) bool                 { return true }
func (*stubs) Release(time.Time, netip.AddrPort, zinniapond.Observation) {}
func (*stubs) CountRequest(time.Time)                                    {}
func (*stubs) AllowRetry(time.Time, int) (time.Duration, bool)           { return 0, true }
func (*stubs) HedgeDelay(time.Time, zinniapond.PoolName) (time.Duration, bool) {
	return 0, false
}
func (*stubs) AllowHedge(time.Time) bool                                    { return false }
func (*stubs) ObserveLatency(time.Time, zinniapond.PoolName, time.Duration) {}
func (*stubs) Retain(time.Time, zinniapond.ProgramID, netip.AddrPort, zinniapond.Tokens) (time.Time, bool) {
	return time.Time{}, true
}
func (*stubs) PauseEnded(time.Time, zinniapond.ProgramID)                     {}
func (*stubs) RemoveProgram(zinniapond.ProgramID) []zinniapond.Pin            { return nil }
func (*stubs) RemoveExpired(time.Time) []zinniapond.Pin                       { return nil }
func (*stubs) FindUnpinned(time.Time, zinniapond.LoadReport) []zinniapond.Pin { return nil }
func (*stubs) ProgramPins(zinniapond.ProgramID) []zinniapond.Pin              { return nil }
func (*stubs) Reserve(context.Context, time.Time, zinniapond.Plan, zinniapond.Tokens) (zinniapond.Reservation, error) {
	return zinniapond.Reservation{}, nil
}
func (*stubs) Settle(time.Time, zinniapond.Reservation, zinniapond.Tokens)   {}
func (*stubs) Restore(time.Time, zinniapond.ShardID, zinniapond.Record)      {}
func (*stubs) StartGranting(time.Time, zinniapond.ShardID, zinniapond.Epoch) {}
func (*stubs) StopGranting(zinniapond.ShardID)                               {}
func (s *stubs) Backends() []zinniapond.Backend                              { return s.servers }
func (s *stubs) Changed() <-chan struct{}                                    { return s.changed }

func (s *stubs) MarkLeaving(time.Time, zinniapond.Backend) {}

func (s *stubs) SetState(_ time.Time, server netip.AddrPort, _ zinniapond.BackendState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marked = append(s.marked, server)
}

// detector never reports a degradation of service.
type detector struct{}

func (detector) Observe(time.Time, string, time.Duration, time.Duration, bool) {}
func (detector) Degradations(time.Time) []zinniapond.Degradation               { return nil }

// control accepts every command and passes it to the channel commands.
type control struct{ commands chan zinniapond.Command }

func (c control) Propose(_ context.Context, _ time.Time, command zinniapond.Command) (zinniapond.CommandResult, error) {
	c.commands <- command
	return zinniapond.CommandResult{Accepted: true}, nil
}

// fixture is an Owner of the only shard, with two backend servers.
type fixture struct {
	owner     *Owner
	journal   *journal
	directory *directory
	client    *client
	stubs     *stubs
	control   control
}

var (
	serverA = netip.MustParseAddrPort("127.0.0.1:1001")
	serverB = netip.MustParseAddrPort("127.0.0.1:1002")
)

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		journal:   &journal{},
		directory: &directory{changed: make(chan struct{})},
		client:    &client{},
		stubs: &stubs{changed: make(chan struct{}), servers: []zinniapond.Backend{
			{Address: serverA, Pool: "yard"}, {Address: serverB, Pool: "yard"},
		}},
		control: control{commands: make(chan zinniapond.Command, 8)},
	}
	f.owner = &Owner{
		Settings: &zinniapond.Settings{
			Host: "host-1", DrainTimeout: time.Second, Limits: zinniapond.LimitSettings{AttemptTimeout: 2 * time.Second},
		},
		Logger: hclog.NewNullLogger(), Tracer: noop.NewTracerProvider().Tracer(""), Clock: time.Now,
		Directory: f.directory, Control: f.control, Journal: f.journal, Budget: f.stubs, Roster: f.stubs,
		Retrier: f.stubs, Detector: detector{}, Leases: f.stubs,
		Stats: new(stats.Set[string]),
		Clients: map[zinniapond.BackendKind]zinniapond.BackendClient{
			zinniapond.KindEngine: f.client, zinniapond.KindService: f.client,
		},
		NewPool: func(name zinniapond.PoolName) (*pool.Pool, error) {
			p := pool.New(name)
			p.Queue, p.Router, p.Limiter, p.Clock = f.stubs, f.stubs, f.stubs, time.Now
			return p, nil
		},
	}
	f.owner.lifetime, f.owner.cancel = context.WithCancel(context.Background())
	f.owner.group = new(errgroup.Group)
	return f
}

// start runs the owner and waits until it has taken over the shard.
func (f *fixture) start(t *testing.T) {
	t.Helper()
	f.directory.assign("host-1", 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.owner.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	f.awaitEpoch(t, 1)
}

func (f *fixture) awaitEpoch(t *testing.T, epoch zinniapond.Epoch) {
	t.Helper()
	assert.Eventually(t, 2*time.Second, "the shard is held", func() bool {
		shard, ok := f.owner.ownedShards.Get(0)
		if !ok {
			return false
		}
		shard.epochLock.RLock()
		defer shard.epochLock.RUnlock()
		return shard.isReady() && shard.epoch == epoch
	})
}

func (f *fixture) submit(call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.owner.Submit(ctx, time.Now(), call, sink)
}

func newCall(id string) zinniapond.Call {
	return zinniapond.Call{
		ID: zinniapond.CallID(id), IdempotencyKey: "key-" + id, Program: "drum-17", Plan: "gold", Customer: "foreman",
		Kind: zinniapond.KindService, Pool: "yard", MaxQueueTime: time.Second,
	}
}

var errConnectionBroken = errors.New("connection broke")

func newOKAnswer(body string) (zinniapond.Answer, error) {
	return zinniapond.Answer{Status: 200, Body: []byte(body)}, nil
}
