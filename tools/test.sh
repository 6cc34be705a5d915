#!/usr/bin/env bash
# Installs dependencies, builds everything and runs all tests. Tests named in KNOWN-RED.txt are
# printed and skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh
exclude='^$'
while read -r kind name rest; do
    if [ "$kind" = "test" ]; then
        echo "KNOWN RED, not counted: $name $rest"
        exclude="$exclude|^$name\$"
    fi
done < KNOWN-RED.txt
ctest --test-dir build --output-on-failure -j "$(nproc)" -E "$exclude"
