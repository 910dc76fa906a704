#!/usr/bin/env bash
# Builds the programs of the review's scripts into build-review/. It needs the
# packages of the deploy file and no network. JOBS bounds the parallelism.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review -j "${JOBS:-6}"
