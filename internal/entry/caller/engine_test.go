package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/standin/engine"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestEngine(t *testing.T) {
	t.Run("guards against prefix hashes that differ from the engine's", func(t *testing.T) {
		e := &engine.Server{DecodeRate: 4000, CacheTokens: 10_000}
		text := `{"model":"","max_tokens":1,"messages":[{"role":"system","content":"` + strings.Repeat("<é> ", 100) + `"},{"role":"user","content":"x"}]}`
		var c zinniapond.Call
		assert.NoError(t, decodeChat([]byte(strings.Replace(text, `"model":""`, `"model":"m"`, 1)), &c))
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(text)))
		var answer struct {
			Usage struct {
				Prompt zinniapond.Tokens `json:"prompt_tokens"`
			}
		}
		assert.NoError(t, json.Unmarshal(w.Body.Bytes(), &answer))
		assert.Equal(t, c.PromptTokens, answer.Usage.Prompt)
		var blocks []uint64
		for _, v := range e.Events(time.Now().Add(time.Minute), 0) {
			blocks = append(blocks, v.Block)
		}
		slices.Sort(blocks)
		slices.Sort(c.PrefixHashes)
		assert.Equal(t, blocks, c.PrefixHashes)
		assert.Equal(t, len(blocks), 2)
	})
}
