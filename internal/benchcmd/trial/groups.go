package trial

import (
	"fmt"
	"slices"

	"zinniapond.example/zinniapond/internal/bench/load"
)

// The columns of the tables.
var (
	latencyColumns   = []string{"demand", "load", "in batch", "in engine", "in queue", "program p50", "program p95", "program p99", "usual p99", "known", "recomputed", "held ended", "refused", "failed", "unknown", "hedges", "retries"}
	answerColumns    = []string{"calls", "lost", "doubled", "mixed", "reordered", "unknown", "refused", "failed", "late", "hedges", "retries", "extra", "extra worst"}
	shortCallColumns = []string{"load", "short p50", "short p99", "program p99", "refused"}
)

// firstClassPlans has the plans of the first class by workload.
var firstClassPlans = map[string][]string{"rennbach": {"gate", "yard"}, "tengerweb": {"status", "shops"}}

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

// baseExperiment returns the settings that all experiments have in common.
func (o *Options) baseExperiment(workload, name string) load.Experiment {
	return load.Experiment{
		Name: workload + ": " + name, Workload: workload, Seed: o.Seed, Hosts: 7, Engines: 12,
		Length: o.Length, LoadFactor: 1, Queue: "fair", Router: "prefix",
	}
}

func (o *Options) groups() []group {
	var all []group
	for _, w := range []string{"rennbach", "tengerweb"} {
		experiment := func(name string, change func(*load.Experiment)) load.Experiment {
			e := o.baseExperiment(w, name)
			change(&e)
			return e
		}
		withPlugins := func(queue, router string) load.Experiment {
			return experiment(queue+", "+router, func(e *load.Experiment) { e.Queue, e.Router = queue, router })
		}
		all = append(all, group{name: "latency", title: "Program latency and cache, " + w, columns: latencyColumns, experiments: []load.Experiment{
			withPlugins("fair", "prefix"), withPlugins("fair", "least"), withPlugins("fair", "robin"), withPlugins("fifo", "prefix"), withPlugins("fifo", "robin"),
		}})
		var slow []load.Experiment
		for _, router := range []string{"prefix", "least", "robin"} {
			for _, n := range []int{0, 1, 3} {
				slow = append(slow, experiment(fmt.Sprintf("%s, %d slow", router, n), func(e *load.Experiment) { e.Router, e.SlowEngines = router, n }))
			}
		}
		all = append(all, group{name: "slow", title: "Tail with slowed replicas, " + w, columns: latencyColumns, experiments: slow})
		peak := func(queue, router string) load.Experiment {
			return experiment("peak, "+queue+", "+router, func(e *load.Experiment) { e.Peak, e.Queue, e.Router = true, queue, router })
		}
		all = append(all, group{name: "peak", title: "Demand swing, " + w, columns: peakColumns(w), firstClassPlans: firstClassPlans[w], experiments: []load.Experiment{
			peak("fair", "prefix"), peak("fair", "robin"), peak("fifo", "prefix"), peak("fifo", "robin"),
		}})
		all = append(all, group{name: "short", title: "Short calls beside long ones, " + w, columns: shortCallColumns, experiments: []load.Experiment{
			experiment("short alone", func(e *load.Experiment) { e.ShortCallsOnly = true }),
			experiment("fair, prefix", func(*load.Experiment) {}),
			experiment("fair, prefix, double load", func(e *load.Experiment) { e.LoadFactor = 2 }),
			experiment("fifo, prefix, double load", func(e *load.Experiment) { e.LoadFactor, e.Queue = 2, "fifo" }),
			experiment("fifo, robin, double load", func(e *load.Experiment) { e.LoadFactor, e.Queue, e.Router = 2, "fifo", "robin" }),
		}})
		all = append(all, group{name: "extra", title: "Extra work and answers, " + w, columns: answerColumns, experiments: []load.Experiment{
			experiment("healthy", func(*load.Experiment) {}),
			experiment("3 slow", func(e *load.Experiment) { e.SlowEngines = 3 }),
			experiment("all slow", func(e *load.Experiment) { e.SlowEngines = 12 }),
			experiment("faults", func(e *load.Experiment) { e.InjectFaults = true }),
			experiment("peak", func(e *load.Experiment) { e.Peak = true }),
			experiment("peak, faults", func(e *load.Experiment) { e.Peak, e.InjectFaults = true, true }),
		}})
		withOneSlow := func(name string, change func(*load.Experiment)) load.Experiment {
			return experiment(name+", 1 slow", func(e *load.Experiment) { e.SlowEngines = 1; change(e) })
		}
		all = append(all, group{name: "off", title: "One mechanism turned off, " + w, columns: append(slices.Clone(latencyColumns), "short p99"), experiments: []load.Experiment{
			withOneSlow("all on", func(*load.Experiment) {}),
			withOneSlow("queue fifo", func(e *load.Experiment) { e.Queue = "fifo" }),
			withOneSlow("router least", func(e *load.Experiment) { e.Router = "least" }),
			withOneSlow("no hedges", func(e *load.Experiment) { e.NoHedge = true }),
			withOneSlow("no limit", func(e *load.Experiment) { e.NoLimit = true }),
			withOneSlow("no leases", func(e *load.Experiment) { e.NoLeases = true }),
		}})
		atPeak := func(name string, change func(*load.Experiment)) load.Experiment {
			return experiment("peak, "+name, func(e *load.Experiment) { e.Peak = true; change(e) })
		}
		all = append(all, group{name: "off", title: "One mechanism turned off at the peak, " + w, columns: peakColumns(w), experiments: []load.Experiment{
			atPeak("all on", func(*load.Experiment) {}),
			atPeak("no hedges", func(e *load.Experiment) { e.NoHedge = true }),
			atPeak("no limit", func(e *load.Experiment) { e.NoLimit = true }),
			atPeak("no leases", func(e *load.Experiment) { e.NoLeases = true }),
		}})
	}
	return all
}
