package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// request is one attempt of a consumer.
type request struct {
	method, path string
	fields       map[string]string
	body         string
	timeout      time.Duration
}

// answer is what the consumer sees of an attempt.
type answer struct {
	id         string
	status     int
	header     http.Header
	body       string
	complete   bool // the answer has ended as it has to
	err        error
	retryAfter time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, whole %t, replica's stamp %q", a.status, a.complete, a.header.Get("X-Server-Stamp"))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is a connection of a consumer to a front.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(m *machine) (*channel, error) {
	c, err := net.DialTimeout("tcp", net.JoinHostPort(m.ip, strconv.Itoa(portFront)), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends one attempt and reads its answer.
func (c *channel) do(id string, q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout + 500*time.Millisecond))
	if _, err := c.conn.Write(encode(id, q)); err != nil {
		return answer{id: id, err: err}
	}
	return c.read(id, q)
}

func encode(id string, q request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, id, q.timeout.Milliseconds())
	for name, value := range q.fields {
		fmt.Fprintf(&b, "%s: %s\r\n", textproto.CanonicalMIMEHeaderKey(name), value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.Bytes()
}

func (c *channel) read(id string, q request) answer {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	a := answer{id: id, status: r.StatusCode, header: r.Header, body: string(body), complete: err == nil, err: err}
	if seconds, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// attempt sends one attempt on a new channel.
func (w *world) attempt(m *machine, q request) answer {
	id := newID()
	c, err := dial(m)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.close()
	return c.do(id, q)
}

// turn is one turn of a program: its tries until one succeeds. A turn gets two attempts,
// as the sheet says, and is sent again from its start at most twice.
func (w *world) turn(m *machine, what string, q request) (last answer, tries, reached int) {
	for again := range 3 {
		if again > 0 {
			time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
		}
		sent := time.Now()
		for n := range 2 {
			left := q
			left.timeout = q.timeout - time.Since(sent)
			if n > 0 && left.timeout < 100*time.Millisecond {
				break
			}
			last = w.attempt(m, left)
			tries++
			runs := w.provider.runsOf(last.id)
			if len(runs) > 0 {
				reached++
			}
			w.add("%s: attempt %s at %s: %s, runs at replicas %d", what, last.id, m.name, last, len(runs))
			if last.status == http.StatusOK && last.complete {
				return last, tries, reached
			}
			if last.status == 400 || last.status == 401 || last.status == 402 || last.status == 403 || last.status == 404 || last.status == 413 {
				return last, tries, reached
			}
			// Only a promise lets the consumer try again at once.
			if last.status != 503 && last.status != 429 && last.status != 408 && last.status != 421 {
				break
			}
			time.Sleep(min(last.retryAfter, (q.timeout-time.Since(sent))/3))
		}
	}
	return last, tries, reached
}

// configure sends a configuration to one control machine after another until it is
// acknowledged.
func (w *world) configure(text string, within time.Duration) error {
	deadline := time.Now().Add(within)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Now().Before(deadline); n++ {
		cores := w.class("core")
		m := cores[n%len(cores)]
		q, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/configuration", m.ip, portControl), strings.NewReader(text))
		if err != nil {
			return err
		}
		r, err := client.Do(q)
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				w.add("configuration acknowledged by %s", m.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no configuration was acknowledged in %s", within)
}

// ready asks a front as the provider does.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// configurationText returns a configuration with a route for turns, one for safe and
// one for unsafe requests.
func configurationText(retentionS int) string {
	return fmt.Sprintf(`{"version":7,"routes":[
 {"name":"r-turn","host":"%[1]s","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":250,"priority":1,"service":"pool","maxAttempts":1,"retentionEnabled":true,"retentionS":%[2]d,"sticky":true,"resumable":false,"targetGapMs":400},
 {"name":"r-safe","host":"%[1]s","pathPrefix":"/pule252/","kind":"safe","timeoutMs":2000,"targetLatencyMs":80,"priority":2,"service":"app","maxAttempts":2,"sticky":false,"resumable":false},
 {"name":"r-once","host":"%[1]s","pathPrefix":"/dero117/","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":250,"priority":2,"service":"app","maxAttempts":1,"sticky":false,"resumable":false}],
 "services":[{"name":"pool","healthCheckPath":"/health","connectionLimit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":847663,"kvTokenBytes":18432,"linkMbps":2200000.0,"moves":true,"backups":true,"tokensPerEvent":%[3]d,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
 {"name":"app","healthCheckPath":"/health","connectionLimit":100,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, host, retentionS, tokensPerEvent)
}
