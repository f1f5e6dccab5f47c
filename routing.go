package zinniapond

import "time"

// RequestKind determines whether a request may be repeated.
type RequestKind string

// The kinds of request.
const (
	// RequestSafe may run any number of times.
	RequestSafe RequestKind = "safe"
	// RequestUnsafe runs at most once.
	RequestUnsafe RequestKind = "unsafe"
	// RequestStream is answered by a stream of events. It runs at most once,
	// unless its route is resumable.
	RequestStream RequestKind = "stream"
)

// Routing is a complete configuration of routes as sent by operators.
type Routing struct {
	// Version orders configurations; the highest is in force.
	Version  uint64    `cbor:"v" json:"version"`
	Routes   []Route   `cbor:"r" json:"routes"`
	Services []Service `cbor:"s" json:"services"`
	// HasPlans is set if clients need the key of one of Plans, except on public
	// routes.
	HasPlans bool         `cbor:"hp,omitempty" json:"hasPlans,omitempty"`
	Plans    []Plan       `cbor:"ps,omitempty" json:"-"`
	Limits   CallerLimits `cbor:"l" json:"limits"`
	// Source is the document as sent by the operator. It is returned unchanged
	// when the configuration is read.
	Source []byte `cbor:"d" json:"-"`
}

// Route maps requests with one host and path prefix to services.
type Route struct {
	Name       string      `cbor:"n"`
	Host       string      `cbor:"h"`
	PathPrefix string      `cbor:"p"` // begins and ends with a slash
	Kind       RequestKind `cbor:"k"`
	// Timeout is the longest time to the end of the answer.
	Timeout time.Duration `cbor:"t"`
	// TargetLatency is the latency that callers expect; of a stream, to its first
	// event.
	TargetLatency time.Duration `cbor:"a"`
	// TargetGap is the longest time between two events that callers accept.
	TargetGap time.Duration `cbor:"g"`
	Priority  int           `cbor:"pr"` // 0 is most urgent
	Splits    []Split       `cbor:"s"`
	// MaxAttempts is the number of replicas on which one client attempt may run.
	MaxAttempts int `cbor:"at"`
	// Retained is set if each turn and the turns before it are stored for
	// Retention.
	Retained  bool          `cbor:"kp"`
	Retention time.Duration `cbor:"ks"`
	// Sticky is set if requests run faster on a replica that has recently handled
	// a request for the same object.
	Sticky bool `cbor:"st"`
	// Resumable is set if another replica can continue a stream after its last
	// event.
	Resumable bool `cbor:"re"`
	// Public is set if clients need no key.
	Public bool `cbor:"pu,omitempty"`
}

// Split assigns a share of a route's requests to one service.
type Split struct {
	Service PoolName `cbor:"s"`
	Weight  int      `cbor:"w"`
}

// Service is a group of interchangeable replicas.
type Service struct {
	Name PoolName `cbor:"n"`
	// HealthCheckPath is the path of the health check.
	HealthCheckPath string `cbor:"h"`
	// ConnectionLimit limits the connections of all callers to one replica.
	ConnectionLimit int `cbor:"c"`
	// Engine is set if the replicas are model engines.
	Engine *Engine `cbor:"e,omitempty"`
}

// Engine holds the properties of the model engines of a service.
type Engine struct {
	Slots      int    `cbor:"s"`
	KVCapacity Tokens `cbor:"c"` // capacity of the KV cache
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent Tokens `cbor:"t"`
	// MaxPinTime is the longest time for which an engine keeps a pinned prompt.
	MaxPinTime time.Duration `cbor:"p"`
}

// CallerLimits are the limits for requests and connections of callers.
type CallerLimits struct {
	MaxHeaderBytes int           `cbor:"h"` // size of the header in bytes
	MaxBodyBytes   int64         `cbor:"b"` // size of the body in bytes
	HeaderTimeout  time.Duration `cbor:"r"` // time to send the header
	IdleTimeout    time.Duration `cbor:"i"` // time after which an idle connection is closed
}

// IsStream reports whether the answers of the route are streams.
func (r Route) IsStream() bool { return r.Kind == RequestStream }

// IsRepeatable reports whether a request of the route may run again although an
// earlier attempt may have run.
func (r Route) IsRepeatable() bool { return r.Kind == RequestSafe }
