package admin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/files/lists"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fake implements the interfaces that the front end uses, apart from the
// scheduler's View.
type fake struct {
	zinniapond.Directory
	zinniapond.Scheduler
	view     *zinniapond.ControlView
	stale    bool
	commands []zinniapond.Command
	result   zinniapond.CommandResult
	err      error
}

func (f *fake) View() *zinniapond.ControlView { return f.view }
func (f *fake) LeaseValid(time.Time) bool     { return !f.stale }
func (f *fake) ConfirmedAt() time.Time        { return time.Unix(5, 0) }

func (f *fake) Catalog() *zinniapond.Catalog {
	c, _ := (&lists.Parser{}).Parse(f.view.Lists.Version, f.view.Lists.Plans, f.view.Lists.Usage)
	return c
}

func (f *fake) Degradations(time.Time) []zinniapond.Degradation {
	return []zinniapond.Degradation{{Subject: "plan yard", Reason: "slow"}}
}
func (f *fake) Observe(time.Time, string, time.Duration, time.Duration, bool) {}

func (f *fake) Propose(_ context.Context, _ time.Time, c zinniapond.Command) (zinniapond.CommandResult, error) {
	f.commands = append(f.commands, c)
	return f.result, f.err
}

// Call returns the status of host b, and an error for host c at port 3.
func (f *fake) Call(_ context.Context, peer netip.AddrPort, _ string, _, reply any) error {
	if peer.Port() == 3 {
		return zinniapond.Wrap("call", peer, errors.New("connection refused"))
	}
	*reply.(*zinniapond.StatusReply) = zinniapond.StatusReply{Host: "b", Version: 1, LeaseValid: true}
	return nil
}

// fakeScheduler is a fake with the scheduler's View method instead of the
// directory's.
type fakeScheduler struct{ *fake }

func (fakeScheduler) View(_ context.Context, _ time.Time, id zinniapond.ProgramID) (zinniapond.History, error) {
	if id != "p" {
		return zinniapond.History{}, zinniapond.ErrNotFound
	}
	return zinniapond.History{Program: zinniapond.Program{ID: id}}, nil
}

func serve(t *testing.T) (string, *fake) {
	member := func(name zinniapond.HostName, port uint16) zinniapond.Member {
		return zinniapond.Member{Name: name, State: zinniapond.MemberActive, PeersAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}
	}
	f := &fake{view: &zinniapond.ControlView{
		Index: 9, Leader: "a", Shards: 3,
		Lists:   zinniapond.Lists{Version: 2, Plans: "[plan yard]\nbudget = 1/1s\n"},
		Members: map[zinniapond.HostName]zinniapond.Member{"a": member("a", 1), "b": member("b", 2), "c": member("c", 3), "d": {Name: "d", State: zinniapond.MemberLeft}},
		Assignments: map[zinniapond.ShardID]zinniapond.Assignment{
			0: {Owner: "a"}, 1: {Owner: "b", JoiningReplica: "c"},
		},
	}}
	s := httptest.NewServer(&Frontend{
		Host: "a", OperatorHash: sha256.Sum256([]byte("op")), Scheduler: fakeScheduler{f}, Directory: f, Control: f,
		Detector: f, Peers: f, Clock: time.Now, Logger: hclog.NewNullLogger(),
	})
	t.Cleanup(s.Close)
	return s.URL, f
}

func send(t *testing.T, key, method, url, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	a, err := http.DefaultClient.Do(r)
	assert.NoError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	assert.NoError(t, err)
	return a.StatusCode, string(b)
}

const changeText = `{"expect":2,"change":"c1","plans":"[plan a]\nbudget = 1/1s\n","usage":""}`

