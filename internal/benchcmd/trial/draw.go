package trial

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"zinniapond.example/zinniapond/internal/bench/plots"
)

// drawCharts writes a chart for each group that has one: slow and peak.
func drawCharts(folder string, groups []group, figures [][]map[string]float64) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make folder for plots: %w", err)
	}
	for i, g := range groups {
		workload, _, _ := strings.Cut(g.experiments[0].Name, ":")
		var chart *plots.Bars
		switch g.name {
		case "slow":
			chart = &plots.Bars{
				Title: "Programs with slowed replicas, " + workload, Unit: "p95 of program latency, seconds",
				Labels: []string{"0 slow", "1 slow", "3 slow"}, Series: []string{"prefix", "least", "robin"},
			}
			for start := 0; start < len(g.experiments); start += 3 {
				var row []float64
				for n := range 3 {
					row = append(row, figures[i][start+n]["program p95"])
				}
				chart.Values = append(chart.Values, row)
			}
		case "peak":
			chart = &plots.Bars{
				Title: "First class at the peak, " + workload, Unit: "share within target",
				Labels: []string{"fair, prefix", "fair, robin", "fifo, prefix", "fifo, robin"},
			}
			for _, plan := range g.firstClassPlans {
				chart.Series = append(chart.Series, plan)
				var row []float64
				for n := range g.experiments {
					row = append(row, figures[i][n]["in target "+plan])
				}
				chart.Values = append(chart.Values, row)
			}
		default:
			continue
		}
		if err := chart.Save(filepath.Join(folder, g.name+"-"+workload+".svg")); err != nil {
			return err
		}
	}
	return nil
}
