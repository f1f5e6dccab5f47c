package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/stream"
)

const (
	heartbeatInterval = 50 * time.Millisecond
	silenceTimeout    = time.Second
)

func newAuthenticator(host zinniapond.HostName) *auth.Authenticator {
	return auth.New(&zinniapond.Settings{
		Cluster: "test", Host: host, Security: zinniapond.SecuritySettings{Secret: []byte("secret of the tests")},
	})
}

// directory is a Directory whose shards all have one owner.
type directory struct {
	mu      sync.Mutex
	view    *zinniapond.ControlView
	changed chan struct{}
}

func newDirectory() *directory {
	return &directory{view: &zinniapond.ControlView{}, changed: make(chan struct{})}
}

// assign makes host the owner of all shards, reached at address.
func (d *directory) assign(host zinniapond.HostName, address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	epoch := zinniapond.Epoch(len(d.view.Assignments)) + d.view.Assignments[0].Epoch + 1
	d.view = &zinniapond.ControlView{
		Shards:      1,
		Members:     map[zinniapond.HostName]zinniapond.Member{host: {Name: host, Epoch: epoch, StreamsAddress: address}},
		Assignments: map[zinniapond.ShardID]zinniapond.Assignment{0: {Owner: host, Epoch: epoch}},
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) View() *zinniapond.ControlView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (*directory) Catalog() *zinniapond.Catalog { return nil }
func (*directory) LeaseValid(time.Time) bool    { return true }
func (*directory) ConfirmedAt() time.Time       { return time.Time{} }

// runCounts counts the requests for each call, over all owners of a shard. A
// real owner runs a call id only once, so one id means one run.
type runCounts struct {
	mu     sync.Mutex
	byCall map[zinniapond.CallID]int
}

// owner is a Scheduler that streams the call's body back in parts.
type owner struct {
	runs     *runCounts
	partSize int
	// stallAt makes Submit wait on resume once that many bytes of the answer
	// have been sent; negative for never.
	stallAt      int64
	stalled      chan struct{}
	resume       chan struct{}
	err          error              // returned instead of running
	storedAnswer *zinniapond.Answer // answers instead of running

	mu       sync.Mutex
	requests int
	waits    []time.Duration
}

func newOwner(j *runCounts) *owner {
	return &owner{runs: j, partSize: 7, stallAt: -1, stalled: make(chan struct{}, 16), resume: make(chan struct{})}
}

func (o *owner) Submit(ctx context.Context, _ time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	o.mu.Lock()
	o.requests++
	o.waits = append(o.waits, call.MaxQueueTime)
	err, stall := o.err, o.stallAt
	o.mu.Unlock()
	if err != nil {
		return zinniapond.Answer{}, err
	}
	if o.storedAnswer != nil {
		return *o.storedAnswer, nil
	}
	o.runs.mu.Lock()
	o.runs.byCall[call.ID]++
	o.runs.mu.Unlock()
	answer := zinniapond.Answer{Call: call.ID, Outcome: zinniapond.OutcomeDone, Status: 200, Body: call.Body}
	if !call.Stream {
		return answer, nil
	}
	if call.DeliveredBytes > 0 && xxhash.Sum64(call.Body[:call.DeliveredBytes]) != call.DeliveredChecksum {
		return answer, fmt.Errorf("resume: %w", zinniapond.ErrOutcomeUnknown)
	}
	if err := sink.Begin(200, []zinniapond.HeaderField{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
		return answer, err
	}
	for offset := call.DeliveredBytes; offset < int64(len(call.Body)); {
		if stall >= 0 && offset >= stall {
			o.stalled <- struct{}{}
			select {
			case <-ctx.Done():
				return answer, ctx.Err()
			case <-o.resume:
				stall = -1
			}
		}
		end := min(offset+int64(o.partSize), int64(len(call.Body)))
		if err := sink.Write(call.Body[offset:end]); err != nil {
			return answer, err
		}
		offset = end
	}
	answer.Body = nil
	return answer, nil
}

// setBehaviour sets stallAt and err for the calls that follow.
func (o *owner) setBehaviour(stall int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stallAt, o.err = stall, err
}

func (o *owner) requestCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.requests
}

func (o *owner) Open(context.Context, time.Time, zinniapond.Program) error { return o.countRequest() }

func (o *owner) End(context.Context, time.Time, zinniapond.ProgramID, string) error {
	return o.countRequest()
}

func (o *owner) View(_ context.Context, _ time.Time, program zinniapond.ProgramID) (zinniapond.History, error) {
	return zinniapond.History{Program: zinniapond.Program{ID: program}, Owner: "owner"}, o.countRequest()
}

func (o *owner) countRequest() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests++
	return o.err
}

// serveOwner serves the stream interface of an owner until the test ends and
// returns its address.
func serveOwner(t testing.TB, o zinniapond.Scheduler) netip.AddrPort {
	t.Helper()
	s := stream.New(newAuthenticator("owner"), netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger())
	s.FindOwner = func() (zinniapond.Scheduler, error) { return o, nil }
	s.HeartbeatInterval, s.DrainTimeout = heartbeatInterval, time.Second
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return s.Address()
}

func newRelay(t testing.TB, d *directory) *Relay {
	t.Helper()
	r := New("entry", d, newAuthenticator("entry"), hclog.NewNullLogger())
	r.Client.SilenceTimeout = silenceTimeout
	t.Cleanup(r.Client.Close)
	return r
}

// buffer is a Sink that keeps the answer as the caller would see it.
type buffer struct {
	bytes.Buffer
	beginCount int
	beforePart func() // called before each part
}

func (b *buffer) Begin(int, []zinniapond.HeaderField) error {
	b.beginCount++
	return nil
}

func (b *buffer) Write(part []byte) error {
	if b.beforePart != nil {
		b.beforePart()
	}
	_, err := b.Buffer.Write(part)
	return err
}
