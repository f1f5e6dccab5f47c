package peers

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/proxy"
	"zinniapond.example/zinniapond/internal/wire/serve"
)

// BenchmarkCall measures the round-trip time and the allocations, of client and
// server together, of sequential small calls.
func BenchmarkCall(b *testing.B) {
	f := startServer(b, nil)
	p := startPool(b, nil)
	call := func() {
		var reply zinniapond.FetchReply
		request := zinniapond.FetchRequest{Sender: "nord"}
		if err := p.Call(context.Background(), f.server.Address(), "Echo.Say", &request, &reply); err != nil {
			b.Fatal(err)
		}
	}
	call()
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
}

// BenchmarkConcurrent measures the calls per second of 64 concurrent callers for
// several numbers of connections.
func BenchmarkConcurrent(b *testing.B) {
	for _, connections := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			f := startServer(b, nil)
			p := startPool(b, func(p *Pool) { p.MaxConnections, p.CallsPerConnection = connections, 4 })
			call := func() {
				var reply zinniapond.FetchReply
				request := zinniapond.FetchRequest{Sender: "nord"}
				assert.NoError(b, p.Call(context.Background(), f.server.Address(), "Echo.Say", &request, &reply))
			}
			runCalls := func(calls int) {
				var group sync.WaitGroup
				for range 64 {
					group.Go(func() {
						for range calls / 64 {
							call()
						}
					})
				}
				group.Wait()
			}
			runCalls(6400) // opens the connections
			b.ResetTimer()
			runCalls(max(b.N, 64))
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkIdle measures the bytes per second on an idle connection, in both
// directions, with the default heartbeat interval.
func BenchmarkIdle(b *testing.B) {
	f := startServer(b, func(s *serve.Server) { s.HeartbeatInterval, s.SilenceTimeout = 0, 0 })
	tcpProxy := proxy.New(b, f.server.Address())
	p := startPool(b, func(p *Pool) { p.HeartbeatInterval, p.SilenceTimeout = 0, 0 })
	mustCall(b, p, tcpProxy.Address())
	bytesBefore, start := tcpProxy.ForwardedBytes(), time.Now()
	time.Sleep(5 * time.Second)
	b.ReportMetric(float64(tcpProxy.ForwardedBytes()-bytesBefore)/time.Since(start).Seconds(), "payload-B/s")
}
