#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -G Ninja -B build -S . >/dev/null
ninja -C build
