#!/usr/bin/env bash
# Runs the experiments on Lathe & Burr's deployment (lathe). The last line of output is a JSON object
# with all figures.
#
#   tools/bench.sh [--quick] [--rounds N] [--only NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=3
requests=800
only=()
while [ $# -gt 0 ]; do
    case "$1" in
        --quick) rounds=1; requests=240; shift ;;
        --rounds) rounds="$2"; shift 2 ;;
        --only) only=(--only "$2"); shift 2 ;;
        *) echo "bench.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
tools/build.sh > /dev/null
BUILD="$PWD/build"
DIR="$(mktemp -d)"
# shellcheck source=tools/deployment.sh
source tools/deployment.sh
trap 'stop_deployment; rm -rf "$DIR"' EXIT
"$BUILD/deployment_files" lathe "$DIR"
start_deployment
"$BUILD/ebonymount_load" experiments --directory "$DIR" --rounds "$rounds" --requests "$requests" "${only[@]}"
