#!/usr/bin/env bash
# Runs the case whose number is the first argument; its folder gets record.txt.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
case="target/review-3/case_$1"
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x "$case" ] || [ ! -x "$program" ]; then
  echo "build the deploy file's program and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The case ends its processes itself, and they end with it.
timeout --kill-after=1 117 "$case" "$program" "$folder" "review/$1/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
