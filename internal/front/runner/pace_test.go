package runner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	_ "zinniapond.example/zinniapond/internal/policy/pace"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fakePace is a pace with given decisions that records what it is told.
type fakePace struct {
	held     map[netip.AddrPort]bool // replicas that have reached their bounds
	released bool                    // they admit requests that find no other replica
	full     map[netip.AddrPort]bool
	answers  []zinniapond.PaceAnswer
	inFlight int
	hosts    int
	sums     []zinniapond.Load
}

func (f *fakePace) SetReplicas(time.Time, zinniapond.PoolName, []zinniapond.Backend) {}
func (f *fakePace) SetLoads(_ time.Time, sums []zinniapond.Load)                     { f.sums = sums }

func (f *fakePace) SetHostCount(count int) { f.hosts = count }

func (f *fakePace) Report(_ time.Time, loads []zinniapond.Load) []zinniapond.Load {
	return append(loads, zinniapond.Load{Bad: 1})
}
func (f *fakePace) Bound(time.Time, zinniapond.Backend) (int, bool) { return 0, false }
func (f *fakePace) Admits(_ time.Time, replica zinniapond.Backend, noOther bool) bool {
	return !f.held[replica.Address] || noOther && f.released
}

func (f *fakePace) IsFull(_ time.Time, replica zinniapond.Backend) bool {
	return f.full[replica.Address]
}
func (f *fakePace) RampUps(time.Time) []zinniapond.RampUp      { return nil }
func (f *fakePace) RecordStart(time.Time, zinniapond.Backend)  { f.inFlight++ }
func (f *fakePace) RecordFinish(time.Time, zinniapond.Backend) { f.inFlight-- }
func (f *fakePace) RecordAnswer(_ time.Time, _ zinniapond.Backend, answer zinniapond.PaceAnswer) {
	f.answers = append(f.answers, answer)
}

// newPacedRunner returns a runner with a pace that holds the last of its three replicas
// back.
func newPacedRunner(t *testing.T, replies ...reply) (*testRunner, *fakePace) {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}, replies...)
	f := &fakePace{held: map[netip.AddrPort]bool{w.list[2].Address: true}, full: make(map[netip.AddrPort]bool)}
	w.Pace = f
	p, err := w.pool("pool")
	assert.NoError(t, err)
	p.pace = f
	return w, f
}

// assertPicks fails the test unless picks of the pool reach exactly the given replicas.
func assertPicks(t *testing.T, w *testRunner, exclude []netip.AddrPort, want ...string) {
	t.Helper()
	p, err := w.pool("pool")
	assert.NoError(t, err)
	picked := make(map[string]bool)
	for range 12 {
		c, ok := p.pickReplica(time.Now(), zinniapond.PickInfo{Exclude: exclude}, func(zinniapond.Backend) bool { return true })
		assert.True(t, ok, "no replica is picked")
		picked[c.ID] = true
	}
	for _, id := range want {
		assert.True(t, picked[id], "replica %s is not picked", id)
	}
	assert.Equal(t, len(picked), len(want))
}

func TestPace(t *testing.T) {
	whole := answersWith(200, "answer", false, nil)
	t.Run("guards against requests to a replica that has reached its bound", func(t *testing.T) {
		w, _ := newPacedRunner(t, whole)
		assertPicks(t, w, nil, "a", "b")
	})
	t.Run("guards against requests that wait because of a bound", func(t *testing.T) {
		w, _ := newPacedRunner(t, whole)
		assertPicks(t, w, []netip.AddrPort{w.list[0].Address, w.list[1].Address}, "c")
	})
	t.Run("guards against filling full replicas beside a bounded one with free slots", func(t *testing.T) {
		w, f := newPacedRunner(t, whole)
		f.full[w.list[0].Address], f.full[w.list[1].Address], f.released = true, true, true
		w.list = w.list[1:]
		assert.NoError(t, w.update())
		picked := false
		p, _ := w.pool("pool")
		for range 4 {
			c, _ := p.pickReplica(time.Now(), zinniapond.PickInfo{}, func(zinniapond.Backend) bool { return true })
			picked = picked || c.ID == "c"
		}
		assert.True(t, picked, "the replica with free slots is not picked")
	})
	t.Run("guards against answers that do not count", func(t *testing.T) {
		for name, c := range map[string]struct {
			reply reply
			want  zinniapond.PaceAnswer
		}{
			"good":          {whole, zinniapond.PaceAnswer{}},
			"without bytes": {answersWith(200, "", false, nil), zinniapond.PaceAnswer{}},
			"server error":  {answersWith(500, "error", false, nil), zinniapond.PaceAnswer{Failed: true}},
			"refused":       {refusesRequest, zinniapond.PaceAnswer{Refused: true}},
			"not sent":      {failsBeforeSend, zinniapond.PaceAnswer{Failed: true}},
			"broken":        {failsAfterSend, zinniapond.PaceAnswer{Failed: true}},
		} {
			w, f := newPacedRunner(t, c.reply)
			w.forward(zinniapond.Request{})
			assert.True(t, len(f.answers) > 0, "%s: no answer is recorded", name)
			got := f.answers[0]
			assert.True(t, c.want.Failed || c.want.Refused || got.TimeToFirstByte > 0, "%s: no time to the first byte", name)
			got.TimeToFirstByte = 0
			assert.Equal(t, got, c.want)
			assert.Equal(t, f.inFlight, 0)
		}
	})
	t.Run("guards against sums and reports without answers", func(t *testing.T) {
		w, f := newPacedRunner(t, whole)
		w.setHostCount(7)
		sums := []zinniapond.Load{{Replica: w.list[0].Address, Count: 2, Good: 1}}
		w.reportLoads(time.Now(), sums)
		assert.Equal(t, f.hosts, 7)
		assert.Equal(t, f.sums, sums)
		assert.Equal(t, w.localLoads(), []zinniapond.Load{{Bad: 1}})
	})
	t.Run("guards against bounds where the settings name no pace", func(t *testing.T) {
		for _, name := range []string{"", "default"} {
			r := new(Runner)
			k := &kernel.Kernel{Settings: &zinniapond.Settings{Plugins: map[string]string{"pace": name}}, Logger: hclog.NewNullLogger()}
			assert.NoError(t, r.findPace(k))
			assert.Equal(t, r.Pace != nil, name != "")
		}
	})
}
