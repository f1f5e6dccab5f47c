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
	// is that of the engines' cache blocks, 64 tokens.
	blockSize = 256
	// bytesPerToken turns bytes of a prompt into an estimate of its tokens.
	bytesPerToken = 4
	// usualMost bounds the generated tokens of requests without max_tokens.
	usualMost = 1024
	// mostMost is above the context of any model in use.
	mostMost = 1 << 20
	// keyMost bounds an Idempotency-Key, which is kept with the program.
	keyMost = 255

	idAllowed = "ids have 1 to 128 letters, digits and . _ : -"
)

var idForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

func malformed(step, problem, hint string) error {
	return &zinniapond.Error{Step: step, Hint: hint, Err: fmt.Errorf("%w: %s", zinniapond.ErrMalformed, problem)}
}

// derive returns a stable id for the given parts. Each part is preceded by its
// length, so that no two lists of parts give the same text.
func derive(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func idempotencyKey(header http.Header) (string, error) {
	values := header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	key := strings.TrimSpace(values[0])
	if len(values) > 1 || key == "" || len(key) > keyMost || strings.ContainsFunc(key, func(c rune) bool { return c < ' ' || c > '~' }) {
		return "", malformed("decode header", "Idempotency-Key", fmt.Sprintf("send one Idempotency-Key of 1 to %d printable ASCII characters", keyMost))
	}
	return key, nil
}

// call returns what all calls have in common.
func (r *request) call(kind zinniapond.Kind, path string, body []byte) (zinniapond.Call, error) {
	c := zinniapond.Call{
		Program: zinniapond.ProgramID(r.Header.Get("Zinniapond-Program")),
		Parent:  zinniapond.ProgramID(r.Header.Get("Zinniapond-Parent")),
		Plan:    r.plan.Name, Customer: r.customer.Name, Class: r.plan.Class, Wait: r.plan.Wait,
		Kind: kind, Method: r.Method, Path: path, Body: body, Digest: digest(r.Method, path, body),
	}
	var err error
	if c.Key, err = idempotencyKey(r.Header); err != nil {
		return c, err
	}
	for _, id := range []zinniapond.ProgramID{c.Program, c.Parent} {
		if id != "" && !idForm.MatchString(string(id)) {
			return c, malformed("decode header", fmt.Sprintf("program id %.80q", id), idAllowed)
		}
	}
	if v := r.Header.Get("Zinniapond-Sequence"); v != "" {
		c.Sequence, err = strconv.ParseUint(v, 10, 64)
		if err != nil || c.Sequence == 0 {
			return c, malformed("decode header", fmt.Sprintf("Zinniapond-Sequence %.80q", v), "calls of a program are numbered from 1")
		}
		if c.Program == "" {
			return c, malformed("decode header", "Zinniapond-Sequence without Zinniapond-Program", "name the program")
		}
	}
	if c.Program == "" {
		c.Single = true
		if c.Key != "" {
			c.Program = zinniapond.ProgramID("one-" + derive("program", string(c.Customer), c.Key))
		} else {
			c.Program = zinniapond.ProgramID("one-" + uuid.NewString())
		}
	}
	if c.Key != "" {
		c.ID = zinniapond.CallID(derive("call", string(c.Customer), string(c.Program), c.Key))
	} else {
		c.ID = zinniapond.CallID(uuid.NewString())
	}
	return c, nil
}

// digest identifies a request among those with the same key.
func digest(method, path string, body []byte) [32]byte {
	h := sha256.New()
	h.Write([]byte(method + " " + path + "\n"))
	h.Write(body)
	return [32]byte(h.Sum(nil))
}

// chatBody is what is read of the body of a model call.
type chatBody struct {
	model     zinniapond.PoolName
	messages  json.RawMessage
	stream    bool
	most      *int64
	mostNewer *int64
	choices   *int64
	best      *int64
}

// read reads the fields by their exact names and refuses other spellings of
// them. Decoding into a struct would also take MAX_TOKENS for max_tokens, and
// if the engine did not, that would be a way around plan and budget.
func (b *chatBody) read(body []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return err
	}
	names := map[string]any{
		"messages": &b.messages, "model": &b.model, "stream": &b.stream, "max_tokens": &b.most,
		"max_completion_tokens": &b.mostNewer, "n": &b.choices, "best_of": &b.best,
	}
	for field := range fields {
		for name := range names {
			if field != name && strings.EqualFold(field, name) {
				return fmt.Errorf("field %q, which is spelt %s", field, name)
			}
		}
	}
	for name, to := range names {
		if text, ok := fields[name]; ok {
			if err := json.Unmarshal(text, to); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// decodeChat reads the body of a model call into the call.
func decodeChat(body []byte, c *zinniapond.Call) error {
	var b chatBody
	if err := b.read(body); err != nil {
		return malformed("decode body", err.Error(), "send a JSON object with model and messages")
	}
	prompt, err := promptOf(b.messages)
	if err != nil {
		return err
	}
	if b.model == "" {
		return malformed("decode body", "model is missing", "name a model of the plan")
	}
	for _, n := range []*int64{b.choices, b.best} {
		if n != nil && *n != 1 {
			return malformed("decode body", fmt.Sprintf("n or best_of is %d", *n), "send one request for each choice")
		}
	}
	for _, n := range []*int64{b.most, b.mostNewer} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > mostMost {
			return malformed("decode body", fmt.Sprintf("max_tokens is %d", *n), fmt.Sprintf("max_tokens is from 1 to %d", mostMost))
		}
		// Engines differ in which of the two they follow.
		c.Most = max(c.Most, zinniapond.Tokens(*n))
	}
	if c.Most == 0 {
		c.Most = usualMost
	}
	c.Pool, c.Stream, c.Idempotent = b.model, b.stream, true
	c.Prompt = zinniapond.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken)
	c.Prefix = prefix(prompt)
	return nil
}

// promptOf returns the messages as engines hash them: role and content of each,
// both followed by a zero byte. Content that is no text is compact JSON.
func promptOf(text json.RawMessage) ([]byte, error) {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(text, &messages); err != nil || len(messages) == 0 {
		return nil, malformed("decode body", "messages are missing or not a list", `send "messages": [{"role": "user", "content": ...}]`)
	}
	var prompt bytes.Buffer
	for i, m := range messages {
		if m.Role == "" {
			return nil, malformed("decode body", fmt.Sprintf("message %d has no role", i), "each message has role and content")
		}
		prompt.WriteString(m.Role + "\x00")
		var content string
		if err := json.Unmarshal(m.Content, &content); err == nil {
			prompt.WriteString(content)
		} else if len(m.Content) > 0 {
			if err := json.Compact(&prompt, m.Content); err != nil {
				return nil, malformed("decode body", err.Error(), "send JSON")
			}
		}
		prompt.WriteByte(0)
	}
	return prompt.Bytes(), nil
}

// prefix returns the hash of the first block, of the first two, and so on. A
// block that is not full is left out, as the next turn fills it differently.
func prefix(messages []byte) []uint64 {
	list := make([]uint64, 0, len(messages)/blockSize)
	h := xxhash.New()
	for len(messages) >= blockSize {
		_, _ = h.Write(messages[:blockSize]) // never fails
		list = append(list, h.Sum64())
		messages = messages[blockSize:]
	}
	return list
}

// serviceFields are the header fields of a caller that the scheduler keeps
// with the call.
var serviceFields = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type", "If-Match",
	"If-Modified-Since", "If-None-Match", "If-Unmodified-Since", "Range",
}

