package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// normalPause is the time between two events of a replica, and slowFactor how many
	// times as long a slow replica takes.
	normalPause = 75 * time.Millisecond
	slowFactor  = 4
	slowTime    = 6500 * time.Millisecond
	// overlap is the time after which a replica must not work any more on a request that
	// goes on at another one.
	overlap = 400 * time.Millisecond
	// One of queuedReplicas is slow, which is less than the share of 0.15.
	queuedReplicas = 7
	queuedSlots    = 4
	queuedRequests = 48
	queuedFronts   = 3
)

// runQueued sends resumable streams to a pool with a slow replica. The replicas do not drop
// the requests in their queues when the channels close.
func runQueued(trouble bool) (broken bool, err error) {
	list := &provider{}
	c, err := newCluster(func(network string) string { return network + ".9.1:8142" }, 5, 4, queuedFronts)
	if err != nil {
		return false, err
	}
	defer c.end()
	if err := list.listen(c.network + ".9.1:8142"); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range queuedReplicas {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), slots: queuedSlots, queue: 12, events: 10, pause: normalPause, text: "some words", keepsQueued: true}
		if err := e.listen(fmt.Sprintf("%s.8.%d:8080", c.network, i+1)); err != nil {
			return false, err
		}
		engines = append(engines, e)
		list.add(instance{ID: e.id, Service: "llm", Address: e.address, Zone: zones[i%len(zones)], Version: "v1", Slots: e.slots, State: "ready", Stage: "both", Models: []any{map[string]any{"name": "m", "version": 1}}})
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	o := &operator{cluster: c}
	if err := o.configure(turnsConfiguration(1, true, 2, queuedSlots)); err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		engines[0].setSlow(slowFactor)
		defer time.AfterFunc(slowTime, func() { engines[0].setSlow(1) }).Stop()
	}
	var group sync.WaitGroup
	client := newConsumer(false)
	fronts := c.of("front")
	for i := range queuedRequests {
		group.Go(func() {
			front := fronts[i%len(fronts)]
			t := turn{id: newID(), session: newID(), host: turnsHost, path: turnsPath + "a", body: bytes.Repeat([]byte("note "), 100), limit: 4 * time.Second, most: 500}
			record("consumer: %s sent to %s", t.id, front.name)
			a := send(client, front, t)
			record("consumer: %s gets %d, %d events, whole %t %s %v", t.id, a.status, a.events, a.whole, a.text, a.err)
		})
		time.Sleep(2 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(5 * time.Second)
	first := make(map[string]engineRun)
	firstAt := make(map[string]string)
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			record("replica %s ran %s from %.3f to %.3f", e.id, r.id, r.start.Sub(recorder.start).Seconds(), r.end.Sub(recorder.start).Seconds())
		}
		e.mu.Unlock()
	}
	twice := 0
	for _, e := range engines {
		for _, r := range e.runs {
			other, ok := first[r.id]
			if !ok {
				first[r.id], firstAt[r.id] = r, e.id
				continue
			}
			begun := r.start
			if other.start.After(begun) {
				begun = other.start
			}
			earlierEnd := r.end
			if other.end.Before(earlierEnd) {
				earlierEnd = other.end
			}
			if earlierEnd.Sub(begun) >= overlap {
				twice++
				record("TWICE: %s ran at %s and %s at the same time for %.3f s", r.id, firstAt[r.id], e.id, earlierEnd.Sub(begun).Seconds())
			}
		}
	}
	conclude("%d of %d requests ran at two replicas at the same time for 400 ms or more", twice, queuedRequests)
	return twice > 0, nil
}
