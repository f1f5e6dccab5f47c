package causes

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	lateLine = `[INFO]  front: served late: id=9e8e3abb3cfafc6d program=84ff3b84e69045 route=r-9ddkawn target=250ms restored=8.4ms first=302ms kept=6.7ms limited=0s took=524ms tried=i-3784a63489@10.3.64.29:8488:done;`
	lostLine = `2026-08-18T22:06:12.143Z [INFO]  front: not served: id=3bed3d77c9e937ab program= route="" version=14 restored=0s limited=0s took=416ns tried="" begun=false error="find route of host/path in version 14: not found"`
)

// run runs the command and returns its output.
func run(t *testing.T, o Options, in io.Reader) (string, error) {
	t.Helper()
	if o.Span == 0 {
		o.Span = 2 * time.Second
	}
	assert.NoError(t, o.Validate())
	var out bytes.Buffer
	f := inject.New()
	f.In, f.Out = in, &out
	err := o.Run(f)
	return out.String(), err
}

func runJSON(t *testing.T, o Options, text string) zinniapond.CauseReport {
	t.Helper()
	o.JSON = true
	out, err := run(t, o, strings.NewReader(text))
	assert.NoError(t, err)
	var r zinniapond.CauseReport
	assert.NoError(t, json.Unmarshal([]byte(out), &r))
	return r
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func assertOutput(t *testing.T, got, path string) {
	t.Helper()
	want, err := os.ReadFile(path)
	assert.NoError(t, err)
	assert.Equal(t, got, string(want))
}

func TestOutput(t *testing.T) {
	const log, want = "testdata/fronts.log", "testdata/fronts.want"
	t.Run("guards against other causes of lines that fronts wrote", func(t *testing.T) {
		got, err := run(t, Options{Files: []string{log}}, nil)
		assert.NoError(t, err)
		assertOutput(t, got, want)
	})
	t.Run("guards against standard input that is read differently", func(t *testing.T) {
		file, err := os.Open(log)
		assert.NoError(t, err)
		defer file.Close()
		got, err := run(t, Options{}, iotest.OneByteReader(file))
		assert.NoError(t, err)
		assertOutput(t, got, want)
	})
	t.Run("guards against fields of JSON that change", func(t *testing.T) {
		got, err := run(t, Options{JSON: true}, strings.NewReader(lostLine))
		assert.NoError(t, err)
		assert.Equal(t, got, `{"lines":1,"unparsed":0,"untimed":0,"spanMs":2000,"total":{"requestsNotServed":1,"programsNotServed":0,"requestsLate":0,"programsLate":0},`+
			`"causes":[{"cause":"route not found","requestsNotServed":1,"programsNotServed":0,"requestsLate":0,"programsLate":0}],`+
			`"spans":[{"cause":"route not found","at":"2026-08-18T22:06:12Z","requestsNotServed":1,"programsNotServed":0,"requestsLate":0,"programsLate":0}],`+
			`"pools":[{"cause":"route not found","requestsNotServed":1,"programsNotServed":0,"requestsLate":0,"programsLate":0}],"hosts":[],"replicas":[],"unknown":[]}`+"\n")
	})
	t.Run("guards against a span that is not used", func(t *testing.T) {
		r := runJSON(t, Options{Span: time.Hour}, lostLine)
		assert.Equal(t, r.Spans[0].At.String(), "2026-08-18 22:00:00 +0000 UTC")
	})
	t.Run("guards against no output without lines", func(t *testing.T) {
		got, err := run(t, Options{}, strings.NewReader(""))
		assert.NoError(t, err)
		assert.Contains(t, got, "not served: 0 requests, 0 programs; late: 0 requests, 0 programs")
	})
}

func TestFaults(t *testing.T) {
	t.Run("guards against a malformed line that ends the run or is shown", func(t *testing.T) {
		const secret = "Authorization: Bearer secret-one"
		text := secret + "\n" + lateLine + "\r\n\n" + strings.Repeat("x", maxLineBytes+1) + lateLine + "\n" + `{"key":"secret-one"` + "\n" + lostLine
		r := runJSON(t, Options{}, text)
		assert.Equal(t, []int{r.Lines, r.Unparsed, r.Untimed, r.Total.RequestsLate, r.Total.RequestsNotServed}, []int{5, 3, 1, 1, 1})
		got, err := run(t, Options{}, strings.NewReader(text))
		assert.NoError(t, err)
		assert.Contains(t, got, "lines: 5, not parsed 3, requests without time 1")
		assert.True(t, !strings.Contains(got, "secret"), "the output has a line that is not parsed: %s", got)
	})
	t.Run("guards against control characters of a log in the output", func(t *testing.T) {
		got, err := run(t, Options{}, strings.NewReader(`{"@message":"not served","route":"a\u001b[2J\tb","error":"strange \u001b[2J"}`))
		assert.NoError(t, err)
		assert.True(t, !strings.Contains(got, "\x1b"), "output %q", got)
		assert.Contains(t, got, `"a\x1b[2J\tb"`)
	})
	t.Run("guards against files of hosts that count as one host", func(t *testing.T) {
		lines := strings.Repeat(lostLine+"\n", 20)
		r := runJSON(t, Options{Files: []string{writeFile(t, "front-1.log", lines), writeFile(t, "front-2.log", lostLine)}}, "")
		assert.Equal(t, len(r.Hosts), 1)
		assert.Equal(t, r.Hosts[0].Host, "front-1")
	})
	t.Run("guards against a file that is missing or not readable without an error", func(t *testing.T) {
		_, err := run(t, Options{Files: []string{"testdata/none.log"}}, nil)
		assert.ErrorIs(t, err, fs.ErrNotExist)
		broken := errors.New("broken")
		_, err = run(t, Options{}, iotest.ErrReader(broken))
		assert.ErrorIs(t, err, broken)
	})
	t.Run("guards against a span of no length", func(t *testing.T) {
		assert.True(t, (&Options{}).Validate() != nil, "no error")
	})
}