func fieldsOf(header http.Header) []zinniapond.Field {
	var list []zinniapond.Field
	for _, n := range serviceFields {
		for _, v := range header.Values(n) {
			list = append(list, zinniapond.Field{Name: n, Value: v})
		}
	}
	return list
}

// servicePath splits /services/NAME/... into the name and the path at the
// service, still escaped and with its query.
func servicePath(r *http.Request) (name, path string, err error) {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	name, rest, _ := strings.Cut(escaped, "/")
	path = "/" + rest
	// A service may resolve such a path to another one, which the rules of
	// the usage list say something else about.
	_, plain, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/services/"), "/")
	for s := range strings.SplitSeq(plain, "/") {
		if s == "." || s == ".." {
			return "", "", malformed("decode path", "path has dot segments", "send the resolved path")
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return name, path, nil
}

// idempotent tells whether a service call may run again. Paths that a service
// may read in another way than this function count as not idempotent.
func idempotent(rule zinniapond.ServiceRule, method, path string) bool {
	if method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions {
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	if strings.ContainsAny(path, `%\;`) || strings.Contains(path, "//") {
		return slices.Contains(rule.Idempotent, method)
	}
	for _, e := range rule.Idempotent {
		m, at, limited := strings.Cut(e, " ")
		at = strings.TrimSuffix(at, "/")
		if m == method && (!limited || path == at || strings.HasPrefix(path, at+"/")) {
			return true
		}
	}
	return false
}
