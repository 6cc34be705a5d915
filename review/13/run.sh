#!/usr/bin/env bash
# Case 13. With TROUBLE=0 the store loses nothing.
cd "$(dirname "$0")/../.." || exit 2
exec timeout 118 build/review-3/case_13 review/13/record.txt
