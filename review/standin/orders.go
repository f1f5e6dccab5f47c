package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	orderConsumers = 8
	orderRounds    = 40
)

// orders is a load of ordinary requests on kept channels of one front.
type orders struct {
	world   *world
	answers chan answer
}

// startOrders opens the channels, makes them kept ones, and sends safe and unsafe requests
// on them, each of which a replica works on for 0.7 s.
func (w *world) startOrders(front *machine) (*orders, error) {
	o := &orders{world: w, answers: make(chan answer, orderConsumers*(orderRounds+1))}
	for n := range orderConsumers {
		c, err := dial(front)
		if err != nil {
			return nil, err
		}
		if a := c.do(newID(), request{method: http.MethodGet, path: "/pule252/2f", timeout: 2 * time.Second}); a.status != http.StatusOK {
			return nil, fmt.Errorf("the first request of a channel failed: %s", a)
		}
		go o.send(n, c)
	}
	return o, nil
}

func (o *orders) send(n int, c *channel) {
	defer c.close()
	q := request{method: http.MethodGet, path: "/pule252/wait/700", timeout: 2 * time.Second}
	if n%2 == 1 {
		q = request{method: http.MethodPost, path: "/dero117/wait/700", body: fmt.Sprint("order ", n), timeout: 2 * time.Second}
	}
	for range orderRounds {
		a := c.do(newID(), q)
		o.world.add("%s %s: attempt %s: %s, runs at replicas %d", q.method, q.path, a.id, a, len(o.world.provider.runsOf(a.id)))
		o.answers <- a
		if a.status == 0 {
			break
		}
	}
	o.answers <- answer{}
}

// countLost waits for the end of the load and returns the number of requests that a
// replica has run and whose channel was closed without an answer.
func (o *orders) countLost(front *machine) int {
	lost := 0
	for done := 0; done < orderConsumers; {
		a := <-o.answers
		if a.id == "" {
			done++
		} else if a.status == 0 && len(o.world.provider.runsOf(a.id)) > 0 {
			lost++
		}
	}
	ends, overMemory, peak := front.counts()
	o.world.add("%d requests on kept channels were passed on to a replica and got no answer; the front ended %d times, %d times over its memory; its peak was %d MiB", lost, ends, overMemory, peak)
	return lost
}
