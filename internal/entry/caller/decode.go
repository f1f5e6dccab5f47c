package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"zinniapond.example/zinniapond"
)

const (
	// blockSize is the size of a prompt block for prefix hashes, in bytes. It
	// equals the size of the engines' cache blocks, 64 tokens.
	blockSize = 256
	// bytesPerToken is used to estimate the tokens of a prompt from its size.
	bytesPerToken = 4
	// defaultMaxTokens bounds the generated tokens of requests without
	// max_tokens.
	defaultMaxTokens = 1024
	// maxTokensLimit bounds max_tokens. It is larger than the context of any
	// model in use.
	maxTokensLimit = 1 << 20
	// maxKeyLength bounds the length of an Idempotency-Key, which is stored with
	// the program.
	maxKeyLength = 255

	idHint = "ids have 1 to 128 letters, digits and . _ : -"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func malformedError(step, problem, hint string) error {
	return &zinniapond.Error{Step: step, Hint: hint, Err: fmt.Errorf("%w: %s", zinniapond.ErrMalformed, problem)}
}

// deriveID returns an id that depends only on the given parts. Each part is
// hashed after its length, so that no two lists of parts give the same input.
func deriveID(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// parseIdempotencyKey returns the Idempotency-Key of the header, or "" if there
// is none.
func parseIdempotencyKey(header http.Header) (string, error) {
	values := header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	key := strings.TrimSpace(values[0])
	if len(values) > 1 || key == "" || len(key) > maxKeyLength || strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }) {
		return "", malformedError("decode header", "Idempotency-Key", fmt.Sprintf("send one Idempotency-Key of 1 to %d printable ASCII characters", maxKeyLength))
	}
	return key, nil
}

// newCall returns a call with the fields that model and service calls share. A
// request that names no program gets a program of its own for this one call.
// With an Idempotency-Key the ids of that program and of the call depend only
// on customer, program and key, so that a repeated request gets the same ids.
func (r *request) newCall(kind zinniapond.BackendKind, path string, body []byte) (zinniapond.Call, error) {
	c := zinniapond.Call{
		Program:       zinniapond.ProgramID(r.Header.Get("Zinniapond-Program")),
		ParentProgram: zinniapond.ProgramID(r.Header.Get("Zinniapond-Parent")),
		Plan:          r.plan.Name, Customer: r.customer.Name, Class: r.plan.Class, MaxQueueTime: r.plan.MaxQueueTime,
		Kind: kind, Method: r.Method, Path: path, Body: body, Digest: requestDigest(r.Method, path, body),
	}
	var err error
	if c.IdempotencyKey, err = parseIdempotencyKey(r.Header); err != nil {
		return c, err
	}
	for _, id := range []zinniapond.ProgramID{c.Program, c.ParentProgram} {
		if id != "" && !idPattern.MatchString(string(id)) {
			return c, malformedError("decode header", fmt.Sprintf("program id %.80q", id), idHint)
		}
	}
	if v := r.Header.Get("Zinniapond-Sequence"); v != "" {
		c.Sequence, err = strconv.ParseUint(v, 10, 64)
		if err != nil || c.Sequence == 0 {
			return c, malformedError("decode header", fmt.Sprintf("Zinniapond-Sequence %.80q", v), "calls of a program are numbered from 1")
		}
		if c.Program == "" {
			return c, malformedError("decode header", "Zinniapond-Sequence without Zinniapond-Program", "name the program")
		}
	}
	if c.Program == "" {
		c.SingleCall = true
		if c.IdempotencyKey != "" {
			c.Program = zinniapond.ProgramID("one-" + deriveID("program", string(c.Customer), c.IdempotencyKey))
		} else {
			c.Program = zinniapond.ProgramID("one-" + uuid.NewString())
		}
	}
	if c.IdempotencyKey != "" {
		c.ID = zinniapond.CallID(deriveID("call", string(c.Customer), string(c.Program), c.IdempotencyKey))
	} else {
		c.ID = zinniapond.CallID(uuid.NewString())
	}
	return c, nil
}

// requestDigest returns a hash of the request, by which a different request
// with the same Idempotency-Key is recognised.
func requestDigest(method, path string, body []byte) [32]byte {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return [32]byte(h.Sum(nil))
}

// chatBody has the fields of a model call's body that the scheduler uses.
type chatBody struct {
	model               zinniapond.PoolName
	messages            json.RawMessage
	stream              bool
	maxTokens           *int64
	maxCompletionTokens *int64
	choices             *int64
	bestOf              *int64
}

