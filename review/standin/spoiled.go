package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// overlap is the time for which a request may go on at a second replica while the first
// one still works on it.
const overlap = 400 * time.Millisecond

// spoiledTurns is the number of turns, of which one is spoiled: fewer than two in a hundred.
const spoiledTurns = 60

func init() { scenarios["spoiled"] = playSpoiled }

// playSpoiled lets a replica spoil one stream of many after its second event. The replica is one
// that does not drop a request when its channel closes.
func playSpoiled(w *world) (bool, error) {
	configuration := strings.Replace(configurationText(60), `"resumable":false`, `"resumable":true`, 1)
	configuration = strings.Replace(configuration, `"maxAttempts":1,"retentionEnabled":true,"retentionS":60`, `"maxAttempts":2,"retentionEnabled":false`, 1)
	if err := w.startDeployment(configuration, 3, 0); err != nil {
		return false, err
	}
	w.provider.eventGap = 300 * time.Millisecond
	var group sync.WaitGroup
	var mu sync.Mutex
	longest, ran := time.Duration(0), 0
	for n := range spoiledTurns {
		front := w.class("front")[n%7]
		group.Go(func() {
			id := newID()
			if w.trouble && n == spoiledTurns/2 {
				w.provider.mu.Lock()
				w.provider.spoilAfter[id] = 2
				w.provider.mu.Unlock()
			}
			output, err := w.readEvents(front, id, newProgram().turnRequest("input\n", ""))
			time.Sleep(eventCount * w.provider.eventGap)
			mu.Lock()
			defer mu.Unlock()
			w.add("turn %d: attempt %s at %s: %d events, end %v", n, id, front.name, len(output), err)
			runs := w.provider.runsOf(id)
			for k, v := range runs {
				w.add("  run %d at %s: Last-Event-Id %q, %.3f s to %.3f s", k, v.replica, v.resumes, v.at.Sub(w.start).Seconds(), v.ended.Sub(w.start).Seconds())
				if k > 0 {
					longest = max(longest, runs[k-1].ended.Sub(v.at))
				}
			}
			ran += min(len(runs), 1)
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	if ran != spoiledTurns {
		return false, fmt.Errorf("%d of %d turns ran", ran, spoiledTurns)
	}
	w.add("a replica worked on for %s after the request had gone on at another", longest.Round(time.Millisecond))
	return longest > overlap, nil
}
