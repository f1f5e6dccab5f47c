package quotas

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/wire/codec"
)

// assertDecodes fails unless a message is the same after it was encoded and decoded.
func assertDecodes[T any](t *testing.T, message T) {
	t.Helper()
	data, err := codec.Marshal(message)
	assert.NoError(t, err)
	var decoded T
	assert.NoError(t, codec.Unmarshal(data, &decoded))
	assert.Equal(t, decoded, message, cmpopts.IgnoreUnexported(zinniapond.QuotaNeed{}, zinniapond.QuotaGrant{}, zinniapond.QuotaMark{}, zinniapond.UnusedTokens{}))
}

func TestWire(t *testing.T) {
	mark := zinniapond.QuotaMark{Counter: 1 << 63, At: time.Hour}
	t.Run("guards against fields of requests that are lost", func(t *testing.T) {
		need := zinniapond.QuotaNeed{Plan: "p", Beginning: 1, Continuing: 2, Reserve: 3, Unused: []zinniapond.UnusedTokens{{Mark: mark, Count: 4}}}
		assertDecodes(t, zinniapond.QuotaRequest{Sender: "f", Needs: []zinniapond.QuotaNeed{need}, Forwarded: true})
	})
	t.Run("guards against fields of replies that are lost", func(t *testing.T) {
		grant := zinniapond.QuotaGrant{Beginning: 1, Continuing: 2, Reserve: 3, Lifetime: time.Second, BeginWait: 4, OtherWait: 5, Unknown: true}
		assertDecodes(t, zinniapond.QuotaReply{Counter: netip.MustParseAddrPort("10.0.0.1:1"), Mark: mark, Grants: []zinniapond.QuotaGrant{grant}, FilledIn: time.Second})
	})
	t.Run("guards against fields of the lease that are lost", func(t *testing.T) {
		assertDecodes(t, zinniapond.CounterRequest{Sender: netip.MustParseAddrPort("10.0.0.1:1"), Process: 1 << 63, Attempt: 2, Withdrawn: true})
		assertDecodes(t, zinniapond.CounterReply{Accepted: true, Counter: netip.MustParseAddrPort("10.0.0.1:1"), Quiet: time.Hour})
	})
}
