# Functions that start and stop the processes of a deployment. Set BUILD and DIR, then source this
# file.

PIDS=()

# Starts a program in the background with its output in the file $1, and records its process id.
start_process() {
    local log="$1"
    shift
    "$@" > "$log" 2>&1 &
    PIDS+=("$!")
    LAST_PID="$!"
}

# Starts stand-ins and nodes from the files in DIR and waits until the nodes are ready.
start_deployment() {
    start_process "$DIR/platform.log" "$BUILD/object_api_fake" "$DIR/platform.json"
    local file
    for file in "$DIR"/targets-*.json; do
        start_process "${file%.json}.log" "$BUILD/target_fake" "$file"
    done
    start_process "$DIR/links.log" "$BUILD/link_fake" "$DIR/links.json"
    declare -gA NODE_PID
    for file in "$DIR"/node-*.json; do
        start_process "${file%.json}.log" "$BUILD/ebonymountd" --settings "$file"
        NODE_PID["$(basename "$file" .json)"]="$LAST_PID"
    done
    "$BUILD/ebonymount_load" wait --directory "$DIR"
}

# Stops every process that was started here, nodes first so that they can hand over their leases.
stop_deployment() {
    local pid
    for pid in "${NODE_PID[@]:-}"; do
        [ -n "$pid" ] && kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in "${NODE_PID[@]:-}"; do
        [ -n "$pid" ] && wait "$pid" 2> /dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        kill -TERM "$pid" 2> /dev/null || true
    done
    for pid in "${PIDS[@]}"; do
        wait "$pid" 2> /dev/null || true
    done
    return 0
}

# Prints the CPU ticks that the nodes have used, summed over all nodes.
node_ticks() {
    local sum=0 pid
    for pid in "${NODE_PID[@]}"; do
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
    done
    echo "$sum"
}

# Prints the counter named $1, summed over all nodes.
node_counter() {
    local sum=0 file address
    for file in "$DIR"/node-*.json; do
        address="$(sed -n 's/.*"caller_address": "\(.*\)".*/\1/p' "$file")"
        sum=$((sum + $(curl -s "http://$address/metrics" | awk -v name="$1" '$1 == name {print $2}')))
    done
    echo "$sum"
}
