package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"

	"zinniapond.example/zinniapond"
)

func FuzzChat(f *testing.F) {
	f.Add([]byte(chatText))
	f.Add([]byte(`{"MODEL":"a","messages":[{"role":"\u0000","content":[1,{"x":"<&>"}]}],"stream":true,"max_completion_tokens":1e3,"n":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var c zinniapond.Call
		if err := decodeChat(text, &c); err != nil {
			var e *zinniapond.Error
			if !errors.Is(err, zinniapond.ErrMalformed) || !errors.As(err, &e) || e.Hint == "" {
				t.Fatalf("error without reason or hint: %v", err)
			}
			return
		}
		if c.Pool == "" || c.MaxGenerated < 1 || c.MaxGenerated > maxTokensLimit || c.PromptTokens < 1 || int64(c.PromptTokens) > int64(len(text))*3 {
			t.Fatalf("call %+v", c)
		}
		if len(c.PrefixHashes) != 0 && len(c.PrefixHashes) > 3*len(text)/blockSize {
			t.Fatalf("%d blocks of %d bytes", len(c.PrefixHashes), len(text))
		}
		// White space between values must not change the prompt.
		var spaced bytes.Buffer
		var again zinniapond.Call
		if err := json.Indent(&spaced, text, "", " "); err != nil {
			t.Fatal(err)
		}
		if err := decodeChat(spaced.Bytes(), &again); err != nil || again.PromptTokens != c.PromptTokens {
			t.Fatalf("indented: %v, prompt %d and %d", err, again.PromptTokens, c.PromptTokens)
		}
	})
}

func FuzzPath(f *testing.F) {
	f.Add("app/quotes/9?x=1")
	f.Add("app/quotes/%2e%2E/scrap")
	f.Add("app/quotes/..;/scrap")
	rule := zinniapond.ServiceRule{Idempotent: []string{"POST /quotes"}}
	f.Fuzz(func(t *testing.T, text string) {
		u, err := url.ParseRequestURI("/services/" + text)
		if err != nil || !strings.HasPrefix(u.Path, "/services/") {
			return
		}
		_, p, err := splitServicePath(&http.Request{URL: u})
		if err != nil || !isIdempotent(rule, "POST", p) {
			return
		}
		// A path that matches the rule for /quotes must still be below /quotes
		// after a service has decoded and cleaned it.
		back, err := url.ParseRequestURI(p)
		if err != nil {
			t.Fatalf("path %q cannot be sent: %v", p, err)
		}
		if c := path.Clean(back.Path); c != "/quotes" && !strings.HasPrefix(c, "/quotes/") {
			t.Fatalf("path %q of %q is %q at the service", p, text, c)
		}
	})
}
