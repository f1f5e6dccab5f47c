package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	turnsHost = "turns.example"
	turnsPath = "/advice/"
)

// turnsConfiguration has one route that keeps turns.
func turnsConfiguration(version int, resumable bool, maxAttempts, slots int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "turns", "host": turnsHost, "pathPrefix": turnsPath, "kind": "streaming", "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 1,
			"service": "llm", "maxAttempts": maxAttempts, "retentionEnabled": !resumable, "retentionS": 60.0, "sticky": true, "resumable": resumable, "targetGapMs": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": slots, "kvCapacity": 800000, "kvTokenBytes": 18432, "linkMbps": 1500000.0, "moves": true, "backups": true, "tokensPerEvent": 16,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// Parameters of the case. The machines that may be added are those of the users' smallest
// deployment, one in each zone.
const (
	addedStores   = 4
	retireWorkers = 6
	// smallBody and bodyStep give each consumer inputs of another size, all far below
	// maxBodyBytes of the configuration.
	smallBody, bodyStep = 1_900_000, 40_000
	// catchUp is the time after which a machine that is back no longer counts as lost.
	catchUp = 4700 * time.Millisecond
)

// keptTurn is a turn that was answered whole.
type keptTurn struct {
	turn
	at time.Time
}

// runRetire retires a storage machine while turns are answered. Once the retirement is
// completed it removes the machine, and another storage machine loses its disk. It does
// so once for each machine that may be added, and once more.
func runRetire(trouble bool) (broken bool, err error) {
	list := &provider{}
	c, err := newCluster(func(network string) string { return network + ".9.1:8142" }, 5, 4, 4)
	if err != nil {
		return false, err
	}
	defer c.end()
	if err := list.listen(c.network + ".9.1:8142"); err != nil {
		return false, err
	}
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), slots: 64, queue: 64, events: 3, text: "some words of an answer"}
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
	checked, missing, never := 0, 0, 0
	for round := range addedStores + 1 {
		stores := c.of("storage")
		leaving, lost := stores[0], stores[1]
		record("round %d", round+1)
		kept, err := c.runTurns(o, leaving, lost, trouble)
		if err != nil {
			return false, err
		}
		if trouble {
			if err := c.removeAndWipe(o, leaving, lost); err != nil {
				return false, err
			}
		}
		time.Sleep(catchUp + time.Second)
		n, m := c.continueTurns(kept, lost)
		checked, missing, never = checked+len(kept), missing+n, never+m
		if missing > 0 || round == addedStores {
			break
		}
		if trouble {
			added := c.addMachine("storage", round+5, leaving.zone, leaving.memoryMB)
			if err := c.start(added); err != nil {
				return false, err
			}
			record("%s is added", added.name)
			time.Sleep(2 * time.Second)
		}
	}
	conclude("%d turns were answered whole about the retirements; turns after %d of them are answered 404, turns after %d others get no answer in five tries", checked, missing, never)
	return missing > 0, nil
}

// runTurns sends first turns through the fronts of two zones, and retires a machine
// meanwhile. It returns the turns that were answered whole since shortly before.
func (c *cluster) runTurns(o *operator, leaving, other *machine, trouble bool) ([]keptTurn, error) {
	var fronts []*machine
	for _, m := range c.of("front") {
		if m.zone == leaving.zone || m.zone == other.zone {
			fronts = append(fronts, m)
		}
	}
	var mu sync.Mutex
	var kept []keptTurn
	var stop atomic.Bool
	var group sync.WaitGroup
	for w := range retireWorkers {
		group.Go(func() {
			client := newConsumer(true)
			front := fronts[w%len(fronts)]
			body := bytes.Repeat([]byte("residue note "), (smallBody+w*bodyStep)/13)
			for !stop.Load() {
				t := turn{id: newID(), program: newID(), session: newID(), host: turnsHost, path: turnsPath + "a", body: body, limit: 4 * time.Second, budget: 5000, most: 500}
				a := send(client, front, t)
				if a.status != 200 || !a.whole {
					record("turn %s at %s: %d %s %v", t.id, front.name, a.status, a.text, a.err)
					time.Sleep(20 * time.Millisecond)
					continue
				}
				record("turn %s at %s: answered whole", t.id, front.name)
				mu.Lock()
				kept = append(kept, keptTurn{t, time.Now()})
				mu.Unlock()
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	from := time.Now().Add(-100 * time.Millisecond)
	status := 200
	var err error
	if trouble {
		var text []byte
		status, text, err = o.call("POST", "/retire/"+leaving.name, []byte(`{"durationS":10}`), 5*time.Second)
		record("operator: POST /retire/%s -> %d %s %v", leaving.name, status, text, err)
	}
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	group.Wait()
	if err == nil && status != 200 {
		err = fmt.Errorf("retirement refused: %d", status)
	}
	return slices.DeleteFunc(kept, func(k keptTurn) bool { return k.at.Before(from) }), err
}

// removeAndWipe removes a machine once its retirement is completed. Right after that
// another one loses its disk.
func (c *cluster) removeAndWipe(o *operator, leaving, lost *machine) error {
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		status, text, err := o.call("GET", "/retire/"+leaving.name, nil, 5*time.Second)
		var reply struct{ State string }
		_ = json.Unmarshal(text, &reply)
		if err == nil && status == 200 && reply.State == "completed" {
			record("operator: GET /retire/%s -> %d %s", leaving.name, status, bytes.TrimSpace(text))
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("retirement does not end: %d %s", status, text)
		}
	}
	leaving.kill()
	if err := leaving.wipe(); err != nil {
		return err
	}
	c.remove(leaving)
	record("%s is removed with its disk", leaving.name)
	lost.kill()
	if err := lost.wipe(); err != nil {
		return err
	}
	record("%s loses its disk", lost.name)
	time.Sleep(time.Second)
	if err := c.start(lost); err != nil {
		return err
	}
	record("%s is back with an empty disk", lost.name)
	return nil
}

// continueTurns sends a turn after each of the given ones, through a front that has not
// answered any of them. It returns the number of those that are answered 404, and of the
// others that get no answer in five tries.
func (c *cluster) continueTurns(kept []keptTurn, lost *machine) (missing, never int) {
	fronts := c.of("front")
	front := fronts[0]
	for _, m := range fronts {
		if m.zone == lost.zone {
			continue
		}
		front = m
	}
	client := newConsumer(true)
	for _, k := range kept {
		t := turn{program: k.program, session: k.session, previous: k.id, host: turnsHost, path: turnsPath + "b", body: []byte("and then"), limit: 4 * time.Second, budget: 5000, most: 500}
		status := 0
		for range 5 {
			t.id = newID()
			a := send(client, front, t)
			status = a.status
			record("turn %s after %s at %s: %d whole %t %s %v", t.id, k.id, front.name, a.status, a.whole, a.text, a.err)
			if status == 404 || status == 200 && a.whole {
				break
			}
		}
		switch {
		case status == 404:
			missing++
			record("LOST: turn %s was answered whole %.1f s ago, and the turn after it is answered 404", k.id, time.Since(k.at).Seconds())
		case status != 200:
			never++
		}
	}
	return missing, never
}
