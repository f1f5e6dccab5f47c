package table

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func route(name, host, prefix string, splits ...zinniapond.Split) zinniapond.Route {
	if len(splits) == 0 {
		splits = []zinniapond.Split{{Service: "pool", Weight: 1}}
	}
	return zinniapond.Route{Name: name, Host: host, PathPrefix: prefix, Kind: zinniapond.RequestSafe, Timeout: time.Second, Splits: splits}
}

func routing(routes ...zinniapond.Route) *zinniapond.Routing {
	return &zinniapond.Routing{Version: 1, Routes: routes, Services: []zinniapond.Service{{Name: "pool"}, {Name: "other"}}}
}

func TestFind(t *testing.T) {
	table := New(routing(route("short", "h", "/a/"), route("long", "h", "/a/b/"), route("root", "g", "/")))
	finds := func(host, path, want string) func(*testing.T) {
		return func(t *testing.T) {
			r, ok := table.Find(host, path)
			if !ok {
				r = &zinniapond.Route{}
			}
			assert.Equal(t, r.Name, want)
		}
	}
	t.Run("guards against the shorter of two prefixes", finds("h", "/a/b/c", "long"))
	t.Run("guards against a prefix that ends within a name", finds("h", "/a/bc", "short"))
	t.Run("guards against a path that is the prefix itself being missed", finds("h", "/a/", "short"))
	t.Run("guards against a route of another host", finds("g", "/a/b/c", "root"))
	t.Run("guards against a route for a path that has none", finds("h", "/b/", ""))
}

func TestCheck(t *testing.T) {
	refuses := func(problem string, r *zinniapond.Routing) func(*testing.T) {
		return func(t *testing.T) {
			err := Check(r)
			assert.ErrorIs(t, err, zinniapond.ErrMalformed)
			assert.Contains(t, err.Error(), problem)
		}
	}
	t.Run("guards against refusing a valid configuration", func(t *testing.T) {
		assert.NoError(t, Check(routing(route("a", "h", "/a/"), route("b", "h", "/b/"))))
	})
	t.Run("guards against a route to an unknown service", refuses("unknown service", routing(route("a", "h", "/a/", zinniapond.Split{Service: "none", Weight: 1}))))
	t.Run("guards against two routes with the same host and prefix", refuses("same host and prefix", routing(route("a", "h", "/a/"), route("b", "h", "/a/"))))
	t.Run("guards against weights that add up to 0", refuses("add up to 0", routing(route("a", "h", "/a/", zinniapond.Split{Service: "pool"}))))
	t.Run("guards against a route that times out at once", func(t *testing.T) {
		r := route("a", "h", "/a/")
		r.Timeout = 0
		refuses("timeout", routing(r))(t)
	})
	t.Run("guards against a prefix that does not end with a slash", refuses("begin and end", routing(route("a", "h", "/a"))))
}

func TestChoose(t *testing.T) {
	r := route("a", "h", "/a/", zinniapond.Split{Service: "pool", Weight: 90}, zinniapond.Split{Service: "other", Weight: 10})
	t.Run("guards against a program that changes its service from turn to turn", func(t *testing.T) {
		assert.Equal(t, ChooseService(&r, "program"), ChooseService(&r, "program"))
	})
	t.Run("guards against shares that do not follow the weights", func(t *testing.T) {
		count := 0
		for i := range 10000 {
			if ChooseService(&r, fmt.Sprint(i)) == "other" {
				count++
			}
		}
		assert.True(t, count > 800 && count < 1200, "a weight of 10 in 100 got %d of 10000", count)
	})
}
