package watch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/proxy"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/codec"
	"zinniapond.example/zinniapond/internal/wire/peers"
	"zinniapond.example/zinniapond/internal/wire/serve"
)

// largeLeader is a leader whose control log has one large record.
type largeLeader struct {
	record []byte
	sent   atomic.Int64 // replies with the record
}

// Fetch returns the record to hosts that lack it.
func (l *largeLeader) Fetch(request zinniapond.FetchRequest, reply *zinniapond.FetchReply) error {
	*reply = zinniapond.FetchReply{Term: 1, Leader: "leader", Accepted: true, CommittedOwnTerm: true, CommitIndex: 1}
	switch {
	case request.IsContact:
	case request.NextIndex == 1:
		l.sent.Add(1)
		reply.Entries = []zinniapond.LogEntry{{Index: 1, Term: 1, Data: l.record}}
	default:
		time.Sleep(request.MaxWait)
	}
	return nil
}

func newAuthenticator(host zinniapond.HostName) *auth.Authenticator {
	return auth.New(&zinniapond.Settings{Cluster: "test", Host: host, Security: zinniapond.SecuritySettings{Secret: []byte("secret of the tests")}})
}

// serveLarge serves a leader with a record of the given size over a link that forwards
// 32 KB in each blockDelay.
func serveLarge(t *testing.T, bytes int, blockDelay time.Duration) (*largeLeader, netip.AddrPort) {
	t.Helper()
	record, err := codec.Marshal(zinniapond.Command{Kind: zinniapond.CommandEmpty, Plans: string(make([]byte, bytes))})
	assert.NoError(t, err)
	l := &largeLeader{record: record}
	s := serve.New(newAuthenticator("leader"), netip.MustParseAddrPort("127.0.0.1:0"), hclog.NewNullLogger())
	assert.NoError(t, s.Mount("Control", l))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	<-s.Ready()
	link := proxy.New(t, s.Address())
	link.BlockDelay = blockDelay
	return l, link.Address()
}

func TestSlowLink(t *testing.T) {
	const transferTime = time.Second
	l, address := serveLarge(t, 1<<20, transferTime/32)
	pool := peers.New(newAuthenticator("front"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- pool.Run(ctx) }()
	w := &Watcher{
		Settings: &zinniapond.Settings{Host: "front", Control: zinniapond.ControlSettings{
			LeaseDuration: 500 * time.Millisecond, LeaderTimeout: 200 * time.Millisecond,
			Voters: []zinniapond.Voter{{Name: "leader", PeersAddress: address}},
		}},
		Peers: pool, Clock: time.Now, Logger: hclog.NewNullLogger(),
	}
	w.initialise()
	go func() { done <- w.follow(ctx) }()
	start := time.Now()
	for w.View().Index == 0 && time.Since(start) < 5*transferTime {
		time.Sleep(transferTime / 20)
	}
	index := w.View().Index
	cancel()
	assert.NoError(t, <-done)
	assert.NoError(t, <-done)
	t.Run("guards against a record that never arrives as its transfer takes longer than a fetch", func(t *testing.T) {
		assert.Equal(t, index, 1)
	})
	t.Run("guards against sending a record again while it arrives", func(t *testing.T) {
		assert.Equal(t, l.sent.Load(), 1)
	})
}
