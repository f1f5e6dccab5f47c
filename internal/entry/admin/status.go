package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/entry/reply"
)

// reportTimeout bounds the status request to one host. A slower host is listed
// with the error.
const reportTimeout = time.Second

// maxConcurrentReports bounds the status requests in flight.
const maxConcurrentReports = 32

// statusService answers the status requests of other hosts.
type statusService struct{ frontend *Frontend }

// Report sets answer to the state of this host. Front ends of other hosts call
// it for GET /v1/status.
func (s *statusService) Report(_ *zinniapond.StatusRequest, answer *zinniapond.StatusReply) error {
	*answer = s.frontend.report(s.frontend.Clock())
	return nil
}

func (f *Frontend) report(now time.Time) zinniapond.StatusReply {
	view := f.Directory.View()
	return zinniapond.StatusReply{
		Host: f.Host, Index: view.Index, Version: view.Lists.Version,
		LeaseValid: f.Directory.LeaseValid(now), StateAge: now.Sub(f.Directory.ConfirmedAt()), Degradations: f.Detector.Degradations(now),
	}
}

// hostStatus is a member of the control state with the state that the host
// itself reported.
type hostStatus struct {
	zinniapond.Member
	Version    zinniapond.Version `json:"version"`
	Index      zinniapond.Index   `json:"index"`
	LeaseValid bool               `json:"fresh"`
	// Lags is set if the host has an older version of the lists than this host,
	// under which it may still admit requests, or if it did not answer.
	Lags         bool                     `json:"lags"`
	Problem      string                   `json:"problem,omitempty"`
	Degradations []zinniapond.Degradation `json:"declines,omitempty"`
}

// shardStatus lists the shards without an owner and those with a joining
// replica, and counts the shards of each owner.
type shardStatus struct {
	Total   int                         `json:"total"`
	Unowned []zinniapond.ShardID        `json:"unowned,omitempty"`
	Joining []zinniapond.ShardID        `json:"joining,omitempty"` // a joining replica is catching up
	Owners  map[zinniapond.HostName]int `json:"owners"`
}

// planStatus is one plan in force.
type planStatus struct {
	Name      zinniapond.PlanName   `json:"name"`
	Class     zinniapond.Class      `json:"class"`
	Weight    int                   `json:"weight"`
	Budget    zinniapond.Tokens     `json:"budget"`
	Window    string                `json:"window"`
	Models    []zinniapond.PoolName `json:"models"`
	Services  []zinniapond.PoolName `json:"services"`
	Customers int                   `json:"customers"`
	Expired   int                   `json:"expired"`
}

// statusBody is the answer to GET /v1/status.
type statusBody struct {
	Host         zinniapond.HostName      `json:"host"`
	Leader       zinniapond.HostName      `json:"leader"`
	Index        zinniapond.Index         `json:"index"`
	Version      zinniapond.Version       `json:"version"`
	LeaseValid   bool                     `json:"fresh"`
	ConfirmedAt  time.Time                `json:"confirmed"`
	Lagging      []string                 `json:"lagging"`
	Members      []hostStatus             `json:"members"`
	Shards       shardStatus              `json:"shards"`
	Plans        []planStatus             `json:"plans"`
	Degradations []zinniapond.Degradation `json:"declines"`
}

func (f *Frontend) sendStatus(w http.ResponseWriter, r *http.Request) error {
	now := f.Clock()
	view := f.Directory.View()
	body := statusBody{
		Host: f.Host, Leader: view.Leader, Index: view.Index, Version: view.Lists.Version,
		LeaseValid: f.Directory.LeaseValid(now), ConfirmedAt: f.Directory.ConfirmedAt(), Lagging: []string{},
		Members: f.queryMembers(r.Context(), now, view), Shards: summariseShards(view), Plans: summarisePlans(now, f.Directory.Catalog()),
		Degradations: f.Detector.Degradations(now),
	}
	for _, m := range body.Members {
		if m.Lags {
			body.Lagging = append(body.Lagging, string(m.Name))
		}
	}
	reply.WriteJSON(w, http.StatusOK, body)
	return nil
}

// queryMembers returns the status of all members. It queries, in parallel, each
// member that has not left.
func (f *Frontend) queryMembers(ctx context.Context, now time.Time, view *zinniapond.ControlView) []hostStatus {
	list := make([]hostStatus, 0, len(view.Members))
	for _, m := range view.Members {
		list = append(list, hostStatus{Member: m})
	}
	slices.SortFunc(list, func(a, b hostStatus) int { return cmp.Compare(a.Name, b.Name) })
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for i := range list {
		h := &list[i]
		if h.State == zinniapond.MemberLeft {
			continue
		}
		group.Go(func() error {
			f.queryMember(ctx, now, h)
			h.Lags = h.Version < view.Lists.Version || h.Problem != ""
			return nil
		})
	}
	_ = group.Wait() // errors are kept in Problem
	return list
}

// queryMember sets the reported state of one member, or its Problem. The own
// host is not queried over the network.
func (f *Frontend) queryMember(ctx context.Context, now time.Time, h *hostStatus) {
	answer := f.report(now)
	if h.Name != f.Host {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		answer = zinniapond.StatusReply{}
		if err := f.Peers.Call(ctx, h.PeersAddress, "Status.Report", &zinniapond.StatusRequest{Sender: f.Host}, &answer); err != nil {
			h.Problem = err.Error()
			return
		}
	}
	h.Version, h.Index, h.LeaseValid, h.Degradations = answer.Version, answer.Index, answer.LeaseValid, answer.Degradations
}

func summariseShards(view *zinniapond.ControlView) shardStatus {
	s := shardStatus{Total: view.Shards, Owners: make(map[zinniapond.HostName]int)}
	for n := range view.Shards {
		id := zinniapond.ShardID(n)
		a, ok := view.Assignments[id]
		if !ok || a.Owner == "" {
			s.Unowned = append(s.Unowned, id)
			continue
		}
		s.Owners[a.Owner]++
		if a.JoiningReplica != "" {
			s.Joining = append(s.Joining, id)
		}
	}
	return s
}

func summarisePlans(now time.Time, catalog *zinniapond.Catalog) []planStatus {
	list := []planStatus{}
	if catalog == nil {
		return list
	}
	for _, p := range catalog.Plans {
		s := planStatus{
			Name: p.Name, Class: p.Class, Weight: p.Weight, Budget: p.Budget, Window: p.BudgetWindow.String(),
			Models: p.Models, Services: p.Services, Customers: len(p.Customers),
		}
		for _, c := range p.Customers {
			if !c.Expires.IsZero() && !now.Before(c.Expires) {
				s.Expired++
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b planStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
