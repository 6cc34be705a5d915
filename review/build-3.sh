#!/usr/bin/env bash
# Builds the stand-ins and the cases 11 to 15, into build/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for number in 11 12 13 14 15; do
    if [ -f "review/$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-3/case_$number" \
            "review/$number/case.cpp" review/stand_in_3/world.cpp
    fi
done
