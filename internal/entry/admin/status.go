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

// askLimit bounds the question to one host. A host that takes longer is shown
// as not reached.
const askLimit = time.Second

// askMost bounds the hosts asked at the same time.
const askMost = 32

// status offers this host's state to other hosts.
type status struct{ frontend *Frontend }

// Report answers another host.
func (s *status) Report(_ *zinniapond.StatusRequest, answer *zinniapond.StatusReply) error {
	*answer = s.frontend.report(s.frontend.Clock())
	return nil
}

func (f *Frontend) report(now time.Time) zinniapond.StatusReply {
	view := f.Directory.View()
	return zinniapond.StatusReply{
		Host: f.Host, Index: view.Index, Version: view.Lists.Version,
		Fresh: f.Directory.Fresh(now), Age: now.Sub(f.Directory.Confirmed()), Declines: f.Detector.Declines(now),
	}
}

// hostStatus is one member with what it says of itself.
type hostStatus struct {
	zinniapond.Member
	Version zinniapond.Version `json:"version"`
	Index   zinniapond.Index   `json:"index"`
	Fresh   bool               `json:"fresh"`
	// Lags tells that the host has an older version than this host and still
	// takes requests under it or could not be asked.
	Lags     bool                 `json:"lags"`
	Problem  string               `json:"problem,omitempty"`
	Declines []zinniapond.Decline `json:"declines,omitempty"`
}

// shardStatus counts the shards by what is wrong with them.
type shardStatus struct {
	Total   int                         `json:"total"`
	Unowned []zinniapond.ShardID        `json:"unowned,omitempty"`
	Joining []zinniapond.ShardID        `json:"joining,omitempty"` // a replica catches up
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
	Host      zinniapond.HostName  `json:"host"`
	Leader    zinniapond.HostName  `json:"leader"`
	Index     zinniapond.Index     `json:"index"`
	Version   zinniapond.Version   `json:"version"`
	Fresh     bool                 `json:"fresh"`
	Confirmed time.Time            `json:"confirmed"`
	Lagging   []string             `json:"lagging"`
	Members   []hostStatus         `json:"members"`
	Shards    shardStatus          `json:"shards"`
	Plans     []planStatus         `json:"plans"`
	Declines  []zinniapond.Decline `json:"declines"`
}

func (f *Frontend) status(w http.ResponseWriter, r *http.Request) error {
	now := f.Clock()
	view := f.Directory.View()
	body := statusBody{
		Host: f.Host, Leader: view.Leader, Index: view.Index, Version: view.Lists.Version,
		Fresh: f.Directory.Fresh(now), Confirmed: f.Directory.Confirmed(), Lagging: []string{},
		Members: f.members(r.Context(), now, view), Shards: shards(view), Plans: plans(now, f.Directory.Catalog()),
		Declines: f.Detector.Declines(now),
	}
	for _, m := range body.Members {
		if m.Lags {
			body.Lagging = append(body.Lagging, string(m.Name))
		}
	}
	reply.Write(w, http.StatusOK, body)
	return nil
}

// members asks every member that should answer.
func (f *Frontend) members(ctx context.Context, now time.Time, view *zinniapond.ControlView) []hostStatus {
	list := make([]hostStatus, 0, len(view.Members))
	for _, m := range view.Members {
		list = append(list, hostStatus{Member: m})
	}
	slices.SortFunc(list, func(a, b hostStatus) int { return cmp.Compare(a.Name, b.Name) })
	var group errgroup.Group
	group.SetLimit(askMost)
	for i := range list {
		h := &list[i]
		if h.State == zinniapond.MemberLeft {
			continue
		}
		group.Go(func() error {
			f.ask(ctx, now, h)
			h.Lags = h.Version < view.Lists.Version || h.Problem != ""
			return nil
		})
	}
	_ = group.Wait() // problems are kept with the hosts
	return list
}

func (f *Frontend) ask(ctx context.Context, now time.Time, h *hostStatus) {
	answer := f.report(now)
	if h.Name != f.Host {
		ctx, cancel := context.WithTimeout(ctx, askLimit)
		defer cancel()
		answer = zinniapond.StatusReply{}
		if err := f.Peers.Call(ctx, h.Peers, "Status.Report", &zinniapond.StatusRequest{Sender: f.Host}, &answer); err != nil {
			h.Problem = err.Error()
			return
		}
	}
	h.Version, h.Index, h.Fresh, h.Declines = answer.Version, answer.Index, answer.Fresh, answer.Declines
}

func shards(view *zinniapond.ControlView) shardStatus {
	s := shardStatus{Total: view.Shards, Owners: make(map[zinniapond.HostName]int)}
	for n := range view.Shards {
		id := zinniapond.ShardID(n)
		a, ok := view.Assignments[id]
		if !ok || a.Owner == "" {
			s.Unowned = append(s.Unowned, id)
			continue
		}
		s.Owners[a.Owner]++
		if a.Joining != "" {
			s.Joining = append(s.Joining, id)
		}
	}
	return s
}

func plans(now time.Time, catalog *zinniapond.Catalog) []planStatus {
	list := []planStatus{}
	if catalog == nil {
		return list
	}
	for _, p := range catalog.Plans {
		s := planStatus{
			Name: p.Name, Class: p.Class, Weight: p.Weight, Budget: p.Budget, Window: p.Window.String(),
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
