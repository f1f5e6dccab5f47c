#!/usr/bin/env bash
# Turns one mechanism after the other off in a scratch copy and runs the test that
# guards it: scripts/without.sh [NAME...]. Each patch in scripts/without names its
# test in its first line. The test has to fail; docs/proof.md lists the failures.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d /tmp/zinniapond-without.XXXXXX)
trap 'git worktree remove --force "$copy"' EXIT
git worktree add -q --detach "$copy" HEAD
cd "$copy" || exit 1
names=("$@")
[ $# -gt 0 ] || names=($(cd "$root/scripts/without" && ls ./*.patch | sed 's,^./,,; s,\.patch$,,'))
missed=0
for n in "${names[@]}"; do
  patch="$root/scripts/without/$n.patch"
  command=$(sed -n '1s/^# test: //p' "$patch")
  if ! git apply "$patch"; then
    echo "$n: the patch does not apply"
    missed=1
    continue
  fi
  # A test that fails because the patch does not build proves nothing.
  if ! go build ./... > /dev/null 2>&1; then
    echo "$n: DOES NOT BUILD"
    missed=1
  elif out=$(timeout 300 $command 2>&1); then
    echo "$n: NOT NOTICED by $command"
    missed=1
  else
    echo "$n: noticed by $command"
    echo "$out" | grep -E '^ +(--- FAIL|FAIL:|[a-z_]+_test.go:[0-9]+:)|\[rapid\] failed|panic:' | head -4
  fi
  git checkout -q .
done
exit $missed
