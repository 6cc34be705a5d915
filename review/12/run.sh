#!/usr/bin/env bash
# Case 12. With TROUBLE=0 the store's stale reads are as little behind as usual.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 build/review-3/case_12 review/12/record.txt
