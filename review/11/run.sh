#!/usr/bin/env bash
# Case 11. With TROUBLE=0 the store loses nothing.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 build/review-3/case_11 review/11/record.txt
