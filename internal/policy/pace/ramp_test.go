package pace

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// result is what callers see of one run of the model.
type result struct {
	first95, all95             time.Duration
	failed, refused, allFailed int
	waits                      int
	allowed                    time.Duration
	part                       float64
}

func (m *model) result() result {
	return result{quantile(m.first, 0.95), quantile(m.allFirst, 0.95), m.failed, m.refused, m.allFailed, m.waits, 0, 0}
}

// compare runs a case with and without the decision, in several sizes, and passes both
// results to check.
func compare(t *testing.T, play func(m *model) result, check func(t *testing.T, with, without result)) {
	t.Helper()
	for _, size := range []struct {
		hosts, replicas int
		load            float64
	}{{50, 12, 0.45}, {70, 12, 0.65}, {60, 48, 0.65}} {
		t.Run(fmt.Sprintf("%d hosts, %d replicas, load %.1f", size.hosts, size.replicas, size.load), func(t *testing.T) {
			with := play(newModel(size.hosts, size.replicas, size.load, true))
			without := play(newModel(size.hosts, size.replicas, size.load, false))
			t.Logf("with    %+v", with)
			t.Logf("without %+v", without)
			check(t, with, without)
		})
	}
}

const (
	// maxRampUp is the time within which a replica that answers well is to be in full use.
	// A repaired one has up to another second, in which it is found to work again.
	maxRampUp = 3 * time.Second
	maxRepair = maxRampUp + time.Second
)

func TestRampUp(t *testing.T) {
	t.Run("guards against flooding a replica that has started with a cold cache", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			m.stop(r)
			m.run(2 * time.Second)
			m.start(r)
			allowed, part := m.watch(r)
			seen := m.result()
			seen.allowed, seen.part = allowed, part
			return seen
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.refused == 0, "%d requests refused", with.refused)
			assert.True(t, with.first95 < without.first95/2, "times to the first byte are %s", with.first95)
			assert.True(t, with.allowed <= maxRampUp, "the replica is held back for %s", with.allowed)
			assert.True(t, with.part >= 0.5, "the replica has %.2f of its share", with.part)
		})
	})
	t.Run("guards against a new replica that fails every second request", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			m.stop(r)
			m.run(2 * time.Second)
			r.failing = func(time.Time) bool { return r.count%2 == 0 }
			m.start(r)
			m.run(10 * time.Second)
			return m.result()
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.failed < without.failed/3, "%d requests failed", with.failed)
		})
	})
	t.Run("guards against a replica that works again and is left idle", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			r.failing = func(time.Time) bool { return true }
			m.run(3 * time.Second)
			r.failing = nil
			allowed, part := m.watch(r)
			seen := m.result()
			seen.allowed, seen.part = allowed, part
			return seen
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.allFailed < without.allFailed/3, "%d requests failed", with.allFailed)
			assert.True(t, with.allowed <= maxRepair, "the replica is held back for %s", with.allowed)
			assert.True(t, with.part >= 0.5, "the replica has %.2f of its share", with.part)
		})
	})
	for name, stopped := range map[string]int{"all": 1, "half of the": 2} {
		t.Run(fmt.Sprintf("guards against callers that wait where %s replicas return together", name), func(t *testing.T) {
			compare(t, func(m *model) result {
				gone := m.replicas[:len(m.replicas)/stopped]
				m.stop(gone...)
				m.run(2 * time.Second)
				m.allFirst, m.allFailed, m.waits = nil, 0, 0
				m.start(gone...)
				m.run(10 * time.Second)
				return m.result()
			}, func(t *testing.T, with, without result) {
				assert.True(t, with.waits <= without.waits, "%d requests found no replica", with.waits)
				assert.True(t, with.all95 <= without.all95*11/10, "times to the first byte are %s", with.all95)
			})
		})
	}
	t.Run("guards against a release that replaces the replicas one after the other", func(t *testing.T) {
		compare(t, func(m *model) result {
			for _, r := range m.replicas[:8] {
				m.stop(r)
				m.run(time.Second)
				m.start(r)
				m.run(2 * time.Second)
			}
			return m.result()
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.refused <= without.refused/4, "%d requests refused", with.refused)
			assert.True(t, with.first95 < without.first95/2, "times to the first byte are %s", with.first95)
			assert.True(t, with.waits == 0, "%d requests found no replica", with.waits)
		})
	})
}
