package packed

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 8488)
}

func view(index zinniapond.Index, count int) *zinniapond.ControlView {
	v := &zinniapond.ControlView{BackendsIndex: index}
	for i := range count {
		v.Backends = append(v.Backends, zinniapond.Backend{Address: address(i)})
	}
	return v
}

func sorted(loads []zinniapond.Load) []zinniapond.Load {
	slices.SortFunc(loads, func(a, b zinniapond.Load) int { return a.Replica.Compare(b.Replica) })
	return loads
}

func byAddress(loads []zinniapond.Load) map[netip.AddrPort]zinniapond.Load {
	m := make(map[netip.AddrPort]zinniapond.Load, len(loads))
	for _, l := range loads {
		m[l.Replica] = l
	}
	return m
}

func assertCopied(t assert.TB, from, to *Lists, index zinniapond.Index, loads []zinniapond.Load) (size int) {
	t.Helper()
	data, others := from.Pack(index, byAddress(loads))
	got, err := to.Unpack(index, data, others)
	assert.NoError(t, err)
	assert.Equal(t, sorted(got), sorted(slices.Clone(loads)))
	return len(data)
}

func TestLists(t *testing.T) {
	t.Run("guards against sums that differ from those that were sent", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			var from, to Lists
			v := view(7, rapid.IntRange(0, 30).Draw(t, "replicas"))
			if rapid.Bool().Draw(t, "address listed twice") && len(v.Backends) > 1 {
				v.Backends[1].Address = v.Backends[0].Address
			}
			from.Update(v)
			to.Update(v)
			number := rapid.OneOf(rapid.IntRange(-1, 3), rapid.IntRange(100, 1<<40))
			loads := []zinniapond.Load{}
			for i := range 35 {
				l := zinniapond.Load{Replica: address(i), Count: number.Draw(t, "count"), Good: rapid.IntRange(0, 300).Draw(t, "good")}
				if rapid.Bool().Draw(t, "loaded") && (l.Count != 0 || l.HasAnswers()) {
					loads = append(loads, l)
				}
			}
			assertCopied(t, &from, &to, 7, loads)
		})
	})
	t.Run("guards against sums that grow by the size of addresses", func(t *testing.T) {
		var l Lists
		l.Update(view(7, 600))
		var loads []zinniapond.Load
		for i := range 600 {
			loads = append(loads, zinniapond.Load{Replica: address(i), Count: 20})
		}
		size := assertCopied(t, &l, &l, 7, loads)
		assert.True(t, size == 600, "%d bytes", size)
	})
	t.Run("guards against sums assigned to the replicas of another list", func(t *testing.T) {
		var from, to Lists
		from.Update(view(7, 3))
		to.Update(view(8, 3))
		loads := []zinniapond.Load{{Replica: address(0), Count: 4}}
		data, _ := from.Pack(7, byAddress(loads))
		_, err := to.Unpack(7, data, nil)
		assert.ErrorIs(t, err, zinniapond.ErrNotFound)
		data, others := from.Pack(8, byAddress(loads))
		assert.Equal(t, len(data), 0)
		assert.Equal(t, others, loads)
	})
	t.Run("guards against a peer that is one change behind and gets no packed sums", func(t *testing.T) {
		var l Lists
		l.Update(view(7, 3))
		assert.Equal(t, l.Update(view(8, 4)), 8)
		assertCopied(t, &l, &l, 7, []zinniapond.Load{{Replica: address(3), Count: 4}})
	})
	t.Run("guards against an older list in place of a newer one", func(t *testing.T) {
		var l Lists
		l.Update(view(8, 3))
		assert.Equal(t, l.Update(view(0, 0)), 8) // of a host that catches up
		assert.Equal(t, l.Update(view(7, 3)), 8)
	})
	t.Run("guards against unbounded memory for lists", func(t *testing.T) {
		var l Lists
		for i := range 100 {
			l.Update(view(zinniapond.Index(i+1), 1))
		}
		assert.Equal(t, len(l.recent), maxLists)
	})
	t.Run("guards against a crash by malformed data", func(t *testing.T) {
		var l Lists
		l.Update(view(7, 3))
		for _, data := range [][]byte{{0}, {0, 0, 0, 0}, {1, 1, 1}, {0xff, 0xff}, {2, 2, 0x80}} {
			_, err := l.Unpack(7, data, nil)
			assert.ErrorIs(t, err, zinniapond.ErrMalformed)
		}
	})
}
