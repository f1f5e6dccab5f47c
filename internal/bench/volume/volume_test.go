package volume

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// span is the time for which bytes are counted.
const span = 10 * time.Second

// measure returns the bytes per second of each control host, in ascending order, and
// logs the largest kinds of messages at the busiest one.
func measure(t *testing.T, hostCount, replicaCount int) (rates []int) {
	withCluster(t, hostCount, replicaCount, func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.network.reset()
		time.Sleep(span)
		busiest, sum := c.control[0], 0
		for _, h := range c.control {
			bytes, _ := c.network.rank(h.address)
			if rates = append(rates, bytes/int(span.Seconds())); bytes > sum {
				busiest, sum = h, bytes
			}
		}
		slices.Sort(rates)
		_, volumes := c.network.rank(busiest.address)
		t.Logf("%d hosts, %d replicas: control hosts %v bytes/s; busiest is the leader: %t", hostCount, replicaCount, rates, busiest == c.leader())
		for _, v := range volumes {
			t.Logf("%10d bytes/s %s", v.bytes/int(span.Seconds()), v.kind)
		}
	})
	return rates
}

func TestVolume(t *testing.T) {
	for _, size := range []struct{ hosts, replicas int }{{30, 48}, {100, 160}, {300, 480}} {
		t.Run(fmt.Sprintf("hosts=%d", size.hosts), func(t *testing.T) {
			measure(t, size.hosts, size.replicas)
		})
	}
}
