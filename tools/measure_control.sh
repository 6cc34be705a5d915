#!/usr/bin/env bash
# Measures the cost of the control plane on idle nodes: CPU, memory, bytes between nodes, and calls to
# the platform.
#
#   tools/measure_control.sh [SECONDS [NODES_PER_DATA_CENTRE ...]]
#
# Prints a line per fleet size, then the slopes between the first and the last size. CPU, bytes and
# memory are means per node; the calls to the platform are those of all nodes together.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:-20}"
shift || true
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(1 2 3 8 20)
tools/build.sh > /dev/null
BUILD="$PWD/build"
# shellcheck source=tools/deployment.sh
source tools/deployment.sh
ticks_per_s="$(getconf CLK_TCK)"

platform_calls() {
    curl -s "http://127.0.0.1:28500/stats" | sed -n 's/.*"calls":\([0-9]*\).*/\1/p'
}
resident_kb() {
    local sum=0 pid
    for pid in "${NODE_PID[@]}"; do
        sum=$((sum + $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")))
    done
    echo $((sum / ${#NODE_PID[@]}))
}

echo "nodes cpu_percent bytes_per_s rss_mb platform_calls_per_s"
first=""
for size in "${sizes[@]}"; do
    DIR="$(mktemp -d)"
    PIDS=()
    unset NODE_PID
    trap 'stop_deployment; rm -rf "$DIR"' EXIT
    "$BUILD/deployment_files" lathe "$DIR" "$size" 20000 direct
    start_deployment
    sleep 20
    ticks="$(node_ticks)"; bytes="$(node_counter ebonymount_peer_bytes_out_total)"; calls="$(platform_calls)"
    sleep "$seconds"
    nodes="${#NODE_PID[@]}"
    line="$(awk -v n="$nodes" -v s="$seconds" -v hz="$ticks_per_s" \
        -v t="$(($(node_ticks) - ticks))" -v b="$(($(node_counter ebonymount_peer_bytes_out_total) - bytes))" \
        -v c="$(($(platform_calls) - calls))" -v r="$(resident_kb)" \
        'BEGIN { printf "%d %.3f %.0f %.1f %.2f", n, 100 * t / hz / s / n, b / s / n, r / 1024, c / s }')"
    echo "$line"
    [ -n "$first" ] || first="$line"
    last="$line"
    stop_deployment
    rm -rf "$DIR"
    trap - EXIT
done
echo "$first $last" | awk '$6 > $1 { d = $6 - $1
    printf "slope per node: cpu_percent %.5f bytes_per_s %.2f rss_mb %.4f platform_calls_per_s %.4f\n",
        ($7 - $2) / d, ($8 - $3) / d, ($9 - $4) / d, ($10 - $5) / d }'
