package load_test

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/bench/load"
	_ "zinniapond.example/zinniapond/internal/core/plugs"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func run(t *testing.T, e load.Experiment) map[string]float64 {
	t.Helper()
	e.Seed, e.Hosts, e.Engines, e.Length = 5, 7, 12, 90*time.Second
	figures, err := e.Run()
	assert.NoError(t, err)
	return figures
}

func TestExperiment(t *testing.T) {
	faulty := load.Experiment{Workload: "rennbach", LoadFactor: 1, Queue: "fair", Router: "prefix", Peak: true, InjectFaults: true}
	figures := run(t, faulty)
	t.Run("guards against lost, doubled, mixed and reordered answers under faults", func(t *testing.T) {
		for _, name := range []string{"lost", "doubled", "mixed", "reordered", "late"} {
			assert.True(t, figures[name] == 0, "%s: %v", name, figures[name])
		}
		assert.True(t, figures["calls"] > 500, "only %v calls", figures["calls"])
	})
	t.Run("guards against extra work above 5%", func(t *testing.T) {
		assert.True(t, figures["extra"] <= 0.05, "extra work %v", figures["extra"])
	})
	t.Run("guards against runs that cannot be repeated", func(t *testing.T) {
		assert.Equal(t, run(t, faulty), figures)
	})
	t.Run("guards against a router that recomputes more than a fifth of round robin", func(t *testing.T) {
		e := load.Experiment{Workload: "tengerweb", LoadFactor: 1, Queue: "fair", Router: "prefix"}
		prefix := run(t, e)
		e.Router = "robin"
		robin := run(t, e)
		assert.True(t, prefix["recomputed"] <= robin["recomputed"]/5, "%v and %v tokens", prefix["recomputed"], robin["recomputed"])
		assert.True(t, prefix["held ended"] == 0, "%v tokens held", prefix["held ended"])
	})
}
