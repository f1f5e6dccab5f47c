// Package plots draws the figures of experiments.
package plots

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Bars is a chart of one figure: a group of bars for each label, with one bar
// for each series. Its exported fields are set before Save.
type Bars struct {
	Title  string
	Unit   string
	Labels []string
	Series []string
	Values [][]float64 // by series, then by label
}

// Save writes the chart to a file whose suffix gives the format.
func (b *Bars) Save(path string) error {
	p := plot.New()
	p.Title.Text = b.Title
	p.Y.Label.Text = b.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	width := vg.Points(14)
	for i, name := range b.Series {
		chart, err := plotter.NewBarChart(plotter.Values(b.Values[i]), width)
		if err != nil {
			return fmt.Errorf("draw %s: %w", path, err)
		}
		chart.Color = plotutil.Color(i) //nolint:misspell // the library's name
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(b.Series)-1)/2)
		p.Add(chart)
		p.Legend.Add(name, chart)
	}
	p.NominalX(b.Labels...)
	if err := p.Save(vg.Points(450), vg.Points(250), path); err != nil {
		return fmt.Errorf("draw %s: %w", path, err)
	}
	return nil
}
