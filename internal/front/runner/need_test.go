package runner

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestRoutingNeed(t *testing.T) {
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream})
	sharedTokens := func(capacity zinniapond.Tokens, parts ...zinniapond.PromptPart) zinniapond.Tokens {
		u := &run{
			Runner: w.Runner, request: &zinniapond.Request{PromptParts: parts}, route: &w.view.Routing.Routes[0], deadline: time.Now(),
			service: &zinniapond.Service{Engine: &zinniapond.Engine{KVCapacity: capacity}},
		}
		return u.routingNeed().SharedTokens
	}
	a, b, c := zinniapond.PromptPart{ID: "a", Tokens: 12_600}, zinniapond.PromptPart{ID: "b", Tokens: 1_680}, zinniapond.PromptPart{ID: "c", Tokens: 900}
	t.Run("guards against parts of one conversation that are taken for shared ones", func(t *testing.T) {
		assert.Equal(t, sharedTokens(300_000, a, b, c), zinniapond.Tokens(12_600))
		assert.Equal(t, sharedTokens(300_000, c), zinniapond.Tokens(0))
	})
	t.Run("guards against taking shared parts to be cached that fill the caches", func(t *testing.T) {
		assert.Equal(t, sharedTokens(30_000, a, b), zinniapond.Tokens(0))
	})
}
