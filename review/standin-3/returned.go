package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["returned"] = showReturned }

const returnedConfiguration = `{"version":1,"routes":[
 {"name":"t","host":"rules.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":1,"retentionEnabled":true,"retentionS":60.0,"sticky":true,"resumable":false},
 {"name":"b","host":"rules.example","pathPrefix":"/b/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"others","maxAttempts":1,"retentionEnabled":true,"retentionS":60.0,"sticky":true,"resumable":false}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
 {"name":"others","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// lateTries is the number of tries of each late turn.
const lateTries = 6

// showReturned replaces the replicas of a service one after the other by new lifetimes under
// the same ids, while the replica list is down. Turns have to reach them afterwards.
func showReturned(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 2)
	defer c.stopAll()
	work := func(*run) []time.Duration { return repeat(10, 20*time.Millisecond) }
	var replicas []*replica
	for i := range 6 {
		p := &replica{service: pick(i < 2, engineService, "others"), slots: 8, work: work}
		c.list.add(p)
		replicas = append(replicas, p)
	}
	c.startAll(returnedConfiguration)
	turn := func(path, program, previous string, n int) *attempt {
		return c.send(c.ofRole("front")[n%2], &attempt{id: newID("turn"), path: path, body: "input", program: program, session: program, previous: previous, finish: time.Minute, budget: 1000000, maxTokens: 160, deadline: 4 * time.Second})
	}
	// Programs with a whole turn at the first service, and turns through both fronts.
	var whole []*attempt
	for i := range 10 {
		a := turn("/t/x", fmt.Sprintf("program%d", i), "", i)
		if a.status != 200 || !a.complete {
			r.line("a first turn failed before the disruption")
			return failed
		}
		whole = append(whole, a)
	}
	if trouble {
		c.list.setDown(true)
		for i, p := range replicas[:2] {
			p.drain()
			// Each front hands on answers of the replica, which say that it leaves.
			var sent sync.WaitGroup
			for n := range 8 {
				sent.Go(func() { turn("/t/x", newID("program"), "", n) })
			}
			time.Sleep(3500 * time.Millisecond)
			sent.Wait()
			p.crash(0)
			time.Sleep(500 * time.Millisecond)
			next := &replica{id: p.id, service: engineService, slots: 8, work: work}
			c.list.addAt(next, p.address)
			replicas[i] = next
			time.Sleep(time.Second)
		}
		c.list.setDown(false)
	}
	time.Sleep((connectivityMs + 2000) * time.Millisecond)
	r.line("all replicas are ready and idle, and the list is up")
	// First turns of other programs show that the fronts and most replicas serve.
	firsts, reached := 0, 0
	stop := make(chan struct{})
	var load, late sync.WaitGroup
	load.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			a := turn("/b/x", newID("program"), "", n)
			firsts++
			if len(c.list.runsOf(a.id)) > 0 {
				reached++
			}
		}
	})
	code := held
	var mu sync.Mutex
	for i, a := range whole {
		late.Go(func() {
			for n := range lateTries {
				b := turn("/t/x", fmt.Sprintf("program%d", i), a.id, i+n)
				if len(c.list.runsOf(b.id)) > 0 {
					return
				}
				time.Sleep(max(300*time.Millisecond, min(b.retryAfter, time.Second)))
			}
			mu.Lock()
			defer mu.Unlock()
			code = broken
			r.line("LOST: the turn after %s, which was answered whole %s before, has reached no replica in %d tries", a.id, time.Since(a.endedAt).Round(time.Second), lateTries)
		})
	}
	late.Wait()
	close(stop)
	load.Wait()
	r.line("%d of %d first turns have reached a replica meanwhile", reached, firsts)
	if reached*10 < firsts*9 {
		code = held
	}
	if code == held {
		r.line("the rule held")
	}
	return code
}
