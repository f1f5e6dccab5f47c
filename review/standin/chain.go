package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// chainRetention is the retention of the route.
	chainRetention = 45 * time.Second
	// secondTurnAt and thirdTurnAt are the times of the turns after the end of the
	// first one. Each turn begins within the retention of the one before.
	secondTurnAt = 42 * time.Second
	thirdTurnAt  = 69 * time.Second
)

func init() { scenarios["chain"] = playChain }

// playChain lets a program pause between its turns for less than the retention. The
// front that served the second turn is killed right after the end of its answer.
func playChain(w *world) (bool, error) {
	if err := w.startDeployment(configurationText(int(chainRetention.Seconds())), 3, 0); err != nil {
		return false, err
	}
	fronts := w.class("front")
	p := newProgram()
	first, _, _ := w.turn(fronts[0], "turn 1", p.turnRequest("input 1\n", ""))
	firstEnd := time.Now()
	if first.status != http.StatusOK || !first.complete {
		return false, fmt.Errorf("the first turn failed: %s", first)
	}
	time.Sleep(time.Until(firstEnd.Add(secondTurnAt)))
	second, _, _ := w.turn(fronts[0], "turn 2", p.turnRequest("input 2\n", first.id))
	secondEnd := time.Now()
	if second.status != http.StatusOK || !second.complete {
		return false, fmt.Errorf("the second turn failed: %s", second)
	}
	if w.trouble {
		fronts[0].signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(firstEnd.Add(thirdTurnAt)))
	w.add("turn 2 ended %.1f s ago; the retention is %s", time.Since(secondEnd).Seconds(), chainRetention)
	third, tries, reached := w.turn(fronts[1], "turn 3", p.turnRequest("input 3\n", second.id))
	inTime := time.Since(secondEnd) < chainRetention
	w.add("turn 3 ended %.1f s after turn 2, with %d tries, of which %d reached a replica; busiest replica %.2f", time.Since(secondEnd).Seconds(), tries, reached, w.provider.busiest("pool"))
	served := 0
	const others = 10
	for range others {
		a, _, _ := w.turn(fronts[1], "first turn of another program", newProgram().turnRequest("input\n", ""))
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	w.add("first turns of other programs served meanwhile: %d of %d", served, others)
	switch {
	case !inTime:
		return false, fmt.Errorf("the tries of turn 3 took too long")
	case third.status == http.StatusNotFound || third.status == http.StatusGone:
		w.add("LOST: answered %d although the named turn was answered whole %s ago at most", third.status, chainRetention)
		return true, nil
	case reached == 0 && tries >= 5 && served*10 >= others*9:
		w.add("LOST: reached no replica in %d tries", tries)
		return true, nil
	case third.status != http.StatusOK || !third.complete:
		return false, fmt.Errorf("turn 3 failed in another way: %s", third)
	}
	want := "input 1\n" + outputOf(first.id) + "input 2\n" + outputOf(second.id) + "input 3\n"
	if runs := w.provider.runsOf(third.id); len(runs) != 1 || runs[0].body != want {
		w.add("UNASKED: the body of turn 3 is not that of its chain: %+v", runs)
		return true, nil
	}
	return false, nil
}
