#!/usr/bin/env bash
# Formatter check, linter and all tests. Tests listed in KNOWN-RED.txt are
# skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

lint="go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0"

echo "== go vet"
go vet ./...
echo "== formatter"
$lint fmt --diff
echo "== linter"
$lint run --allow-parallel-runners ./...
echo "== tests"
skip=""
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sort -u)
  if [ -n "$names" ]; then
    echo "passed over, see KNOWN-RED.txt:"
    echo "$names" | sed 's/^/  /'
    skip=$(echo "$names" | sed 's/^/^/; s/$/$/; s,/,$/^,g' | paste -sd '|')
  fi
fi
# Packages with rapid tests run with a fixed seed, so that the result is the same
# in every run. Longer runs with other seeds are for development.
seeded=$(go list -f '{{.ImportPath}} {{.TestImports}} {{.XTestImports}}' ./... | sed -n 's/ .*pgregory.net\/rapid.*//p')
soak=$(go list ./platform/soak)
plain=$(go list ./... | grep -vxF "$seeded" | grep -vxF "$soak")
run() { # packages, arguments
  local packages=$1
  shift
  local before=()
  while [ $# -gt 0 ] && [ "$1" != -args ]; do before+=("$1"); shift; done
  # shellcheck disable=SC2086
  go test -count=1 -timeout 600s ${skip:+-skip "$skip"} "${before[@]}" $packages "$@"
}
failed=0
run "$plain" || failed=1
run "$seeded" -args -rapid.seed=1 -rapid.nofailfile || failed=1
# Packages with concurrent state run again with the race detector.
racing='/(core|wire|quorum|journal|program|policy|entry|fleet|backend|turns|front|routes)/|/platform'
echo "== tests with the race detector"
run "$(echo "$plain" | grep -E "$racing")" -race || failed=1
run "$(echo "$seeded" | grep -E "$racing")" -race -args -rapid.seed=1 -rapid.nofailfile || failed=1
# The soak runs alone: its time bounds are those of the settings, which assume
# hosts with processors of their own.
echo "== fault soak"
run "$soak" || failed=1
exit $failed
