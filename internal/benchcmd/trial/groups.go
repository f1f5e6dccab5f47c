package trial

import (
	"fmt"
	"slices"

	"zinniapond.example/zinniapond/internal/bench/load"
)

// The columns of the tables.
var (
	latency = []string{"demand", "load", "in batch", "in engine", "in queue", "program p50", "program p95", "program p99", "usual p99", "known", "recomputed", "held ended", "refused", "failed", "unknown", "hedges", "retries"}
	answers = []string{"calls", "lost", "doubled", "mixed", "reordered", "unknown", "refused", "failed", "late", "hedges", "retries", "extra", "extra worst"}
	shorts  = []string{"load", "short p50", "short p99", "program p99", "refused"}
)

// firstClass has the plans of the first class by workload.
var firstClass = map[string][]string{"rennbach": {"gate", "yard"}, "tengerweb": {"status", "shops"}}

func peakColumns(workload string) []string {
	plans := []string{"gate", "yard", "office", "quotes", "records"}
	if workload == "tengerweb" {
		plans = []string{"status", "shops", "repair", "free", "crawl"}
	}
	columns := []string{"demand", "demand first", "load", "in batch", "in engine", "in queue"}
	for _, p := range plans {
		columns = append(columns, "in target "+p, "refused "+p)
	}
	return append(columns, "share error", "late", "lost")
}

// base is the common part of all experiments.
func (o *Options) base(workload, name string) load.Experiment {
	return load.Experiment{
		Name: workload + ": " + name, Workload: workload, Seed: o.Seed, Hosts: 7, Engines: 12,
		Length: o.Length, Load: 1, Queue: "fair", Router: "prefix",
	}
}

func (o *Options) groups() []group {
	var all []group
	for _, w := range []string{"rennbach", "tengerweb"} {
		run := func(name string, change func(*load.Experiment)) load.Experiment {
			e := o.base(w, name)
			change(&e)
			return e
		}
		plugs := func(queue, router string) load.Experiment {
			return run(queue+", "+router, func(e *load.Experiment) { e.Queue, e.Router = queue, router })
		}
		all = append(all, group{name: "latency", title: "Program latency and cache, " + w, columns: latency, runs: []load.Experiment{
			plugs("fair", "prefix"), plugs("fair", "least"), plugs("fair", "robin"), plugs("fifo", "prefix"), plugs("fifo", "robin"),
		}})
		var slow []load.Experiment
		for _, router := range []string{"prefix", "least", "robin"} {
			for _, n := range []int{0, 1, 3} {
				slow = append(slow, run(fmt.Sprintf("%s, %d slow", router, n), func(e *load.Experiment) { e.Router, e.Slow = router, n }))
			}
		}
		all = append(all, group{name: "slow", title: "Tail with slowed replicas, " + w, columns: latency, runs: slow})
		peak := func(queue, router string) load.Experiment {
			return run("peak, "+queue+", "+router, func(e *load.Experiment) { e.Peak, e.Queue, e.Router = true, queue, router })
		}
		all = append(all, group{name: "peak", title: "Demand swing, " + w, columns: peakColumns(w), first: firstClass[w], runs: []load.Experiment{
			peak("fair", "prefix"), peak("fair", "robin"), peak("fifo", "prefix"), peak("fifo", "robin"),
		}})
		all = append(all, group{name: "short", title: "Short calls beside long ones, " + w, columns: shorts, runs: []load.Experiment{
			run("short alone", func(e *load.Experiment) { e.Short = true }),
			run("fair, prefix", func(*load.Experiment) {}),
			run("fair, prefix, double load", func(e *load.Experiment) { e.Load = 2 }),
			run("fifo, prefix, double load", func(e *load.Experiment) { e.Load, e.Queue = 2, "fifo" }),
			run("fifo, robin, double load", func(e *load.Experiment) { e.Load, e.Queue, e.Router = 2, "fifo", "robin" }),
		}})
		all = append(all, group{name: "extra", title: "Extra work and answers, " + w, columns: answers, runs: []load.Experiment{
			run("healthy", func(*load.Experiment) {}),
			run("3 slow", func(e *load.Experiment) { e.Slow = 3 }),
			run("all slow", func(e *load.Experiment) { e.Slow = 12 }),
			run("faults", func(e *load.Experiment) { e.Faults = true }),
			run("peak", func(e *load.Experiment) { e.Peak = true }),
			run("peak, faults", func(e *load.Experiment) { e.Peak, e.Faults = true, true }),
		}})
		off := func(name string, change func(*load.Experiment)) load.Experiment {
			return run(name+", 1 slow", func(e *load.Experiment) { e.Slow = 1; change(e) })
		}
		all = append(all, group{name: "off", title: "One mechanism turned off, " + w, columns: append(slices.Clone(latency), "short p99"), runs: []load.Experiment{
			off("all on", func(*load.Experiment) {}),
			off("queue fifo", func(e *load.Experiment) { e.Queue = "fifo" }),
			off("router least", func(e *load.Experiment) { e.Router = "least" }),
			off("no hedges", func(e *load.Experiment) { e.NoHedge = true }),
			off("no limit", func(e *load.Experiment) { e.NoLimit = true }),
			off("no leases", func(e *load.Experiment) { e.NoLeases = true }),
		}})
		atPeak := func(name string, change func(*load.Experiment)) load.Experiment {
			return run("peak, "+name, func(e *load.Experiment) { e.Peak = true; change(e) })
		}
		all = append(all, group{name: "off", title: "One mechanism turned off at the peak, " + w, columns: peakColumns(w), runs: []load.Experiment{
			atPeak("all on", func(*load.Experiment) {}),
			atPeak("no hedges", func(e *load.Experiment) { e.NoHedge = true }),
			atPeak("no limit", func(e *load.Experiment) { e.NoLimit = true }),
			atPeak("no leases", func(e *load.Experiment) { e.NoLeases = true }),
		}})
	}
	return all
}
