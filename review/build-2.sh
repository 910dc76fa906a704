#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 with the stand-ins that they start,
# into target/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j6
