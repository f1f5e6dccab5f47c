package main

import (
	"sync"
	"time"
)

func init() { cases["takeup"] = showTakeUp }

const (
	// longEvents and longPause make streams of 3 s.
	longEvents  = 30
	longPause   = 100 * time.Millisecond
	brokenCount = 20
	// takeUpTries is the number of tries of each consumer to take its stream up.
	takeUpTries = 5
)

const takeUpConfiguration = `{"version":1,"routes":[
 {"name":"s","host":"rules.example","pathPrefix":"/s/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":2,"retentionEnabled":false,"sticky":true,"resumable":true}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":32,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// showTakeUp kills a front while a replica of a second software version has just been added.
// The consumers take their streams up at another front; replicas of the version that began
// them are ready all the time.
func showTakeUp(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 2)
	defer c.stopAll()
	add := func(version string) {
		c.list.add(&replica{service: engineService, version: version, slots: 32, work: func(*run) []time.Duration { return repeat(longEvents, longPause) }})
	}
	for range 4 {
		add("v1")
	}
	c.startAll(takeUpConfiguration)
	first, second := c.ofRole("front")[0], c.ofRole("front")[1]
	newStream := func() *attempt {
		return &attempt{id: newID("stream"), path: "/s/x", body: "prompt", maxTokens: tokensPerEvent * longEvents, deadline: 10 * time.Second}
	}
	var streams []*attempt
	var group sync.WaitGroup
	for range brokenCount {
		a := newStream()
		streams = append(streams, a)
		group.Go(func() { c.send(first, a) })
	}
	time.Sleep(300 * time.Millisecond)
	// A replica of the next version starts. None of the old ones drains yet.
	if trouble {
		add("v2")
	}
	time.Sleep(1700 * time.Millisecond)
	c.kill(first)
	group.Wait()
	taken, goneOn, begun, served := 0, 0, 0, 0
	var mu sync.Mutex
	for _, a := range streams {
		if a.complete || a.lastID == "" {
			continue
		}
		group.Go(func() {
			ok := false
			for range takeUpTries {
				b := newStream()
				b.lastEventID, b.resumes = a.lastID, a.id
				c.send(second, b)
				if b.status == 200 && b.complete && len(a.events)+len(b.events) == longEvents {
					ok = true
					break
				}
				time.Sleep(max(300*time.Millisecond, b.retryAfter))
			}
			mu.Lock()
			defer mu.Unlock()
			taken++
			if ok {
				goneOn++
			}
		})
		// A new stream at the same front for each.
		group.Go(func() {
			b := c.send(second, newStream())
			mu.Lock()
			defer mu.Unlock()
			begun++
			if b.status == 200 && b.complete {
				served++
			}
		})
	}
	group.Wait()
	versions := map[string]int{}
	for _, p := range c.list.members {
		versions[p.version]++
	}
	r.line("%d streams were taken up at a front in touch, %d of them went on; %d of %d new streams began; %d replicas of v1 and %d of v2 serve", taken, goneOn, served, begun, versions["v1"], versions["v2"])
	if taken < 12 {
		r.line("fewer than 12 streams were taken up")
		return failed
	}
	if goneOn*begun*2 < served*taken {
		r.line("LOST: the share of the streams that go on is under half of the share of the new streams that begin")
		return broken
	}
	return held
}
