// Package assert provides the assertion functions that all tests share.
package assert

import (
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// compareAddresses makes cmp compare the types of netip by ==, because their fields
// are unexported.
var compareAddresses = cmpopts.EquateComparable(netip.Addr{}, netip.AddrPort{}, netip.Prefix{})

// TB is the subset of testing.TB that the functions use. It is an interface of its
// own because rapid.T implements it, but not testing.TB.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Equal fails the test with a diff unless got equals want under the given options.
func Equal[T any](t TB, got, want T, options ...cmp.Option) {
	t.Helper()
	if diff := cmp.Diff(want, got, append(options, compareAddresses)...); diff != "" {
		t.Fatalf("unexpected value (-want +got):\n%s", diff)
	}
}

// True fails the test with the formatted message unless ok is true.
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

// Eventually polls condition every 10 ms and fails the test unless it returns true
// before the timeout. It is for tests of several processes, in which no channel
// signals the change.
func Eventually(t TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(timeout)
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("not within %s: %s", timeout, description)
		case <-ticker.C:
		}
	}
}
