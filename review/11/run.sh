#!/usr/bin/env bash
# Shows the case "grey" and writes record.txt here. With TROUBLE=0 it does the same without
# the disruption. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. review/build-3.sh builds the stand-ins.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
repository=$(cd ../.. && pwd)
[ -x "$repository/target/review-3" ] && [ -x "$repository/target/zinniapond" ] || exit 2
timeout -k 2 115 "$repository/target/review-3" grey "$repository" "$PWD/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
