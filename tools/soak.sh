#!/usr/bin/env bash
# Randomized soak test: runs the real programs as separate processes, injects faults from outside and
# checks that the promises hold.
#
#   tools/soak.sh [--seed N] [--seeds N] [--minutes M] [--nodes K] [--jobs J] [--rate R]
#                 [--fault-seconds S] [--services N] [--kinds NAME,NAME...]
#   tools/soak.sh --kept
#
# Runs --seeds seeds (default 1), starting with --seed (default: derived from the time), --jobs at a
# time. With --minutes, continues with further seeds until that time has passed. --kept runs the seeds of
# test/soak/kept_seeds.txt. Exits 0 only if every promise held. Logs of seeds that broke a promise
# stay in build/soak; other logs are removed.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=$(($(date +%s) % 100000000))
seeds=1
minutes=0
nodes=6
jobs=1
kept=no
options=()
while [ $# -gt 0 ]; do
    case "$1" in
        --seed) seed="$2"; shift 2 ;;
        --seeds) seeds="$2"; shift 2 ;;
        --minutes) minutes="$2"; shift 2 ;;
        --nodes) nodes="$2"; shift 2 ;;
        --jobs) jobs="$2"; shift 2 ;;
        --rate | --fault-seconds | --services | --kinds) options+=("$1" "$2"); shift 2 ;;
        --kept) kept=yes; shift ;;
        *) echo "soak.sh: unknown option $1" >&2; exit 2 ;;
    esac
done

tools/build.sh > /dev/null
out=build/soak
mkdir -p "$out"
end=$(($(date +%s) + minutes * 60))

if [ "$kept" = yes ]; then
    status=0
    while read -r one nodes _; do
        case "$one" in
            '' | '#'*) continue ;;
        esac
        build/ebonymount_soak --seed "$one" --nodes "$nodes" --front build/ebonymount_front \
            --directory "$out" || status=1
    done < test/soak/kept_seeds.txt
    exit "$status"
fi

# Runs every jobs-th seed, starting with the one whose index is the job's number.
job() {
    local number="$1" i="$1" status=0
    while [ "$i" -lt "$seeds" ] || [ "$(date +%s)" -lt "$end" ]; do
        local one=$((seed + i)) result=0
        build/ebonymount_soak --seed "$one" --nodes "$nodes" --instance $((20 + number)) \
            "${options[@]}" --front build/ebonymount_front --directory "$out" || result=$?
        if [ "$result" = 0 ]; then
            rm -rf "${out:?}/seed-$one"
        else
            status=1
        fi
        i=$((i + jobs))
    done
    return "$status"
}

pids=()
for ((number = 0; number < jobs; number++)); do
    job "$number" &
    pids+=("$!")
done
status=0
for pid in "${pids[@]}"; do
    wait "$pid" || status=1
done
exit "$status"
