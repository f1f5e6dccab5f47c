package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["sameinput"] = showSameInput }

const (
	bystanders = 4
	// sameInput is the new input of turns of several programs.
	sameInput = `{"role":"user","content":"go on"}`
	// programAim is the time objective of the programs.
	programAim = 60 * time.Second
)

const sameInputConfiguration = `{"version":1,"routes":[
 {"name":"t","host":"rules.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":1,"retentionEnabled":true,"retentionS":60.0,"sticky":true,"resumable":false}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// program is an agent program with its last whole turn.
type program struct {
	name, previous string
	tries, reached int
	firstTry       time.Time
	done           bool
}

// sendTurn sends a turn like a consumer: one retry after a refusal, and the turn again at
// most twice. It counts the tries and those that have reached a replica.
func (c *cluster) sendTurn(p *program, input string) bool {
	fronts := c.ofRole("front")
	for round := range 3 {
		left := 4 * time.Second
		for retry := range 2 {
			a := &attempt{
				id: newID("turn"), path: "/t/x", body: input, program: p.name, session: p.name + "s", previous: p.previous, finish: programAim,
				budget: 100000, maxTokens: 640, deadline: left,
			}
			if p.firstTry.IsZero() {
				p.firstTry = time.Now()
			}
			begun := time.Now()
			c.send(fronts[(round+retry)%len(fronts)], a)
			p.tries++
			if len(c.list.runsOf(a.id)) > 0 {
				p.reached++
			}
			if a.status == 200 && a.complete {
				p.previous, p.done = a.id, true
				return true
			}
			if a.status != 503 && a.status != 429 {
				break // only a refusal promises that the turn has not run
			}
			left -= time.Since(begun)
			pause := min(a.retryAfter, left/3)
			time.Sleep(pause)
			left -= pause
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// showSameInput crashes two replicas at which turns of two programs run whose new inputs are
// the same. Turns of other programs with that input have to reach a replica later.
func showSameInput(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 4, 2)
	defer c.stopAll()
	newReplica := func() *replica {
		return &replica{service: engineService, slots: 8, work: func(*run) []time.Duration { return repeat(20, 50*time.Millisecond) }}
	}
	byID := make(map[string]*replica)
	for range 14 {
		p := newReplica()
		c.list.add(p)
		byID[p.id] = p
	}
	c.startAll(sameInputConfiguration)
	front := c.ofRole("front")[0]
	var programs []*program
	var group sync.WaitGroup
	for i := range 2 + bystanders {
		p := &program{name: fmt.Sprintf("program%d", i+1)}
		programs = append(programs, p)
		group.Go(func() { c.sendTurn(p, fmt.Sprintf("question %d", i+1)) })
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	// The first two programs are ones whose conversations are at different replicas.
	home := func(p *program) string { return c.list.runsOf(p.previous)[0].replica }
	for i, p := range programs {
		if !p.done {
			r.line("a first turn failed before the disruption")
			return failed
		}
		if home(p) != home(programs[0]) {
			programs[1], programs[i] = programs[i], programs[1]
			break
		}
	}
	// The turns of the first two programs run at two replicas.
	var running []*attempt
	for _, p := range programs[:2] {
		a := &attempt{id: newID("turn"), path: "/t/x", body: sameInput, program: p.name, session: p.name + "s", previous: p.previous, finish: programAim, budget: 100000, maxTokens: 640, deadline: 4 * time.Second}
		running = append(running, a)
		group.Go(func() { c.send(front, a) })
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(350 * time.Millisecond)
	places := make(map[string]bool)
	for _, a := range running {
		for _, u := range c.list.runsOf(a.id) {
			places[u.replica] = true
		}
	}
	if len(places) != 2 {
		r.line("the two turns run at %d replicas", len(places))
		return failed
	}
	var addresses []string
	if trouble {
		for id := range places {
			addresses = append(addresses, byID[id].address)
			byID[id].crash(3 * time.Second)
		}
	}
	crashed := time.Now()
	group.Wait()
	for _, p := range programs[:2] {
		group.Go(func() {
			time.Sleep(300 * time.Millisecond)
			c.sendTurn(p, sameInput)
		})
	}
	time.Sleep(time.Until(crashed.Add(5 * time.Second)))
	for _, a := range addresses {
		p := newReplica()
		c.list.addAt(p, a)
	}
	group.Wait()
	// The disruption is over. Nothing else happens for more than connectivityWindowMs.
	time.Sleep(time.Until(crashed.Add(10 * time.Second)))
	r.line("the disruption has been over for %s", time.Since(crashed)-5*time.Second)
	for _, p := range programs {
		p.tries, p.reached, p.done, p.firstTry = 0, 0, false, time.Time{}
		group.Go(func() { c.sendTurn(p, sameInput) })
	}
	var firsts []*program
	for i := range 10 {
		p := &program{name: fmt.Sprintf("new%d", i)}
		firsts = append(firsts, p)
		group.Go(func() { c.sendTurn(p, fmt.Sprintf("new question %d", i)) })
		time.Sleep(400 * time.Millisecond)
	}
	group.Wait()
	served := 0
	for _, p := range firsts {
		if p.reached > 0 {
			served++
		}
	}
	r.line("%d of %d first turns have reached a replica meanwhile; the replicas had 112 slots", served, len(firsts))
	code := held
	for _, p := range programs {
		if p.tries >= 5 && p.reached == 0 && served*10 >= len(firsts)*9 {
			code = broken
			r.line("LOST: the turn of %s, which continues a turn that was answered whole less than 60 s ago, has reached no replica in %d tries within %s", p.name, p.tries, time.Since(p.firstTry).Round(time.Millisecond))
		}
	}
	if code == held {
		r.line("each turn has reached a replica")
	}
	return code
}
