package main

import "time"

// malformedPrefix has a part of a prompt with an impossible number of tokens.
const malformedPrefix = "5c1e07a2:800,91bd3f06:9223372036854775807"

func init() { scenarios["prefix"] = playPrefix }

// playPrefix keeps requests of consumers under way at a front when one request arrives
// there whose list of prompt parts is malformed.
func playPrefix(w *world) (bool, error) {
	if err := w.startDeployment(configurationText(60), 3, 5); err != nil {
		return false, err
	}
	front := w.class("front")[0]
	load, err := w.startOrders(front)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	q := newProgram().turnRequest("input\n", "")
	if w.trouble {
		q.fields["X-Prompt-Prefix"] = malformedPrefix
	}
	w.add("a turn is sent with X-Prompt-Prefix: %s", q.fields["X-Prompt-Prefix"])
	a := w.attempt(front, q)
	w.add("the turn: attempt %s: %s, runs at replicas %d", a.id, a, len(w.provider.runsOf(a.id)))
	return load.countLost(front) > 3, nil
}
