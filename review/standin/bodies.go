package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is just below the maxBodyBytes of the configuration.
	bodyBytes = 4_190_000
	// linkBytes is what the link of a front takes in a second: 1,000 Mbit.
	linkBytes = 125_000_000
	// bodyConsumers is the number of consumers that come at once. The sheet has up to 20
	// consumers in a zone, and bursts of 2.1 times the traffic.
	bodyConsumers = 32
)

// link is a link that is shared by several senders.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// write writes in small parts, no faster than the link.
func (l *link) write(c *channel, data []byte) error {
	const part = 16 << 10
	for len(data) > 0 {
		n := min(part, len(data))
		l.mu.Lock()
		if now := time.Now(); l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(n) * time.Second / linkBytes)
		wait := time.Until(l.free)
		l.mu.Unlock()
		time.Sleep(wait)
		if _, err := c.conn.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func init() { scenarios["bodies"] = playBodies }

// playBodies keeps ordinary requests under way at a front when many consumers come at
// once with large bodies. Without the disruption these come one after the other.
func playBodies(w *world) (bool, error) {
	if err := w.startDeployment(configurationText(60), 3, 5); err != nil {
		return false, err
	}
	front := w.class("front")[0]
	load, err := w.startOrders(front)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	shared := new(link)
	body := strings.Repeat("0123456789", bodyBytes/10)
	w.add("%d consumers send an order of %d bytes each", bodyConsumers, bodyBytes)
	var group sync.WaitGroup
	for range bodyConsumers {
		if !w.trouble {
			w.sendLarge(front, shared, body)
			continue
		}
		group.Go(func() { w.sendLarge(front, shared, body) })
	}
	group.Wait()
	return load.countLost(front) > 3, nil
}

func (w *world) sendLarge(m *machine, shared *link, body string) {
	id := newID()
	q := request{method: http.MethodPost, path: "/dero117/4b", body: body, timeout: 2 * time.Second}
	a := answer{id: id}
	c, err := dial(m)
	if err == nil {
		defer c.close()
		_ = c.conn.SetDeadline(time.Now().Add(q.timeout))
		if err = shared.write(c, encode(id, q)); err == nil {
			a = c.read(id, q)
		}
	}
	if err != nil {
		a.err = err
	}
	w.add("large order: attempt %s: %s, runs at replicas %d", id, a, len(w.provider.runsOf(id)))
}
