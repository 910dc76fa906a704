#!/usr/bin/env bash
# Runs the case whose number is the first argument, with or without its
# disruption by the variable TROUBLE, and writes the record to the file that the
# second argument names. Exit codes: 0 the rule held, 1 it was broken, 2 the case
# could not run.
set -uo pipefail
record=$2
cd "$(dirname "$0")/../.." || exit 2
case="target/review-3/case_$1"
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$case" ] || [ ! -x "$program" ]; then
  echo "build the deploy file's program and run review/build-3.sh first" |
    tee "$record" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The case ends its processes itself, and they end with it.
timeout --kill-after=1 117 "$case" "$program" "$folder" "$record"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
