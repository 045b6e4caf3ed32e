#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, beside the node, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review