func TestChange(t *testing.T) {
	url, f := serve(t)
	url += "/v1/lists"
	t.Run("guards against losing a field of the change", func(t *testing.T) {
		f.result = zinniapond.CommandResult{Accepted: true, Lists: zinniapond.Lists{Version: 3}}
		status, body := send(t, "op", "PUT", url, changeText)
		assert.Equal(t, status, 200)
		assert.Contains(t, body, `"version":3`)
		assert.Equal(t, f.commands, []zinniapond.Command{{
			Kind: zinniapond.CommandLists, ExpectedVersion: 2, ChangeID: "c1", Plans: "[plan a]\nbudget = 1/1s\n",
		}})
	})
	t.Run("guards against a conflict without the lists in force", func(t *testing.T) {
		f.result = zinniapond.CommandResult{Conflict: true, Lists: zinniapond.Lists{Version: 3, Plans: "theirs", Usage: "theirs too"}}
		status, body := send(t, "op", "PUT", url, changeText)
		assert.Equal(t, status, 409)
		for _, want := range []string{`"version":3,"plans":"theirs","usage":"theirs too"`, "made from version 2", "new change id"} {
			assert.Contains(t, body, want)
		}
	})
	t.Run("guards against reporting an unknown outcome as a refusal", func(t *testing.T) {
		f.err = zinniapond.ErrNoQuorum
		defer func() { f.err = nil }()
		status, body := send(t, "op", "PUT", url, changeText)
		assert.Equal(t, status, 503)
		assert.Contains(t, body, "may have been accepted; send it again with the same change id")
	})
	f.commands = nil
	for _, c := range []struct {
		name, key, body string
		status          int
		want            string
	}{
		{"no credential", "k1", changeText, 401, "operator-hash"},
		{"no JSON", "op", "[plan a]", 400, "decode change"},
		{"null", "op", "null", 400, "expect is missing"},
		{"two values", "op", changeText + "{}", 400, "more than one"},
		{"a misspelt field", "op", strings.Replace(changeText, "usage", "use", 1), 400, "unknown field"},
		{"no version", "op", strings.Replace(changeText, `"expect":2,`, "", 1), 400, "expect is missing"},
		{"a negative version", "op", strings.Replace(changeText, "2", "-2", 1), 400, "decode change"},
		{"no change id", "op", strings.Replace(changeText, "c1", "", 1), 400, "change id"},
		{"one text only", "op", strings.Replace(changeText, `,"usage":""`, "", 1), 400, "both texts"},
		{"faulty lists", "op", strings.Replace(changeText, "1/1s", "1", 1), 422, `"file":"plans.ini","line":2`},
	} {
		t.Run("guards against a change with "+c.name, func(t *testing.T) {
			status, body := send(t, c.key, "PUT", url, c.body)
			assert.Equal(t, status, c.status)
			assert.Contains(t, body, c.want)
			assert.Equal(t, len(f.commands), 0)
		})
	}
	t.Run("guards against serving lists that may be out of date", func(t *testing.T) {
		status, body := send(t, "op", "GET", url, "")
		assert.Equal(t, status, 200)
		assert.Contains(t, body, `{"version":2,"plans":"[plan yard]`)
		f.stale = true
		status, _ = send(t, "op", "GET", url, "")
		assert.Equal(t, status, 503)
	})
}

func TestStatus(t *testing.T) {
	url, _ := serve(t)
	t.Run("guards against a lagging host that is not reported", func(t *testing.T) {
		status, text := send(t, "op", "GET", url+"/v1/status", "")
		assert.Equal(t, status, 200)
		var body statusBody
		assert.NoError(t, json.Unmarshal([]byte(text), &body))
		assert.Equal(t, body.Lagging, []string{"b", "c"})
		assert.Contains(t, body.Members[2].Problem, "127.0.0.1:3: connection refused")
		assert.Equal(t, body.Shards, shardStatus{
			Total: 3, Unowned: []zinniapond.ShardID{2}, Joining: []zinniapond.ShardID{1},
			Owners: map[zinniapond.HostName]int{"a": 1, "b": 1},
		})
		assert.Equal(t, body.Plans[0].Name, "yard")
		assert.Equal(t, body.Degradations[0].Reason, "slow")
		assert.Equal(t, body.Version, 2)
	})
	t.Run("guards against paths that need no key", func(t *testing.T) {
		for _, p := range []string{"/v1/status", "/v1/lists", "/debug/vars", "/v1/programs/p", "/x"} {
			status, _ := send(t, "", "GET", url+p, "")
			assert.Equal(t, status, 401)
		}
		status, body := send(t, "op", "GET", url+"/debug/vars", "")
		assert.Equal(t, status, 200)
		assert.Contains(t, body, "memstats")
	})
	t.Run("guards against an unclear answer for an unknown path or program", func(t *testing.T) {
		status, body := send(t, "op", "GET", url+"/v2", "")
		assert.Equal(t, status, 404)
		assert.Contains(t, body, "PUT /v1/lists")
		status, _ = send(t, "op", "GET", url+"/v1/programs/q", "")
		assert.Equal(t, status, 404)
		status, _ = send(t, "op", "GET", url+"/v1/programs/p", "")
		assert.Equal(t, status, 200)
	})
}

func TestDrain(t *testing.T) {
	url, f := serve(t)
	t.Run("guards against draining the wrong host, or one twice", func(t *testing.T) {
		f.result.Accepted = true
		for host, want := range map[string]int{"b": 202, "x": 404, "d": 409} {
			status, _ := send(t, "op", "POST", url+"/v1/hosts/"+host+"/drain", "")
			assert.Equal(t, status, want)
		}
		assert.Equal(t, len(f.commands), 1)
		assert.Equal(t, f.commands[0].Member.State, zinniapond.MemberDraining)
		assert.Equal(t, f.view.Members["b"].State, zinniapond.MemberActive)
	})
}

func FuzzChange(f *testing.F) {
	f.Add([]byte(changeText))
	f.Add([]byte(`{"expect":0,"change":"a:b","plans":"","usage":"\u0000"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := decodeChange(text)
		if err != nil {
			if !errors.Is(err, zinniapond.ErrMalformed) {
				t.Fatalf("%v", err)
			}
			return
		}
		if c.Kind != zinniapond.CommandLists || c.ChangeID == "" || len(c.ChangeID) > 128 {
			t.Fatalf("command %+v", c)
		}
	})
}
