package delay

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestMeter(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	t.Run("guards against a host that is behind without a trace", func(t *testing.T) {
		m := Meter{Since: start}
		_, report := m.RecordAnswer(at(time.Second), 1, 100, 10*time.Millisecond, false)
		assert.True(t, !report, "reported while behind")
		m.RecordLate()
		got, report := m.RecordAnswer(at(3*time.Second), 2, 200, 20*time.Millisecond, true)
		assert.True(t, report, "not reported")
		assert.Equal(t, got, Meter{Fetches: 2, Late: 1, Records: 3, Bytes: 300, ApplyTime: 30 * time.Millisecond, Since: start})
	})
	t.Run("guards against a line for each record", func(t *testing.T) {
		m := Meter{Since: start}
		_, report := m.RecordAnswer(at(100*time.Millisecond), 1, 100, 0, false)
		assert.True(t, !report, "reported while behind")
		_, report = m.RecordAnswer(at(200*time.Millisecond), 1, 100, 0, true)
		assert.True(t, !report, "reported after 0.2 s")
	})
	t.Run("guards against a line for a held fetch", func(t *testing.T) {
		m := Meter{Since: start}
		_, report := m.RecordAnswer(at(5*time.Second), 0, 0, 0, true)
		assert.True(t, !report, "reported without being behind")
	})
}
