// Package assert has the assertion functions that all tests share.
package assert

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// addresses lets cmp compare the address types, whose fields are unexported.
var addresses = cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{}, netip.Prefix{})

// TB is the part of testing.TB that the functions use; rapid's T has it too.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Equal fails the test unless got equals want.
func Equal[T any](t TB, got, want T, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, append(options, addresses)...); diff != "" {
		t.Fatalf("unexpected value (-want +got):\n%s", diff)
	}
}

// True fails the test unless ok holds.
func True(t TB, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}

// NoError fails the test if err is not nil.
func NoError(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

// ErrorIs fails the test unless err wraps want.
func ErrorIs(t TB, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

// Contains fails the test unless text contains part.
func Contains(t TB, text, part string) {
	t.Helper()
	if !strings.Contains(text, part) {
		t.Fatalf("%q does not contain %q", text, part)
	}
}

// Eventually fails the test unless holds returns true within the given time.
// It is for tests of several processes, where no channel tells of the change.
func Eventually(t TB, within time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.After(within)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-deadline:
			t.Fatalf("not within %s: %s", within, what)
		case <-tick.C:
		}
	}
}
