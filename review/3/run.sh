#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/case_$number" ] || { echo "run review/build.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec "target/review/case_$number" "review/$number/record.txt"
