#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin suspect review/3/record.txt
