package runner

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestRoutingNeed(t *testing.T) {
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream})
	need := func(parts ...zinniapond.PromptPart) zinniapond.PickInfo {
		u := &run{Runner: w.Runner, request: &zinniapond.Request{PromptParts: parts}, route: &w.view.Routing.Routes[0], deadline: time.Now()}
		return u.routingNeed()
	}
	t.Run("guards against parts of one conversation that are taken for shared ones", func(t *testing.T) {
		later := need(zinniapond.PromptPart{ID: "a", Tokens: 12_600}, zinniapond.PromptPart{ID: "b", Tokens: 1_680}, zinniapond.PromptPart{ID: "c", Tokens: 900})
		assert.Equal(t, later.SharedTokens, zinniapond.Tokens(12_600))
	})
	t.Run("guards against a prompt without a shared part that counts as one with it", func(t *testing.T) {
		assert.Equal(t, need(zinniapond.PromptPart{ID: "a", Tokens: 900}).SharedTokens, zinniapond.Tokens(0))
	})
}
