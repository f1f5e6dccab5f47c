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
go test -count=1 -timeout 600s ${skip:+-skip "$skip"} ./...
# Packages with concurrent state run again under the race detector.
races=$(go list ./internal/... | grep -E '/(core|wire|quorum|journal|program|policy|entry)/' || true)
echo "== tests with the race detector"
# shellcheck disable=SC2086
go test -race -count=1 -timeout 600s ${skip:+-skip "$skip"} $races
