package plots_test

import (
	"os"
	"path/filepath"
	"testing"

	"zinniapond.example/zinniapond/internal/bench/plots"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestBars(t *testing.T) {
	t.Run("guards against an empty chart", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "chart.svg")
		b := &plots.Bars{Labels: []string{"a", "b"}, Series: []string{"x"}, Values: [][]float64{{1, 2}}}
		assert.NoError(t, b.Save(path))
		data, err := os.ReadFile(path)
		assert.NoError(t, err)
		assert.Contains(t, string(data), "<svg")
	})
}
