// Package trial is the command that runs the experiments on the policies.
package trial

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond/internal/bench/load"
	"zinniapond.example/zinniapond/internal/bench/table"

	// The experiments use the registered plug-ins.
	_ "zinniapond.example/zinniapond/internal/core/plugs"
)

// Options are the options of the command.
type Options struct {
	Seed   uint64        `help:"Seed of all experiments; equal seeds give equal figures." default:"1"`
	Length time.Duration `help:"Simulated length of each experiment." default:"6m"`
	Only   []string      `help:"Run only these experiments: latency, slow, peak, short, extra, faults, off." short:"o"`
	JSON   bool          `help:"Write the tables as JSON."`
	Plots  string        `help:"Write plots into this folder." type:"path"`
	// Workers bounds the experiments that run at once; the machine is shared.
	Workers int `help:"Experiments run at once." default:"8"`
}

// group is a set of experiments that are shown in one table.
type group struct {
	name            string
	title           string
	columns         []string
	firstClassPlans []string // plans of the first class
	experiments     []load.Experiment
}

// Run runs the experiments and writes their tables to out.
func (o *Options) Run(out io.Writer) error {
	groups := slices.DeleteFunc(o.groups(), func(g group) bool { return len(o.Only) > 0 && !slices.Contains(o.Only, g.name) })
	if len(groups) == 0 {
		return fmt.Errorf("run experiments: none is named %s", strings.Join(o.Only, ", "))
	}
	figures, err := o.runAll(groups)
	if err != nil {
		return err
	}
	if o.Plots != "" {
		if err := drawCharts(o.Plots, groups, figures); err != nil {
			return err
		}
	}
	for i, g := range groups {
		t := &table.Table{Title: fmt.Sprintf("%s (seed %d, %s)", g.title, o.Seed, o.Length), Columns: g.columns}
		for n := range g.experiments {
			t.Add(g.experiments[n].Name, figures[i][n])
		}
		write := t.WriteMarkdown
		if o.JSON {
			write = t.WriteJSON
		}
		if err := write(out); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs the experiments of all groups. Those that differ only in name run
// once, as equal experiments give equal figures.
func (o *Options) runAll(groups []group) ([][]map[string]float64, error) {
	var workers errgroup.Group
	workers.SetLimit(max(o.Workers, 1))
	results := make(map[load.Experiment]*map[string]float64)
	withoutName := func(e load.Experiment) load.Experiment {
		e.Name = ""
		return e
	}
	for _, g := range groups {
		for _, e := range g.experiments {
			if results[withoutName(e)] != nil {
				continue
			}
			figures := new(map[string]float64)
			results[withoutName(e)] = figures
			workers.Go(func() (err error) {
				*figures, err = e.Run()
				return err
			})
		}
	}
	if err := workers.Wait(); err != nil {
		return nil, err
	}
	all := make([][]map[string]float64, len(groups))
	for i, g := range groups {
		for _, e := range g.experiments {
			all[i] = append(all[i], *results[withoutName(e)])
		}
	}
	return all, nil
}
