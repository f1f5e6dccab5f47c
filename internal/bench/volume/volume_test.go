package volume

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// span is the time for which bytes are counted.
const span = 10 * time.Second

// rates are bytes per second. How many fronts report to the leader is random, as any
// control host may become the leader, so that the busiest host differs from run to run
// where log and mean do not.
type rates struct {
	busiest float64 // of the busiest control host
	mean    float64 // of all control hosts
	log     float64 // of the leader, for the control log
}

// measure counts the bytes of each control host and logs the largest kinds of messages
// at the busiest one.
func measure(t *testing.T, hostCount, replicaCount int) (r rates) {
	withCluster(t, hostCount, replicaCount, func(c *cluster) {
		time.Sleep(3 * time.Second)
		c.network.reset()
		time.Sleep(span)
		var largest []volume
		for _, h := range c.control {
			sum, volumes := c.network.rank(h.address)
			rate := float64(sum) / span.Seconds()
			if rate > r.busiest {
				r.busiest, largest = rate, volumes
			}
			r.mean += rate / controlHosts
			r.log = max(r.log, logRate(volumes))
		}
		t.Logf("%d hosts, %d replicas: busiest %.0f, mean %.0f, control log at the leader %.0f bytes/s", hostCount, replicaCount, r.busiest, r.mean, r.log)
		for _, v := range largest {
			t.Logf("%10.0f bytes/s %s", float64(v.bytes)/span.Seconds(), v.kind)
		}
		c.platform.stop()
		c.await("the same list at all hosts", c.haveSameList)
	})
	return r
}

// logRate returns the bytes per second of the messages of the control log.
func logRate(volumes []volume) (rate float64) {
	for _, v := range volumes {
		if strings.HasPrefix(v.kind, "Control.") {
			rate += float64(v.bytes) / span.Seconds()
		}
	}
	return rate
}

// exponent returns the power of the number of hosts by which a rate grows.
func exponent(hosts, otherHosts int, rate, otherRate float64) float64 {
	return math.Log(otherRate/rate) / math.Log(float64(otherHosts)/float64(hosts))
}

func TestVolume(t *testing.T) {
	// maxPerHost bounds the bytes per second of the busiest control host for each host.
	const maxPerHost = 2_000
	measured := make(map[int]rates)
	for _, size := range []struct{ hosts, replicas int }{{30, 48}, {100, 160}, {300, 480}} {
		t.Run(fmt.Sprintf("guards against a message to each host that grows with the replicas, hosts=%d", size.hosts), func(t *testing.T) {
			r := measure(t, size.hosts, size.replicas)
			assert.True(t, r.busiest < maxPerHost*float64(size.hosts), "%.0f bytes/s", r.busiest)
			measured[size.hosts] = r
		})
	}
	t.Run("guards against traffic that grows faster than the number of hosts", func(t *testing.T) {
		mean := exponent(30, 300, measured[30].mean, measured[300].mean)
		log := exponent(30, 300, measured[30].log, measured[300].log)
		t.Logf("exponent of the mean %.2f, of the control log %.2f", mean, log)
		assert.True(t, mean <= 1 && log <= 1, "exponent above 1")
	})
}
