#!/usr/bin/env bash
# Measures the CPU cost of a sub-query on the nodes, gateway and relay together, at a steady rate.
#
#   tools/measure_path.sh [RATE [COUNT]]
set -euo pipefail
cd "$(dirname "$0")/.."
rate="${1:-200}"
count="${2:-4000}"
tools/build.sh > /dev/null
BUILD="$PWD/build"
DIR="$(mktemp -d)"
# shellcheck source=tools/deployment.sh
source tools/deployment.sh
trap 'stop_deployment; rm -rf "$DIR"' EXIT

"$BUILD/deployment_files" lathe "$DIR"
start_deployment
"$BUILD/ebonymount_load" run --directory "$DIR" --rate 50 --count 400 > /dev/null
ticks="$(node_ticks)"
sent="$(node_counter ebonymount_relay_sent_total)"
bytes="$(node_counter ebonymount_peer_bytes_out_total)"
"$BUILD/ebonymount_load" run --directory "$DIR" --rate "$rate" --count "$count"
awk -v t="$(($(node_ticks) - ticks))" -v hz="$(getconf CLK_TCK)" \
    -v n="$(($(node_counter ebonymount_relay_sent_total) - sent))" \
    -v b="$(($(node_counter ebonymount_peer_bytes_out_total) - bytes))" -v q="$count" \
    'BEGIN { printf "sub-queries sent %d, node CPU %.1f us per sub-query, %.0f us per query, %.0f bytes between nodes per query\n",
        n, t / hz * 1e6 / n, t / hz * 1e6 / q, b / q }'
