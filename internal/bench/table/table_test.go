package table_test

import (
	"strings"
	"testing"

	"zinniapond.example/zinniapond/internal/bench/table"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestTable(t *testing.T) {
	tab := &table.Table{Title: "Tail", Columns: []string{"p99", "lost"}}
	tab.Add("one", map[string]float64{"p99": 1.5})
	t.Run("guards against a missing figure shown as zero", func(t *testing.T) {
		var b strings.Builder
		assert.NoError(t, tab.WriteMarkdown(&b))
		assert.Contains(t, b.String(), "| one | 1.500 |  |\n")
	})
	t.Run("guards against JSON without the figures", func(t *testing.T) {
		var b strings.Builder
		assert.NoError(t, tab.WriteJSON(&b))
		assert.Contains(t, b.String(), `"cells":{"one":{"p99":1.5}}`)
	})
}
