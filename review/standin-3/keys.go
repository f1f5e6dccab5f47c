package main

import (
	"fmt"
	"time"
)

func init() { cases["keys"] = showKeys }

const keysConfiguration = `{"version":%d,"routes":[
 {"name":"t","host":"rules.example","pathPrefix":"/t/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"targetGapMs":400,"priority":0,"service":"engines","maxAttempts":1,"retentionEnabled":true,"retentionS":60.0,"sticky":true,"resumable":false}],
 "services":[{"name":"engines","healthCheckPath":"/health","connectionLimit":200,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":1000000,"kvTokenBytes":18432,"linkMbps":1500000.0,"moves":false,"backups":false,"tokensPerEvent":16,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],%s
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const keysTenants = `
 "tenants":[{"name":"yard","apiKeys":["key-yard"],"priority":0},{"name":"office","apiKeys":["key-office"],"priority":0}],`

// showKeys introduces keys of tenants while programs are under way.
func showKeys(repository string, r *recorder) int {
	c := newCluster(repository, r, 3, 3, 2)
	c.revoke = true
	defer c.stopAll()
	for range 4 {
		c.list.add(&replica{service: engineService, slots: 8, work: func(*run) []time.Duration { return repeat(20, 10*time.Millisecond) }})
	}
	c.startAll(fmt.Sprintf(keysConfiguration, 1, ""))
	fronts := c.ofRole("front")
	const turnTokens, budget = 20 * tokensPerEvent, 2 * 20 * tokensPerEvent
	turn := func(program, previous, key string, budget int) *attempt {
		return c.send(fronts[0], &attempt{id: newID("turn"), path: "/t/x", body: "input of " + program, program: program, session: program + "s", previous: previous,
			key: key, finish: time.Minute, budget: budget, maxTokens: turnTokens, deadline: 4 * time.Second})
	}
	var programs []string
	previous := make(map[string]*attempt)
	for i := range 4 {
		p := fmt.Sprintf("program%d", i+1)
		programs = append(programs, p)
		previous[p] = turn(p, "", "", 100*turnTokens)
		if !previous[p].complete || previous[p].status != 200 {
			r.line("a first turn failed")
			return failed
		}
	}
	handed := 0
	spend := func(key string) {
		for range 3 {
			if a := turn("spender", "", key, budget); a.status == 200 {
				handed += len(a.events) * tokensPerEvent
			}
		}
	}
	spend("")
	key, tenants := "", ""
	if trouble {
		key, tenants = "key-yard", keysTenants
	}
	if c.putConfiguration(fmt.Sprintf(keysConfiguration, 2, tenants)) != 200 {
		r.line("the second configuration was not accepted")
		return failed
	}
	r.line("version 2 is confirmed; tenants: %t", trouble)
	time.Sleep(2 * configApplyMs * time.Millisecond)
	code := held
	for _, p := range programs {
		if a := turn(p, previous[p].id, key, 100*turnTokens); a.status == 404 || a.status == 410 {
			code = broken
			r.line("LOST: %s, which continues %s, was answered %d; that turn was answered whole %s before", a.id, previous[p].id, a.status, a.sentAt.Sub(previous[p].endedAt).Round(time.Millisecond))
		}
	}
	spend(key)
	if handed > budget+turnTokens {
		code = broken
		r.line("BUDGET: %d tokens were handed out in the turns of the program spender; its budget is %d and one turn generates %d at most", handed, budget, turnTokens)
	}
	if code == held {
		r.line("all turns were found, and %d tokens were handed out of a budget of %d", handed, budget)
	}
	return code
}
