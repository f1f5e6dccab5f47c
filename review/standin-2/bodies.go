package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minEnds and minMachines are from the rule: processes end three times in the day on a
	// tenth of the machines in use, two at least.
	minEnds     = 3
	minMachines = 2
	// largeBody is the size of the input of a turn, below maxBodyBytes of the configuration.
	largeBody = 3_500_000
	// usualConsumers send turns all the time, and burstFactor times as many during a burst.
	usualConsumers = 10
	burstFactor    = 2.1
	bursts         = 6
	burstTime      = 4 * time.Second
	burstPause     = 2 * time.Second
)

// runBodies sends turns with large inputs, as many times more of them as a burst has.
func runBodies(trouble bool) (broken bool, err error) {
	list := &provider{}
	c, err := newCluster(func(network string) string { return network + ".9.1:8142" }, 5, 4, 7)
	if err != nil {
		return false, err
	}
	defer c.end()
	if err := list.listen(c.network + ".9.1:8142"); err != nil {
		return false, err
	}
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), slots: 64, queue: 64, events: 5, pause: 20 * time.Millisecond, text: "some words of an answer"}
		if err := e.listen(fmt.Sprintf("%s.8.%d:8080", c.network, i+1)); err != nil {
			return false, err
		}
		list.add(instance{ID: e.id, Service: "llm", Address: e.address, Zone: zones[i], Version: "v1", Slots: 64, State: "ready", Stage: "both", Models: []any{map[string]any{"name": "m", "version": 1}}})
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	o := &operator{cluster: c}
	if err := o.configure(turnsConfiguration(1, false, 1, 64)); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	memory := watchMemory(c, true)
	consumers := usualConsumers
	if trouble {
		consumers = int(usualConsumers * burstFactor)
	}
	record("%d consumers send turns of %d bytes, and %d during %d bursts of %s", usualConsumers, largeBody, consumers, bursts, burstTime)
	var group sync.WaitGroup
	var whole, others atomic.Int64
	fronts := c.of("front")
	start := time.Now()
	until := start.Add(bursts * (burstTime + burstPause))
	for w := range consumers {
		group.Go(func() {
			client := newConsumer(true)
			body := bytes.Repeat([]byte("residue note "), largeBody/13)
			for time.Now().Before(until) {
				if w >= usualConsumers && time.Since(start)%(burstTime+burstPause) < burstPause {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				t := turn{id: newID(), program: newID(), session: newID(), host: turnsHost, path: turnsPath + "a", body: body, limit: 4 * time.Second, budget: 5000, most: 500}
				if a := send(client, fronts[w%len(fronts)], t); a.status == 200 && a.whole {
					whole.Add(1)
					record("turn %s at %s: answered whole", t.id, fronts[w%len(fronts)].name)
				} else {
					others.Add(1)
					record("turn %s at %s: %d %s %v", t.id, fronts[w%len(fronts)].name, a.status, a.text, a.err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	memory.end()
	machines := 0
	for _, m := range c.machines {
		if memory.kills[m.name] >= minEnds {
			machines++
		}
	}
	conclude("%d turns were answered whole, %d were not; processes of %d of %d machines ended three times or more as they used more memory than their machines have", whole.Load(), others.Load(), machines, len(c.machines))
	return machines >= max(minMachines, (len(c.machines)+9)/10), nil
}
