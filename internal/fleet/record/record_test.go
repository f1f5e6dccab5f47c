package record

import (
	"bytes"
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// configuration returns a command with the given number of routes and their document.
func configuration(routes int) zinniapond.Command {
	random := rand.New(rand.NewPCG(1, 1))
	name := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	r := &zinniapond.Routing{Version: 1}
	var text strings.Builder
	for range routes {
		route := zinniapond.Route{
			Name: "r-" + name(), Host: name()[:6] + ".example", PathPrefix: "/" + name() + "/", Kind: zinniapond.RequestStream,
			Timeout: 3 * time.Second, TargetLatency: 250 * time.Millisecond, Splits: []zinniapond.Split{{Service: "model-a", Weight: 1}}, MaxAttempts: 1,
		}
		r.Routes = append(r.Routes, route)
		fmt.Fprintf(&text, `{"route":%q,"domain":%q,"path":%q,"answers":"events","limit":3000,"target":250,"rank":0,"pool":"model-a","tries":1,"keeps":false,"affinity":true,"resumes":false,"pause":300,"note":"one of many routes alike"},`,
			route.Name, route.Host, route.PathPrefix)
	}
	r.Source = []byte(text.String())
	return zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: r}
}

func assertRestored(t *testing.T, data []byte, want zinniapond.Command) {
	t.Helper()
	var got zinniapond.Command
	assert.NoError(t, new(Codec).Decode(data, &got))
	assert.Equal(t, got, want)
}

func TestCodec(t *testing.T) {
	var c Codec
	t.Run("guards against changes that the leader's link cannot carry to all hosts", func(t *testing.T) {
		const (
			hosts         = 63
			changesSecond = 2.5
			linkBytes     = 125e6 // a second
		)
		command := configuration(2850)
		data, err := c.Encode(nil, command)
		assert.NoError(t, err)
		load := float64(len(data)) * hosts * changesSecond
		assert.True(t, load < linkBytes/2, "record of %d bytes: %.0f MB/s to %d hosts", len(data), load/1e6, hosts)
		assertRestored(t, data, command)
	})
	t.Run("guards against another encoding of a small command", func(t *testing.T) {
		command := configuration(1)
		data, err := c.Encode(nil, command)
		assert.NoError(t, err)
		plain, err := cbor.Marshal(command)
		assert.NoError(t, err)
		assert.True(t, bytes.Equal(data, plain), "small command is not plain CBOR")
		assertRestored(t, data, command)
	})
	t.Run("guards against a log of the version before that cannot be read", func(t *testing.T) {
		command := configuration(100)
		plain, err := cbor.Marshal(command)
		assert.NoError(t, err)
		assertRestored(t, plain, command)
	})
	t.Run("guards against content that grows by compression", func(t *testing.T) {
		source := make([]byte, 1<<16)
		random := rand.NewChaCha8([32]byte{})
		_, _ = random.Read(source)
		command := zinniapond.Command{Kind: zinniapond.CommandRouting, Routing: &zinniapond.Routing{Source: source}}
		data, err := c.Encode(nil, command)
		assert.NoError(t, err)
		assert.True(t, len(data) < len(source)+1<<10, "%d bytes", len(data))
		assertRestored(t, data, command)
	})
	t.Run("guards against a damaged record", func(t *testing.T) {
		assert.ErrorIs(t, c.Decode([]byte{packedMark, 0xff, 0xff}, new(zinniapond.Command)), zinniapond.ErrCorrupt)
	})
	t.Run("guards against a record that decompresses without end", func(t *testing.T) {
		var packed bytes.Buffer
		packed.WriteByte(packedMark)
		w, err := flate.NewWriter(&packed, flate.BestSpeed)
		assert.NoError(t, err)
		zeros := make([]byte, 1<<20)
		for range maxBytes/len(zeros) + 1 {
			_, err = w.Write(zeros)
			assert.NoError(t, err)
		}
		assert.NoError(t, w.Close())
		assert.ErrorIs(t, c.Decode(packed.Bytes(), new(zinniapond.Command)), zinniapond.ErrCorrupt)
	})
}

func BenchmarkEncode(b *testing.B) {
	command := configuration(2850)
	for b.Loop() {
		data, err := new(Codec).Encode(nil, command)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkDecode(b *testing.B) {
	data, err := new(Codec).Encode(nil, configuration(2850))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := new(Codec).Decode(data, new(zinniapond.Command)); err != nil {
			b.Fatal(err)
		}
	}
}
