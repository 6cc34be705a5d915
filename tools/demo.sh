#!/usr/bin/env bash
# Builds the programs, runs a small version of a user's deployment as separate processes, and shows
# how it responds to failures.
#
#   tools/demo.sh [--deployment lathe|quiosques] [--keep]
#
# Exits 0 only if every promised condition held. --keep leaves the deployment running until you press
# Enter.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=lathe
keep=no
while [ $# -gt 0 ]; do
    case "$1" in
        --deployment) deployment="$2"; shift 2 ;;
        --keep) keep=yes; shift ;;
        *) echo "demo.sh: unknown option $1" >&2; exit 2 ;;
    esac
done

tools/install.sh
tools/build.sh
BUILD="$PWD/build"
DIR="$(mktemp -d)"
# shellcheck source=tools/deployment.sh
source tools/deployment.sh
trap 'stop_deployment; rm -rf "$DIR"' EXIT

case "$deployment" in
    lathe) browse=catalogue; book=booking; data_centre=east; victim=node-west-1 ;;
    quiosques) browse=portal; book=member-app; data_centre=parana; victim=node-sul-1 ;;
    *) echo "demo.sh: unknown deployment $deployment" >&2; exit 2 ;;
esac

held=yes
phase() {
    local name="$1"
    shift
    local figures
    if figures="$("$@")"; then
        printf '%-34s %s\n' "$name" "$figures"
    else
        printf '%-34s %s  NOT AS PROMISED\n' "$name" "$figures"
        held=no
    fi
}
load() {
    "$BUILD/ebonymount_load" run --directory "$DIR" "$@"
}
ctl() {
    "$BUILD/ebonymountctl" --node 127.0.0.1:20002 --caller 127.0.0.1:20001 "$@"
}

"$BUILD/deployment_files" "$deployment" "$DIR"
start_deployment
echo "$deployment: $(ls "$DIR"/node-*.json | wc -l) nodes in 3 data centres, all ready"

phase "browse while targets warm up" load --service "$browse" --rate 50 --count 200
phase "200 browses" load --service "$browse" --rate 50 --count 200
phase "20 bookings" load --service "$book" --submit --keys demo --rate 20 --count 20
phase "the same 20 bookings again" load --service "$book" --submit --keys demo --rate 20 --count 20
ctl dc out "$data_centre"
phase "browse with $data_centre out" load --service "$browse" --rate 50 --count 200
ctl dc in "$data_centre"
phase "browse with $data_centre back" load --service "$browse" --rate 50 --count 200
kill -KILL "${NODE_PID[$victim]}"
unset "NODE_PID[$victim]"
rm "$DIR/$victim.json"
phase "browse with $victim killed" load --service "$browse" --rate 50 --count 400
phase "work at targets" "$BUILD/ebonymount_load" totals --directory "$DIR"

if [ "$keep" = yes ]; then
    echo "The deployment is running. Try in another terminal:"
    echo "  build/ebonymountctl status"
    echo "  build/ebonymountctl query $browse '{\"q\":\"bowl\"}'"
    echo "  build/ebonymountctl trace"
    echo "  build/ebonymountctl dc out $data_centre"
    read -r -p "Press Enter to stop the deployment. " _
fi
[ "$held" = yes ] && echo "All promised conditions held." || echo "A promised condition did not hold."
[ "$held" = yes ]
