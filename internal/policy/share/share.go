// Package share divides the connections that a replica accepts from all hosts among the
// hosts. It performs no I/O. Each host decides by the number of hosts and the requests of
// all hosts at the replica, and without asking another host.
package share

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// usedShare is the share of a limit that is divided. The rest is for hosts that the
	// others do not know yet, for reports and for probes.
	usedShare = 0.9
	// queueRatio is the number of requests at a replica, as a multiple of its slots, from
	// which its queue is long. A replica accepts fewer connections then.
	queueRatio = 2
	// countMemory is the time for which a number of hosts must be lower before it counts.
	// A control host that has just started does not know all hosts.
	countMemory = 10 * time.Second
	// deviations is the number of standard deviations by which a random sum may exceed
	// its mean. At 4 one in 30,000 does.
	deviations = 4
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.ConnectionSharing, error) {
		return &Book{Host: k.Settings.Host}, nil
	})
}

// Book implements zinniapond.ConnectionSharing. Its exported fields are set before use.
type Book struct {
	// Host is the name of this host. It decides on the connections that are left after
	// an equal division.
	Host zinniapond.HostName

	mu    sync.Mutex
	count int // hosts; 0 if not known yet
	// lower is the highest of the numbers since lowerSince that are lower than count.
	lower      int
	lowerSince time.Time
}

var _ zinniapond.ConnectionSharing = (*Book)(nil)

// SetHostCount sets the number of hosts that send requests to the replicas. Zero means
// that it is unknown; the last known number then holds.
func (b *Book) SetHostCount(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case count <= 0:
	case count >= b.count:
		b.count, b.lower, b.lowerSince = count, 0, time.Time{}
	case b.lowerSince.IsZero():
		b.lower, b.lowerSince = count, now
	default:
		b.lower = max(b.lower, count)
		if now.Sub(b.lowerSince) >= countMemory {
			b.count, b.lower, b.lowerSince = b.lower, 0, time.Time{}
		}
	}
}

func (b *Book) hostCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// Share returns this host's share of the connections to a replica. With at least as many
// connections as hosts, each host has an equal share, and one more if it is drawn for
// those that are left. With fewer, half of the connections are kept while idle by the
// hosts that are drawn; any other host may open one for a request while the requests of
// all hosts use less than the other half.
func (b *Book) Share(_ time.Time, replica netip.AddrPort, use zinniapond.ConnectionUse) zinniapond.ConnectionShare {
	if use.Limit <= 0 {
		return zinniapond.ConnectionShare{}
	}
	hosts := b.hostCount()
	if hosts == 0 {
		return zinniapond.ConnectionShare{IsLimited: true, Open: 1, Idle: 1}
	}
	available := usedShare * float64(use.Limit)
	if long := queueRatio * use.Slots; long > 0 && use.Running > long {
		available *= float64(long) / float64(use.Running)
	}
	if equal := int(available) / hosts; equal > 0 {
		n := equal + b.draw(replica, available-float64(equal*hosts), hosts)
		return zinniapond.ConnectionShare{IsLimited: true, Open: n, Idle: n}
	}
	kept := b.draw(replica, available/2, hosts)
	opened := kept
	if float64(use.Running) < available/2 {
		opened = 1
	}
	return zinniapond.ConnectionShare{IsLimited: true, Open: opened, Idle: kept}
}

// draw returns 1 for as many of the hosts that their number rarely exceeds count, and 0
// for the others. It returns the same for the same replica each time.
func (b *Book) draw(replica netip.AddrPort, count float64, hosts int) int {
	// The number of hosts that are drawn has the mean m and at most the variance m:
	// m + deviations*sqrt(m) = count.
	root := math.Sqrt(deviations*deviations/4.0+count) - deviations/2.0
	text := replica.String() + " " + string(b.Host)
	if float64(xxhash.Sum64String(text)) < math.MaxUint64*root*root/float64(hosts) {
		return 1
	}
	return 0
}
