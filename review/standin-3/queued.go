package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["queued"] = showQueued }

// Times of the case queued. A replica that is not slow takes 0.8 s for a stream.
const (
	queuedReplicas = 7
	queuedSlots    = 2
	streamEvents   = 10
	eventPause     = 80 * time.Millisecond
	// slowness is how many times as long the slow replica works.
	slowness = 4
	// overlap is the time after which a replica may not work on a request any more that has
	// gone on at another one.
	overlap = 400 * time.Millisecond
)

const queuedConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"rules.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":2,"retentionEnabled":false,"sticky":true,"resumable":true}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":2,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// showQueued sends streams to replicas of which one turns slow, so that a request waits in
// its queue. One that is given up there and goes on elsewhere may not run there as well.
func showQueued(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 1)
	defer c.stopAll()
	var replicas []*replica
	var slow sync.Map // ids of slow replicas
	for i := range queuedReplicas {
		// Most replicas drop a request when its connection closes; the first one does not.
		p := &replica{service: engineService, slots: queuedSlots, keepsClosed: i == 0}
		p.work = func(u *run) []time.Duration {
			if _, isSlow := slow.Load(u.replica); isSlow {
				return repeat(streamEvents, slowness*eventPause)
			}
			return repeat(streamEvents, eventPause)
		}
		c.list.add(p)
		replicas = append(replicas, p)
	}
	c.startAll(queuedConfiguration)
	front := c.ofRole("front")[0]
	for round := range 2 {
		if trouble {
			slow.Store(replicas[0].id, true)
			r.line("replica %s turns slow, %d times", replicas[0].id, slowness)
		}
		var group sync.WaitGroup
		for range queuedReplicas * (queuedSlots + 1) {
			a := &attempt{id: newID("stream"), path: "/s/x", body: "prompt", maxTokens: tokensPerEvent * streamEvents, deadline: 4 * time.Second}
			group.Go(func() { c.send(front, a) })
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(time.Second)
		slow.Delete(replicas[0].id)
		r.line("replica %s is as fast as before; round %d ends", replicas[0].id, round+1)
		time.Sleep(time.Second)
	}
	return judgeQueued(c, r)
}

// judgeQueued looks for requests that went on at a replica while another one still worked
// on them after overlap.
func judgeQueued(c *cluster, r *recorder) int {
	code := held
	seen := make(map[string]bool)
	for _, u := range append([]*run(nil), c.list.runs...) {
		if seen[u.attempt] {
			continue
		}
		seen[u.attempt] = true
		runs := c.list.runsOf(u.attempt)
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				if first.replica == second.replica || first.begun.IsZero() || second.begun.IsZero() {
					continue
				}
				late := second.begun.Add(overlap)
				if first.ended.After(late) && second.ended.After(first.begun) {
					code = broken
					r.line("TWICE: %s went on at %s at %s; %s worked on it from %s to %s", u.attempt, second.replica, at(r, second.begun), first.replica, at(r, first.begun), at(r, first.ended))
				}
			}
		}
	}
	if code == held {
		r.line("no request went on at a replica while another one still worked on it")
	}
	return code
}

func at(r *recorder, t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds()) }
