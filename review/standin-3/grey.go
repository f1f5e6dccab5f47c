package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["grey"] = showGrey }

const (
	greyReplicas = 7
	// greyShare is the share of its requests that the replica in trouble fails.
	greyShare = 0.4
	// Orders come greyAtOnce at a time, so that all replicas get some.
	greyOrders = 280
	greyAtOnce = 14
)

const greyConfiguration = `{"version":1,"routes":[
 {"name":"o","host":"rules.example","pathPrefix":"/o/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":250,"priority":2,"service":"tools","maxAttempts":1,"retentionEnabled":false,"sticky":false,"resumable":false}],
 "services":[{"name":"tools","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// showGrey sends orders, which may not be repeated, while one replica fails part of what it
// has run with statuses that promise a consumer that its request has not run.
func showGrey(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 2)
	defer c.stopAll()
	for i := range greyReplicas {
		p := &replica{service: plainService, slots: 6, work: func(*run) []time.Duration { return []time.Duration{80 * time.Millisecond} }}
		if i == 0 && trouble {
			p.failure = func(*run) int {
				switch n := rand.Float64(); {
				case n < greyShare/2:
					return 503
				case n < greyShare:
					return 429
				}
				return 0
			}
		}
		c.list.add(p)
	}
	c.startAll(greyConfiguration)
	fronts := c.ofRole("front")
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []*attempt
	for i := range greyOrders {
		group.Go(func() {
			// Consumers repeat an unsafe request only after a promise that it has not run.
			for n := range 2 {
				a := c.send(fronts[(i+n)%2], &attempt{id: newID("order"), path: "/o/x", body: fmt.Sprintf("order %d", i), deadline: 2 * time.Second})
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.status != 503 && a.status != 429 {
					return
				}
				time.Sleep(a.retryAfter)
			}
		})
		if (i+1)%greyAtOnce == 0 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	group.Wait()
	code, done := held, map[string]int{}
	for _, a := range all {
		for _, u := range c.list.runsOf(a.id) {
			if u.begun.IsZero() {
				continue
			}
			done[u.body]++
			if a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421 {
				code = broken
				r.line("REFUSED: %s was answered %d, and replica %s has run it", a.id, a.status, u.replica)
			}
		}
	}
	for body, n := range done {
		if n > 1 {
			r.line("%s was carried out %d times", body, n)
		}
	}
	if code == held {
		r.line("no request that has run was answered with a promise that it has not")
	}
	return code
}
