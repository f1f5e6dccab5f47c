#!/usr/bin/env bash
# Builds the program that plays the scripted cases. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
