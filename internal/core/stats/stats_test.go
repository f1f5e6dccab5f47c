package stats

import (
	"sync"
	"testing"

	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSet(t *testing.T) {
	t.Run("guards against lost counts of concurrent events", func(t *testing.T) {
		var s Set[string]
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 1000 {
					s.Add("calls", 1)
				}
			})
		}
		group.Wait()
		assert.Equal(t, s.Value("calls"), 8000)
		assert.Equal(t, s.String(), `{"calls":8000}`)
	})
	t.Run("guards against two hosts of one process sharing counters", func(t *testing.T) {
		one, err := kernel.FindNamed[*Set[string]](&kernel.Kernel{}, "default")
		assert.NoError(t, err)
		one.Publish("stats test")
		two, err := kernel.FindNamed[*Set[string]](&kernel.Kernel{}, "default")
		assert.NoError(t, err)
		two.Publish("stats test") // expvar panics if a name is published twice
		one.Add("calls", 1)
		assert.Equal(t, two.Value("calls"), 0)
	})
}
