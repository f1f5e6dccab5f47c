package runner

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/robin"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// meterRouter measures the speed of servers.
type meterRouter struct {
	robin.Router
	reported map[netip.AddrPort]zinniapond.LoadReport
}

func (m *meterRouter) RecentAnswers(time.Time, netip.AddrPort) (int, float64) { return 2, 9.5 }

func (m *meterRouter) UpdateLoad(_ time.Time, r zinniapond.LoadReport) { m.reported[r.Backend] = r }

func TestSpeedReports(t *testing.T) {
	t.Run("guards against slowness that is measured and not exchanged", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 1}, answersWith(200, "answer", false, nil))
		w.pools.Delete("pool")
		m := &meterRouter{reported: make(map[netip.AddrPort]zinniapond.LoadReport)}
		w.NewRouter = func() (zinniapond.Router, error) { return m, nil }
		assert.NoError(t, w.update())
		w.forward(zinniapond.Request{})
		used := w.sent[0].Replica.Address
		assert.Equal(t, w.localLoads(), []zinniapond.Load{{Replica: used, Answers: 2, Slowness: 76}})
		w.reportLoads(time.Now(), []zinniapond.Load{{Replica: used, Count: 5, Answers: 4, Slowness: 64}})
		assert.Equal(t, m.reported[used].Answers, 4)
		assert.Equal(t, m.reported[used].Slowness, 2)
		assert.Equal(t, m.reported[used].RunningCalls, 5)
	})
}
