#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs a C++20 compiler and nlohmann-json,
# which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Wpedantic -pthread)
g++ "${flags[@]}" -c review/stand_in/bed.cpp -o "$out/bed.o"
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out/bed.o" -o "$out/case_$number"
done
