package zinniapond

import "time"

// RequestKind tells what of a request may be repeated.
type RequestKind string

// The kinds of request.
const (
	// RequestSafe may run any number of times.
	RequestSafe RequestKind = "safe"
	// RequestUnsafe runs at most once.
	RequestUnsafe RequestKind = "unsafe"
	// RequestStream is answered by a series of events. It runs at most once,
	// unless its route is resumable.
	RequestStream RequestKind = "stream"
)

// Routing is a complete configuration of routes, as operators send it.
type Routing struct {
	// Version orders configurations; the highest is in force.
	Version  uint64       `cbor:"v" json:"version"`
	Routes   []Route      `cbor:"r" json:"routes"`
	Services []Service    `cbor:"s" json:"services"`
	Limits   CallerLimits `cbor:"l" json:"limits"`
	// Source is the document as the operator sent it. A read returns it
	// unchanged.
	Source []byte `cbor:"d" json:"-"`
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name   string      `cbor:"n"`
	Host   string      `cbor:"h"`
	Prefix string      `cbor:"p"` // begins and ends with a slash
	Kind   RequestKind `cbor:"k"`
	// Timeout is the longest time until the final answer.
	Timeout time.Duration `cbor:"t"`
	// Target is the latency that callers expect, to the first event of a stream.
	Target time.Duration `cbor:"a"`
	// Gap is the longest pause between events that callers accept.
	Gap      time.Duration `cbor:"g"`
	Priority int           `cbor:"pr"` // 0 is most urgent
	Splits   []Split       `cbor:"s"`
	// Attempts is the number of replicas that one client attempt may run on.
	Attempts int `cbor:"at"`
	// Retained routes keep each turn with its chain for Retention.
	Retained  bool          `cbor:"kp"`
	Retention time.Duration `cbor:"ks"`
	// Sticky requests run faster where their object was handled recently.
	Sticky bool `cbor:"st"`
	// Resumable streams may go on at another replica after their last event.
	Resumable bool `cbor:"re"`
}

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service PoolName `cbor:"s"`
	Weight  int      `cbor:"w"`
}

// Service is a group of equal replicas.
type Service struct {
	Name PoolName `cbor:"n"`
	// Health is the path of the health check.
	Health string `cbor:"h"`
	// Connections bounds the connections to one replica from all callers.
	Connections int `cbor:"c"`
	// Engine is set for model engines.
	Engine *Engine `cbor:"e,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int    `cbor:"s"`
	Cache Tokens `cbor:"c"` // capacity of the KV cache
	// Stride is the number of tokens in one event of a stream.
	Stride Tokens `cbor:"t"`
	// Pin is the longest time for which an engine keeps a pinned prompt.
	Pin time.Duration `cbor:"p"`
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	Header int           `cbor:"h"` // bytes
	Body   int64         `cbor:"b"` // bytes
	Read   time.Duration `cbor:"r"` // to send the header
	Idle   time.Duration `cbor:"i"` // of an unused connection
}

// Stream tells whether the route's answers are streams.
func (r Route) Stream() bool { return r.Kind == RequestStream }

// Repeatable tells whether a request of the route may run again although an
// earlier attempt may have run.
func (r Route) Repeatable() bool { return r.Kind == RequestSafe }
