// Package run is the command that runs the experiments on the policies.
package run

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
	Only   []string      `help:"Run only these experiments: latency, slow, crest, short, extra, faults, off." short:"o"`
	JSON   bool          `help:"Write the tables as JSON."`
	Plots  string        `help:"Write plots into this folder." type:"path"`
	// Workers bounds the experiments that run at once; the machine is shared.
	Workers int `help:"Experiments run at once." default:"4"`
}

// group is a set of experiments that are shown in one table.
type group struct {
	name    string
	title   string
	columns []string
	runs    []load.Experiment
}

// Run runs the experiments and writes their tables to out.
func (o *Options) Run(out io.Writer) error {
	groups := slices.DeleteFunc(o.groups(), func(g group) bool { return len(o.Only) > 0 && !slices.Contains(o.Only, g.name) })
	if len(groups) == 0 {
		return fmt.Errorf("run experiments: none is named %s", strings.Join(o.Only, ", "))
	}
	figures := make([][]map[string]float64, len(groups))
	var workers errgroup.Group
	workers.SetLimit(max(o.Workers, 1))
	for i, g := range groups {
		figures[i] = make([]map[string]float64, len(g.runs))
		for n := range g.runs {
			workers.Go(func() (err error) {
				figures[i][n], err = g.runs[n].Run()
				return err
			})
		}
	}
	if err := workers.Wait(); err != nil {
		return err
	}
	for i, g := range groups {
		t := &table.Table{Title: fmt.Sprintf("%s (seed %d, %s)", g.title, o.Seed, o.Length), Columns: g.columns}
		for n := range g.runs {
			t.Add(g.runs[n].Name, figures[i][n])
		}
		write := t.Write
		if o.JSON {
			write = t.JSON
		}
		if err := write(out); err != nil {
			return err
		}
	}
	return nil
}
