#!/usr/bin/env bash
# Builds the stand-ins of the third review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/review-3 .