// unmarshal decodes the fields by their exact names and refuses names that
// differ from them only in case. Decoding into a struct would also accept
// MAX_TOKENS for max_tokens; an engine that ignores that field would run the
// call outside of the plan and the budget that were checked.
func (b *chatBody) unmarshal(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return err
	}
	targets := map[string]any{
		"messages": &b.messages, "model": &b.model, "stream": &b.stream, "max_tokens": &b.maxTokens,
		"max_completion_tokens": &b.maxCompletionTokens, "n": &b.choices, "best_of": &b.bestOf,
	}
	for field := range fields {
		for name := range targets {
			if field != name && strings.EqualFold(field, name) {
				return fmt.Errorf("field %q, which is spelt %s", field, name)
			}
		}
	}
	for name, target := range targets {
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, target); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// decodeChat decodes and checks the body of a model call and sets the fields of
// c that depend on it.
func decodeChat(body []byte, c *zinniapond.Call) error {
	var b chatBody
	if err := b.unmarshal(body); err != nil {
		return malformedError("decode body", err.Error(), "send a JSON object with model and messages")
	}
	prompt, err := joinMessages(b.messages)
	if err != nil {
		return err
	}
	if b.model == "" {
		return malformedError("decode body", "model is missing", "name a model of the plan")
	}
	for _, n := range []*int64{b.choices, b.bestOf} {
		if n != nil && *n != 1 {
			return malformedError("decode body", fmt.Sprintf("n or best_of is %d", *n), "send one request for each choice")
		}
	}
	for _, n := range []*int64{b.maxTokens, b.maxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > maxTokensLimit {
			return malformedError("decode body", fmt.Sprintf("max_tokens is %d", *n), fmt.Sprintf("max_tokens is from 1 to %d", maxTokensLimit))
		}
		// Some engines use max_tokens and others max_completion_tokens.
		c.MaxGenerated = max(c.MaxGenerated, zinniapond.Tokens(*n))
	}
	if c.MaxGenerated == 0 {
		c.MaxGenerated = defaultMaxTokens
	}
	c.Pool, c.Stream, c.Idempotent = b.model, b.stream, true
	c.PromptTokens = zinniapond.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken)
	c.PrefixHashes = hashPrefixes(prompt)
	return nil
}

// joinMessages returns the prompt in the form that engines hash: the role and
// the content of each message, each followed by a zero byte. Content that is
// not a string is written as compact JSON.
func joinMessages(text json.RawMessage) ([]byte, error) {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(text, &messages); err != nil || len(messages) == 0 {
		return nil, malformedError("decode body", "messages are missing or not a list", `send "messages": [{"role": "user", "content": ...}]`)
	}
	var prompt bytes.Buffer
	for i, m := range messages {
		if m.Role == "" {
			return nil, malformedError("decode body", fmt.Sprintf("message %d has no role", i), "each message has role and content")
		}
		prompt.WriteString(m.Role + "\x00")
		var content string
		if err := json.Unmarshal(m.Content, &content); err == nil {
			prompt.WriteString(content)
		} else if len(m.Content) > 0 {
			if err := json.Compact(&prompt, m.Content); err != nil {
				return nil, malformedError("decode body", err.Error(), "send JSON")
			}
		}
		prompt.WriteByte(0)
	}
	return prompt.Bytes(), nil
}

// hashPrefixes returns the hash of the first block, of the first two blocks, and
// so on. An incomplete last block is left out, as the next turn completes it
// with other text.
func hashPrefixes(prompt []byte) []uint64 {
	list := make([]uint64, 0, len(prompt)/blockSize)
	h := xxhash.New()
	for len(prompt) >= blockSize {
		_, _ = h.Write(prompt[:blockSize]) // never fails
		list = append(list, h.Sum64())
		prompt = prompt[blockSize:]
	}
	return list
}

// forwardedFields are the header fields of a caller's request that are stored
// with a service call, to be sent to the service.
var forwardedFields = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

func selectFields(header http.Header) []zinniapond.HeaderField {
	var list []zinniapond.HeaderField
	for _, n := range forwardedFields {
		for _, v := range header.Values(n) {
			list = append(list, zinniapond.HeaderField{Name: n, Value: v})
		}
	}
	return list
}

// splitServicePath splits /services/NAME/... into the service name and the path
// at the service, still escaped and with its query. It refuses paths with dot
// segments.
func splitServicePath(r *http.Request) (name, path string, err error) {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	name, rest, _ := strings.Cut(escaped, "/")
	path = "/" + rest
	// A service may resolve dot segments to another path, for which the usage
	// list can have another rule.
	_, unescaped, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/services/"), "/")
	for s := range strings.SplitSeq(unescaped, "/") {
		if s == "." || s == ".." {
			return "", "", malformedError("decode path", "path has dot segments", "send the resolved path")
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path, nil
}

// isIdempotent reports whether a service call may run again. Calls with GET,
// HEAD and OPTIONS may. A rule for a path is not applied to paths with escapes,
// backslashes, semicolons or empty segments, which a service may interpret
// differently; they need a rule for all paths of the method.
func isIdempotent(rule zinniapond.ServiceRule, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	if strings.ContainsAny(path, `%\;`) || strings.Contains(path, "//") {
		return slices.Contains(rule.Idempotent, method)
	}
	for _, e := range rule.Idempotent {
		allowed, prefix, hasPath := strings.Cut(e, " ")
		prefix = strings.TrimSuffix(prefix, "/")
		if allowed == method && (!hasPath || path == prefix || strings.HasPrefix(path, prefix+"/")) {
			return true
		}
	}
	return false
}
