package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent"] = showSilent }

const (
	usualEvents = 40
	usualPause  = 40 * time.Millisecond
	// learned is the number of usual streams before the stop.
	learned = 30
	// A silent stream sends silentEvents events and lastEvents more after a pause. It may
	// generate maxEvents, and ends sooner.
	silentEvents, lastEvents, maxEvents = 5, 3, 100
	// silence is shorter than the gap after which consumers abandon a stream: 3.2 s, which
	// is eight times the pause of the route.
	silence       = 1600 * time.Millisecond
	silentStreams = 6
)

const silentConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"rules.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":1,"retentionEnabled":false,"sticky":true,"resumable":false}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// showSilent stops a front as planned while replicas pause in streams that they complete
// within half of the time limit.
func showSilent(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 2)
	defer c.stopAll()
	for range 4 {
		c.list.add(&replica{service: engineService, slots: 8, work: func(u *run) []time.Duration {
			if strings.HasPrefix(u.attempt, "usual") {
				return repeat(usualEvents, usualPause)
			}
			pauses := repeat(silentEvents+lastEvents, usualPause)
			if trouble && strings.HasPrefix(u.attempt, "paused") {
				pauses[silentEvents] = silence
			} else if trouble {
				pauses[0] = silence
			}
			return pauses
		}})
	}
	c.startAll(silentConfiguration)
	front := c.ofRole("front")[0]
	newStream := func(kind string, events int) *attempt {
		return &attempt{id: newID(kind), path: "/s/x", body: "prompt", maxTokens: tokensPerEvent * events, deadline: 4 * time.Second}
	}
	var group sync.WaitGroup
	for range learned {
		group.Go(func() { c.send(front, newStream("usual", usualEvents)) })
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(connectivityMs * time.Millisecond)
	var list []*attempt
	for i := range silentStreams {
		// Half of them pause in the middle, the others before their first event.
		a := newStream(pick(i%2 == 0, "paused", "queued"), maxEvents)
		list = append(list, a)
		group.Go(func() { c.send(front, a) })
	}
	time.Sleep(300 * time.Millisecond)
	c.signal(front, syscall.SIGTERM)
	stopped := time.Now()
	group.Wait()
	code := held
	for _, a := range list {
		var work time.Duration
		for _, u := range c.list.runsOf(a.id) {
			work = u.ended.Sub(u.begun)
		}
		// The bound of the end of the replica's work is that of the last sixth of graceS.
		if !a.complete && a.endedAt.Sub(a.sentAt) < a.deadline && a.endedAt.Sub(stopped) < graceS*time.Second*5/6 {
			code = broken
			r.line("LOST: %s was passed on and its channel ended without a complete answer %s after it was sent and %s after SIGTERM; its time limit and its route's timeout are 4 s; the replica was at work for %s",
				a.id, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.endedAt.Sub(stopped).Round(time.Millisecond), work.Round(time.Millisecond))
		}
	}
	if code == held {
		r.line("no request was cut")
	}
	return code
}
