// Package record encodes what the control log stores and sends to each host: commands and
// snapshots.
package record

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
)

const (
	// minPackedBytes is the size from which an encoding is compressed.
	minPackedBytes = 4 << 10
	// maxBytes bounds the size of a decompressed encoding.
	maxBytes = 64 << 20
	// packedMark is the first byte of a compressed encoding. CBOR maps, with which all
	// others begin, have other first bytes.
	packedMark = 0x00
)

// Codec encodes values as CBOR and compresses large ones: a configuration is sent to every
// host, and its document repeats the same names for each route. The zero value is ready for
// use, from several goroutines too.
type Codec struct{}

// Encode returns the encoding of a value. Mode is nil for the default encoding.
func (Codec) Encode(mode cbor.EncMode, value any) ([]byte, error) {
	marshal := cbor.Marshal
	if mode != nil {
		marshal = mode.Marshal
	}
	plain, err := marshal(value)
	if err != nil || len(plain) < minPackedBytes {
		return plain, err
	}
	var packed bytes.Buffer
	packed.WriteByte(packedMark)
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if packed.Len() >= len(plain) {
		return plain, nil
	}
	return packed.Bytes(), nil
}

// Decode decodes what Encode has returned, and encodings that are not compressed. The error
// wraps ErrCorrupt if the data cannot be decompressed, or to more than 64 MB.
func (Codec) Decode(data []byte, value any) error {
	if len(data) > 0 && data[0] == packedMark {
		var err error
		if data, err = unpack(data[1:]); err != nil {
			return err
		}
	}
	return cbor.Unmarshal(data, value)
}

func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }() // never fails
	plain, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress record: %w: %w", zinniapond.ErrCorrupt, err)
	}
	if len(plain) > maxBytes {
		return nil, fmt.Errorf("decompress record: more than %d bytes: %w", maxBytes, zinniapond.ErrCorrupt)
	}
	return plain, nil
}
