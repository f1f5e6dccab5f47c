package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallSlots is the number of requests that the replica of the small pool runs at
	// once; it queues three times as many more.
	smallSlots = 6
	// usualTurns is the usual number of turns under way at the small pool, which fit, and
	// burstTurns that of a burst of 2.1 times the traffic.
	usualTurns = 22
	burstTurns = 46
	burstTime  = 4 * time.Second
	// closeEach is the number of refusals of which one has Connection: close.
	closeEach = 20
	// pauseAfterBurst is more than the connectivityWindowMs.
	pauseAfterBurst = 4 * time.Second
	// otherPrograms is the number of programs that begin after the burst.
	otherPrograms = 400
)

func init() { scenarios["suspect"] = playSuspect }

// playSuspect lets a burst come to a small pool that serves a twentieth of the programs.
// Its replica refuses what it cannot hold, and closes a channel now and then. In each zone
// a program whose first turn the pool has served goes on when the burst is over. A zone has
// one front here, so that all its channels reach the same one.
func playSuspect(w *world) (bool, error) {
	w.addMachines("core", 5)
	w.addMachines("storage", 4)
	w.addMachines("front", len(zones))
	if err := errors.Join(w.provider.addReplicas("pool", 3, 64), w.provider.addReplicas("small", 1, smallSlots)); err != nil {
		return false, err
	}
	small := w.provider.replicas[3]
	small.closeEach = closeEach
	if err := w.startAll(splitConfiguration()); err != nil {
		return false, err
	}
	w.provider.eventGap = 100 * time.Millisecond
	programs, err := w.findPrograms(small.id)
	if err != nil {
		return false, err
	}
	turns := usualTurns
	if w.trouble {
		turns = burstTurns
	}
	w.add("%d turns at a time come to the small pool for %s", turns, burstTime)
	result := w.load(turns, burstTime)
	w.add("of %d turns there %d were served; its replica has refused %d requests, %d of them with Connection: close", result.count, result.served, small.refused.Load(), small.refused.Load()/closeEach)
	time.Sleep(pauseAfterBurst)
	w.add("%s later the replica of the small pool works on %d requests", pauseAfterBurst, small.running.Load())
	var group sync.WaitGroup
	var lost atomic.Int64
	for _, v := range programs {
		group.Go(func() {
			_, tries, reached := w.turn(v.front, "turn 2 in "+v.front.zone, v.turnRequest("input 2\n", v.first.id))
			w.add("turn 2 in %s: %d tries, %d reached a replica; busiest replica of the pool %.2f, of the small one %.2f", v.front.zone, tries, reached, w.provider.busiest("pool"), w.provider.busiest("small"))
			if reached == 0 && tries >= 5 {
				lost.Add(1)
			}
		})
	}
	reached := w.countFirstTurns()
	group.Wait()
	w.add("of %d first turns of other programs %d reached a replica; %d programs could not go on", otherPrograms, reached, lost.Load())
	return lost.Load() > 0 && reached*10 >= otherPrograms*9, nil
}

// splitConfiguration returns a configuration that sends a twentieth of the programs to the
// small pool, and has a route to it alone.
func splitConfiguration() string {
	route := fmt.Sprintf(`{"name":"r-small","host":"%s","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"priority":1,"service":"small","maxAttempts":1,"retentionEnabled":true,"retentionS":60,"sticky":true,"resumable":false,"targetGapMs":400},
 `, host)
	service := fmt.Sprintf(`{"name":"small","healthCheckPath":"/health","connectionLimit":360,"protocol":"h1","tls":false,"engine":{"slots":%d,"kvCapacity":847663,"kvTokenBytes":18432,"linkMbps":2200000.0,"moves":true,"backups":true,"tokensPerEvent":%d,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
 `, smallSlots, tokensPerEvent)
	return strings.NewReplacer(
		`"service":"pool","maxAttempts":1,"retentionEnabled":true`,
		`"trafficSplit":[{"service":"pool","weight":95},{"service":"small","weight":5}],"maxAttempts":1,"retentionEnabled":true`,
		`{"name":"r-safe"`, route+`{"name":"r-safe"`, `{"name":"app","healthCheckPath"`, service+`{"name":"app","healthCheckPath"`,
	).Replace(configurationText(60))
}

// started is a program whose first turn was served.
type started struct {
	program
	front *machine
	first answer
}

// findPrograms starts programs in all zones and returns one for each zone whose first turn
// has run at the given replica.
func (w *world) findPrograms(replica string) ([]started, error) {
	const most = 320
	fronts := w.class("front")
	found := make(chan started, most)
	for n := range most {
		go func() {
			v := started{program: newProgram(), front: fronts[n%len(fronts)]}
			v.first = w.attempt(v.front, v.turnRequest("input 1\n", ""))
			found <- v
		}()
		time.Sleep(25 * time.Millisecond)
	}
	byZone := make(map[string]started)
	for range most {
		v := <-found
		runs := w.provider.runsOf(v.first.id)
		if v.first.status == http.StatusOK && v.first.complete && len(runs) == 1 && runs[0].replica == replica {
			byZone[v.front.zone] = v
		}
	}
	if len(byZone) < len(fronts) {
		return nil, fmt.Errorf("programs of %d zones run at %s", len(byZone), replica)
	}
	var list []started
	for _, v := range byZone {
		w.add("turn 1 in %s: attempt %s at %s: %s", v.front.zone, v.first.id, v.front.name, v.first)
		list = append(list, v)
	}
	return list, nil
}

// countFirstTurns sends first turns of other programs and returns how many reach a replica.
func (w *world) countFirstTurns() int {
	var group sync.WaitGroup
	var reached atomic.Int64
	fronts := w.class("front")
	for n := range otherPrograms {
		group.Go(func() {
			a := w.attempt(fronts[n%len(fronts)], newProgram().turnRequest("input\n", ""))
			if len(w.provider.runsOf(a.id)) > 0 {
				reached.Add(1)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	return int(reached.Load())
}

// loadResult counts the turns of a load.
type loadResult struct{ count, served int }

// load keeps a number of turns under way at the small pool for some time.
func (w *world) load(turns int, length time.Duration) loadResult {
	var group sync.WaitGroup
	var mu sync.Mutex
	var result loadResult
	end := time.Now().Add(length)
	for n := range turns {
		group.Go(func() {
			for k := n; time.Now().Before(end); k++ {
				q := newProgram().turnRequest("input\n", "")
				q.path = "/lohu930/4b"
				a := w.attempt(w.class("front")[k%len(zones)], q)
				mu.Lock()
				result.count++
				if a.status == http.StatusOK && a.complete {
					result.served++
				}
				mu.Unlock()
				time.Sleep(min(a.retryAfter, time.Second))
			}
		})
	}
	group.Wait()
	return result
}
