// Package result has the form in which a server hands the response of a call to its codec.
package result

import "github.com/fxamacker/cbor/v2"

// Envelope is an encoded response.
type Envelope struct {
	Data cbor.RawMessage
	// Written is called once the response has been written or has failed; may be nil.
	Written func()
}
