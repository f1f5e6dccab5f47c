#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review. It needs the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOFLAGS=-buildvcs=false go build -o ../../target/review-standin-2 .
