// Package table writes the figures of experiments side by side.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Table has one row for each experiment and one column for each figure. Its
// exported fields are set before use.
type Table struct {
	Title   string           `json:"title"`
	Columns []string         `json:"columns"`
	Rows    []string         `json:"rows"`
	Cells   map[string]cells `json:"cells"` // by row
}

// cells are the figures of one experiment by name.
type cells = map[string]float64

// Add adds the figures of an experiment.
func (t *Table) Add(row string, figures map[string]float64) {
	if t.Cells == nil {
		t.Cells = make(map[string]cells)
	}
	t.Rows = append(t.Rows, row)
	t.Cells[row] = figures
}

// WriteMarkdown writes the table in Markdown.
func (t *Table) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n| run |", t.Title)
	for _, c := range t.Columns {
		fmt.Fprintf(&b, " %s |", c)
	}
	b.WriteString("\n|---|" + strings.Repeat("---:|", len(t.Columns)) + "\n")
	for _, r := range t.Rows {
		fmt.Fprintf(&b, "| %s |", r)
		for _, c := range t.Columns {
			v, ok := t.Cells[r][c]
			b.WriteString(" " + formatCell(v, ok) + " |")
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("write table %s: %w", t.Title, err)
	}
	return nil
}

// WriteJSON writes the table as one JSON object.
func (t *Table) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(t); err != nil {
		return fmt.Errorf("write table %s: %w", t.Title, err)
	}
	return nil
}

func formatCell(v float64, ok bool) string {
	switch {
	case !ok:
		return ""
	case v == float64(int64(v)):
		return fmt.Sprintf("%.0f", v)
	case v >= 100:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
