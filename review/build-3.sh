#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, into target/review-3:
# the cases with the project's own stand-ins. Needs the packages of the deploy
# file alone; the daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j "${JOBS:-6}"
