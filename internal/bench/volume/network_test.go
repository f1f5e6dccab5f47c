package volume

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

var errSilent = errors.New("no answer")

// latency is the time that a message takes between two hosts.
const latency = time.Millisecond

// network carries the calls between the hosts of a cluster, encoded as on a connection,
// and counts the bytes at each host by kind of message.
type network struct {
	mu      sync.Mutex
	control map[netip.AddrPort]*controlHost
	silent  map[netip.AddrPort]bool // hosts that have lost power
	volumes map[netip.AddrPort]map[string]int
	calls   sync.WaitGroup // calls in progress
}

// endpoint is the network as one host uses it.
type endpoint struct {
	network *network
	address netip.AddrPort
}

// Call implements zinniapond.Peers. A host without power neither answers nor refuses.
func (e endpoint) Call(ctx context.Context, peer netip.AddrPort, method string, request, reply any) error {
	done := make(chan error, 1)
	e.network.calls.Go(func() { done <- e.network.call(e.address, peer, method, request, reply) })
	select {
	case err := <-done:
		if !errors.Is(err, errSilent) {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *network) isSilent(hosts ...netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(hosts, func(a netip.AddrPort) bool { return n.silent[a] })
}

func (n *network) call(from, to netip.AddrPort, method string, request, reply any) error {
	n.mu.Lock()
	h := n.control[to]
	n.mu.Unlock()
	if h == nil || n.isSilent(from, to) {
		return errSilent
	}
	var err error
	switch q := request.(type) {
	case zinniapond.FetchRequest:
		err = deliver(n, from, to, method, q, h.voter.Fetch, reply.(*zinniapond.FetchReply))
	case zinniapond.VoteRequest:
		err = deliver(n, from, to, method, q, h.voter.Vote, reply.(*zinniapond.VoteReply))
	case zinniapond.ProposeRequest:
		err = deliver(n, from, to, method, q, h.voter.Propose, reply.(*zinniapond.ProposeReply))
	case zinniapond.LoadsRequest:
		err = deliver(n, from, to, method, q, h.loads.Exchange, reply.(*zinniapond.LoadsReply))
	default:
		err = fmt.Errorf("no method %s", method)
	}
	return err
}

// deliver calls a method with encoded and decoded copies of its request and reply.
func deliver[Q, A any](n *network, from, to netip.AddrPort, method string, request Q, serve func(Q, *A) error, reply *A) error {
	var received Q
	if err := n.transfer(from, to, method+describe(request, nil), request, &received); err != nil {
		return err
	}
	served := new(A)
	if err := serve(received, served); err != nil {
		return err
	}
	return n.transfer(to, from, method+describe(request, served), served, reply)
}

func (n *network) transfer(from, to netip.AddrPort, kind string, message, copied any) error {
	time.Sleep(latency)
	if n.isSilent(from, to) {
		return errSilent
	}
	data, err := codec.Marshal(message)
	if err != nil {
		return err
	}
	n.mu.Lock()
	for _, host := range []netip.AddrPort{from, to} {
		if n.volumes[host] == nil {
			n.volumes[host] = make(map[string]int)
		}
		n.volumes[host][kind] += len(data)
	}
	n.mu.Unlock()
	return codec.Unmarshal(data, copied)
}

// describe returns the kind of a request, or of the reply to it.
func describe(request, reply any) string {
	sender := " of a host"
	switch q := request.(type) {
	case zinniapond.FetchRequest:
		if q.Disk != "" {
			sender = " of a voter"
		}
	case zinniapond.LoadsRequest:
		if q.Relayed {
			sender = " of a control host"
		}
	}
	switch a := reply.(type) {
	case nil:
		return sender
	case *zinniapond.FetchReply:
		switch {
		case a.Snapshot != nil:
			return sender + ": snapshot"
		case len(a.Entries) > 0:
			return sender + ": records"
		}
	}
	return sender + ": reply"
}

// reset begins a new count.
func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.volumes = make(map[netip.AddrPort]map[string]int)
}

// volume is the number of bytes of one kind of message that a host sends and receives.
type volume struct {
	kind  string
	bytes int
}

// rank returns the volumes of a host, the largest first, and their sum.
func (n *network) rank(host netip.AddrPort) (sum int, volumes []volume) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for kind, bytes := range n.volumes[host] {
		sum += bytes
		volumes = append(volumes, volume{kind, bytes})
	}
	slices.SortFunc(volumes, func(a, b volume) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), strings.Compare(a.kind, b.kind))
	})
	return sum, volumes
}

// setSilent cuts or restores the power of a host. Its processes keep their state.
func (n *network) setSilent(host netip.AddrPort, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[host] = silent
}
